#pragma once

#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/transport.hpp"
#include "yuccascale/runtime/feed_service.hpp"
#include "yuccascale/runtime/settings.hpp"

#include <functional>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief A node's access to the replicated state: commits go through the leader, reads are
///        answered from the feed.

namespace yuccascale::runtime {

/// \brief The reply to a command that one node submitted to another.
struct submit_reply
{
    bool answered = false; ///< the state machine applied or refused the command
    kernel::state::command_result answer;
    kernel::error_kind kind = kernel::error_kind::Internal; ///< the failure, when not answered
    std::string leader; ///< link address of the leader, when known
    std::string message;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(submit_reply, answered, answer, kind, leader,
                                                message)
};

/// \brief Proposes commands on this node; absent on nodes without the control role.
class command_proposer
{
public:
    virtual ~command_proposer() = default;

    /// \brief Commits a command if this node is the leader.
    [[nodiscard]] virtual submit_reply propose(const kernel::state::command &command,
                                               kernel::instant deadline)
            = 0;

    /// \brief As propose(), but passes the reply to \a done, once, from any thread.
    virtual void proposeLater(const kernel::state::command &command, kernel::instant deadline,
                              std::function<void(submit_reply reply)> done)
    {
        const auto finish = std::move(done);
        finish(propose(command, deadline));
    }
};

/// \brief The control_client of a running node. Thread-safe.
class cluster_client final : public kernel::control_client
{
public:
    /// \param proposer null on nodes without the control role
    cluster_client(const settings &settings, kernel::clock &clock, kernel::transport &transport,
                   feed_service &feed, command_proposer *proposer);

    [[nodiscard]] kernel::result<kernel::state::command_result>
    submit(const kernel::state::command &command, kernel::instant deadline) override;

    /// \brief As submit(), but an edit's answer is not held until the edit is settled.
    [[nodiscard]] kernel::result<kernel::state::command_result>
    commit(const kernel::state::command &command, kernel::instant deadline);

    [[nodiscard]] kernel::control_view view() const override { return m_feed.view(); }
    [[nodiscard]] bool waitConfirmed(kernel::instant since, kernel::milliseconds limit) override
    {
        return m_feed.waitConfirmed(since, limit);
    }

private:
    [[nodiscard]] submit_reply submitTo(const kernel::state::command &command,
                                        const std::string &target, kernel::instant deadline);
    [[nodiscard]] std::string firstTarget() const;
    [[nodiscard]] std::string nextTarget(std::size_t number) const;

    const settings &m_settings;
    kernel::clock &m_clock;
    kernel::transport &m_transport;
    feed_service &m_feed;
    command_proposer *m_proposer;
};

} // namespace yuccascale::runtime

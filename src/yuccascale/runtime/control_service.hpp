#pragma once

#include "yuccascale/kernel/state/machine.hpp"
#include "yuccascale/runtime/cluster_client.hpp"
#include "yuccascale/runtime/feed_service.hpp"
#include "yuccascale/runtime/replicated_log.hpp"

#include <functional>
#include <mutex>
#include <string>

/// \file
/// \brief The control role of a node: the state machine over the replicated log.

namespace yuccascale::runtime {

/// \brief Owns the state machine, applies the log to it, proposes commands and reads it for the
///        feed. Thread-safe.
class control_service final : public log_consumer,
                              public leader_state_reader,
                              public command_proposer
{
public:
    /// \param onChanged called after this node applied a change of the tables or of the banned key
    ///        fingerprints, and when another node leads
    explicit control_service(std::function<void()> onChanged);

    /// \brief Sets the log; must be called before the log is started.
    void attach(replicated_log &log) noexcept { m_log = &log; }

    /// \brief Reads the state machine under its lock.
    template<typename Read>
    [[nodiscard]] auto read(Read &&read) const
    {
        const std::lock_guard lock(m_mutex);
        return read(m_machine);
    }

    // log_consumer
    [[nodiscard]] std::string apply(std::uint64_t index, std::string_view payload) override;
    [[nodiscard]] std::string snapshot() override;
    [[nodiscard]] kernel::result<void> restore(std::string_view bytes) override;
    void leaderChanged() override { m_onChanged(); }

    // leader_state_reader
    [[nodiscard]] std::string leader() const override;
    [[nodiscard]] kernel::result<kernel::feed::confirmed_state>
    confirmedReading(kernel::instant deadline) override;
    [[nodiscard]] std::optional<kernel::instant> leadingSince(kernel::instant now) const override;

    /// \brief Reads the operator's document after a quorum has confirmed this node as leader.
    /// \returns error_kind::NotLeader when this node is not the leader.
    [[nodiscard]] kernel::result<std::shared_ptr<const std::string>>
    confirmedDocument(kernel::instant deadline);

    // command_proposer
    [[nodiscard]] submit_reply propose(const kernel::state::command &command,
                                       kernel::instant deadline) override;
    void proposeLater(const kernel::state::command &command, kernel::instant deadline,
                      std::function<void(submit_reply reply)> done) override;

private:
    [[nodiscard]] submit_reply
    replyTo(const std::function<kernel::result<std::string>()> &propose) const;

    std::function<void()> m_onChanged;
    replicated_log *m_log = nullptr;
    mutable std::mutex m_mutex;
    kernel::state::machine m_machine;
    std::uint64_t m_bansVersion = 0;
};

} // namespace yuccascale::runtime

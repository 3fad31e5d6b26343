#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"
#include "yuccascale/kernel/state/commands.hpp"
#include "yuccascale/kernel/state/tables.hpp"

#include <memory>
#include <set>
#include <string>

/// \file
/// \brief What a node needs of the control role: commits, and the tables in force.

namespace yuccascale::kernel {

/// \brief What an entry has in force: one confirmed revision and until when it may act on it.
struct control_view
{
    std::shared_ptr<const state::table_set> tables; ///< null until the first confirmed revision
    instant freshUntil{}; ///< end of the freshness lease, counted from when this node asked
    std::shared_ptr<const std::set<std::string>> bannedFingerprints;
    std::string leader; ///< link address of the leader last heard of; may be empty
    std::shared_ptr<const feed::endpoint_list>
            endpoints; ///< as the platform lists them; may be null

    /// \returns true while keyed requests may be started.
    [[nodiscard]] bool fresh(instant now) const noexcept { return tables && now < freshUntil; }
};

/// \brief Access to the replicated state from any node.
class control_client
{
public:
    virtual ~control_client() = default;

    /// \brief Commits \a command through the leader and waits for its answer.
    /// \returns the state machine's answer, or error_kind::OutcomeUnknown when the answer was lost
    ///          (send the same operation id again), or error_kind::Unavailable when it was not
    ///          sent.
    [[nodiscard]] virtual result<state::command_result> submit(const state::command &command,
                                                               instant deadline)
            = 0;

    /// \returns what is in force here.
    [[nodiscard]] virtual control_view view() const = 0;
};

} // namespace yuccascale::kernel

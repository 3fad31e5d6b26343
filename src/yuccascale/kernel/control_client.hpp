#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"
#include "yuccascale/kernel/feed/origin_history.hpp"
#include "yuccascale/kernel/state/commands.hpp"
#include "yuccascale/kernel/state/tables.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>

/// \file
/// \brief Interface to the control nodes: commits commands and reads the tables in force.

namespace yuccascale::kernel {

/// \brief What is in force on an entry: one confirmed revision and the time until which it may be
/// used.
struct control_view
{
    std::shared_ptr<const state::table_set> tables; ///< null until the first confirmed revision
    instant freshUntil{}; ///< end of the freshness lease, counted from when this node sent its
                          ///< request
    std::shared_ptr<const std::set<std::string>> bannedFingerprints;
    std::string leader; ///< link address of the last known leader; may be empty
    std::shared_ptr<const feed::endpoint_list>
            endpoints; ///< as the platform lists them; may be null
    std::shared_ptr<const feed::origin_history>
            origins;       ///< what was in force before; null before the first confirmed revision
    instant confirmedAt{}; ///< when the tables were certainly the newest
    /// When the list of endpoints was asked for at the platform; nothing when that is not known
    std::optional<instant> endpointsAskedAt = {};

    /// \returns where streams of a route can have begun, if it leads to \a pool now; for at least
    /// \a lookback.
    [[nodiscard]] requests::origins_seen originsSeen(instant now, const std::string &route,
                                                     const std::string &pool,
                                                     nanoseconds lookback) const;

    /// \returns how long ago a stream of a route can have begun, as far as its deadlines tell.
    [[nodiscard]] nanoseconds originLookback(instant now, const std::string &route) const;

    /// \returns true while keyed requests may be started.
    [[nodiscard]] bool fresh(instant now) const noexcept { return tables && now < freshUntil; }
};

/// \brief Access to the replicated state from any node.
class control_client
{
public:
    virtual ~control_client() = default;

    /// \brief Commits \a command through the leader and waits for the result.
    /// \returns the state machine's result, or error_kind::OutcomeUnknown when the reply was lost
    ///          (send the same operation id again), or error_kind::Unavailable when it was not
    ///          sent.
    [[nodiscard]] virtual result<state::command_result> submit(const state::command &command,
                                                               instant deadline)
            = 0;

    /// \returns what is in force on this node.
    [[nodiscard]] virtual control_view view() const = 0;

    /// \brief Waits until what is in force was confirmed after \a since.
    /// \returns false when that did not happen within \a limit.
    [[nodiscard]] virtual bool waitConfirmed(instant since, milliseconds limit) = 0;
};

} // namespace yuccascale::kernel

#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/requests/request.hpp"
#include "yuccascale/kernel/state/commands.hpp"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

/// \file
/// \brief Collects the token usage at an entry into numbered batches for the log.

namespace yuccascale::kernel::requests {

/// \brief Usage batches of one incarnation of an entry. Not thread-safe; its owner serialises
/// calls.
///
/// One batch is in flight at a time. It keeps its number and contents until it is committed, so
/// that a repeated submission is counted once.
class usage_batcher
{
public:
    /// \param entry node name and incarnation of this entry
    /// \param window length of a usage window
    /// \param maxMarkInterval longest time between two time marks of an entry without answers
    usage_batcher(std::string entry, milliseconds window, milliseconds maxMarkInterval);

    /// \brief Counts an answer that ended at \a now.
    /// \param ticket returned by committed() once the usage is committed
    void add(wall_time now, std::uint64_t ticket, const std::string &organisation,
             const std::string &route, const token_usage &usage);

    /// \brief Starts a batch, or repeats the one in flight.
    /// \returns nothing when there is no usage and no time mark is due.
    [[nodiscard]] std::optional<state::command> next(wall_time now);

    /// \brief Ends the batch in flight after it was committed.
    /// \returns the tickets of the answers in it.
    [[nodiscard]] std::vector<std::uint64_t> committed();

private:
    struct line_key
    {
        std::int64_t windowStartMs = 0;
        std::string organisation;
        std::string route;

        [[nodiscard]] bool operator<(const line_key &other) const
        {
            return std::tie(windowStartMs, organisation, route)
                    < std::tie(other.windowStartMs, other.organisation, other.route);
        }
    };

    [[nodiscard]] std::int64_t monotonicMs(wall_time now);

    std::string m_entry;
    milliseconds m_window;
    milliseconds m_maxMarkInterval;
    std::uint64_t m_sequence = 0;
    std::int64_t m_latestMs = 0; ///< latest reading of the wall clock, which may be set back
    std::int64_t m_lastMarkMs = 0;
    std::map<line_key, state::usage_line> m_lines;
    std::vector<std::uint64_t> m_tickets;
    std::optional<state::command> m_pendingBatch;
    std::vector<std::uint64_t> m_pendingTickets;
};

} // namespace yuccascale::kernel::requests

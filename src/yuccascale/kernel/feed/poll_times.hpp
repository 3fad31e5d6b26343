#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <algorithm>

/// \file
/// \brief The times of a node's polls, from what is promised of the tables.

namespace yuccascale::kernel::feed {

/// \brief Derives how long a poll may take and how far behind its answer may be.
///
/// \example
///     const poll_times times{milliseconds(600), milliseconds(4'700), seconds(2)};
///     const bool upToDate = lag <= times.longestLag();
struct poll_times
{
    nanoseconds interval;    ///< between two polls
    nanoseconds freshness;   ///< how long confirmed tables may be used
    nanoseconds propagation; ///< until an acknowledged change is in force everywhere; 0: no bound

    /// \returns how long a node may send nothing before another one is asked as well.
    [[nodiscard]] nanoseconds hedgeDelay() const noexcept { return interval / 2; }

    /// \returns how long a node may send nothing before the poll is given up; it may be frozen.
    [[nodiscard]] nanoseconds silentTime() const noexcept { return 2 * interval; }

    /// \returns how long a poll may take whose answer arrives bit by bit. Large tables may take
    /// longer than
    ///          the interval on a slow link, and an answer that is given up is requested again from
    ///          its start. Half of the freshness leaves time to ask another node.
    [[nodiscard]] nanoseconds longestPoll() const noexcept
    {
        return std::max(interval, freshness / 2);
    }

    /// \returns how old the confirmation of an answer may be when it arrives. The tables are used
    /// until the
    ///          next poll has asked two nodes, and by then the promise must still hold.
    [[nodiscard]] nanoseconds longestLag() const noexcept
    {
        const nanoseconds usual = 2 * interval + interval / 2;
        if (propagation == nanoseconds::zero())
            return usual;
        return std::clamp(propagation - interval - hedgeDelay(), nanoseconds::zero(), usual);
    }
};

} // namespace yuccascale::kernel::feed

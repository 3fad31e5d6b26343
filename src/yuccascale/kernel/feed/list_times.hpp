#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <algorithm>
#include <optional>

/// \file
/// \brief How old the platform's list of endpoints may be, from what is promised of it.

namespace yuccascale::kernel::feed {

/// \brief Derives when a list is read and asked for from the time that an endpoint serves on.
///
/// \example
///     const list_times times{milliseconds(600), milliseconds(500), seconds(3)};
///     const bool mustRead = now - askedAt >= times.ownReadAge();
struct list_times
{
    nanoseconds feedInterval; ///< between two polls of a node
    nanoseconds listInterval; ///< between two reads of the leader
    /// From when the list shows an endpoint as draining until it gets no request; 0: no bound
    nanoseconds drainNotice;

    [[nodiscard]] bool bounded() const noexcept { return drainNotice > nanoseconds::zero(); }

    /// \returns the age at which other nodes are asked for a younger list. What is left of the
    /// bound covers the next poll and a silent node in it.
    [[nodiscard]] nanoseconds longestLag() const noexcept
    {
        return std::max(drainNotice - feedInterval - feedInterval / 2, feedInterval);
    }

    /// \returns the age at which a control node that does not lead reads the list itself: halfway
    /// between the age of its copy in calm and longestLag(), and never in calm.
    [[nodiscard]] nanoseconds ownReadAge() const noexcept
    {
        const nanoseconds inCalm = listInterval + feedInterval;
        return std::max(inCalm + feedInterval / 2, (inCalm + longestLag()) / 2);
    }

    /// \returns whether a list is older than promised. An age that is not known is.
    [[nodiscard]] bool tooOld(instant now, std::optional<instant> askedAt) const noexcept
    {
        return bounded() && (!askedAt || now - *askedAt > drainNotice);
    }
};

} // namespace yuccascale::kernel::feed

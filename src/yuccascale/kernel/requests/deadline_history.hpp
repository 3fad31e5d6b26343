#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <span>
#include <vector>

/// \file
/// \brief How long ago a stream that may still be taken up can have begun.

namespace yuccascale::kernel::requests {

/// Callers repeat a request within their deadline, so a stream is taken up at most this many times
/// its route's deadline after it began.
inline constexpr int deadlinesKept = 2;

/// \brief The deadlines of one route. Not thread-safe.
///
/// A stream keeps the deadline under which it began, whatever the route's deadline is later.
class deadline_history
{
public:
    /// \brief A deadline that is no longer in force.
    struct former
    {
        nanoseconds deadline{};
        instant goneAt{};
    };

    /// \brief Records the deadline that is in force now; zero: the route is gone.
    void update(instant now, nanoseconds deadline);

    /// \brief Records a former deadline that another node saw.
    void add(const former &seen);

    /// \returns how long ago a stream can have begun that is taken up now.
    [[nodiscard]] nanoseconds lookback(instant now) const;

    /// \returns the former deadlines that still matter.
    [[nodiscard]] std::vector<former> formerOnes(instant now) const;

private:
    void removeExpired(instant now);
    void mergeOldest();

    nanoseconds m_current{};
    std::vector<former> m_former; ///< in the order in which they were recorded
};

} // namespace yuccascale::kernel::requests

#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <deque>

/// \file
/// \brief Bounds the retries of a pool to a share of its requests.

namespace yuccascale::kernel::requests {

/// \brief Limits of a retry budget.
struct retry_limits
{
    double share = 0.2; ///< retries per request
    double burst = 32;  ///< retries beyond the share, for the crash of a full engine
    nanoseconds window = seconds(10);
    bool slowStart = false; ///< no burst in the first window: a former process may have spent it
};

/// \brief Counts the requests and retries of one pool at one entry over a sliding window.
///
/// Entries that keep their budgets keep the fleet's: the shares add up with the requests, and each
/// is given its part of the burst.
class retry_budget
{
public:
    retry_budget() noexcept
        : retry_budget(retry_limits{})
    { }
    explicit retry_budget(retry_limits limits) noexcept
        : m_limits(limits)
    { }

    /// \brief Changes this entry's part of the burst.
    void setBurst(double burst) noexcept { m_limits.burst = burst; }

    /// \brief Counts a first attempt.
    void firstAttempt(instant now);

    /// \returns true and counts one when a retry is left.
    [[nodiscard]] bool tryAcquire(instant now);

    /// \returns how long until a retry may be left.
    [[nodiscard]] nanoseconds timeUntilRetry() const noexcept;

private:
    struct slot
    {
        instant begin{};
        int requests = 0;
        int retries = 0;
    };

    [[nodiscard]] slot &slotAt(instant now);
    [[nodiscard]] double burst(instant now) const noexcept;

    retry_limits m_limits;
    std::deque<slot> m_slots;
    int m_requests = 0; ///< in all slots
    int m_retries = 0;  ///< in all slots
    instant m_startedAt{};
    instant m_now{};
};

} // namespace yuccascale::kernel::requests

#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <deque>

/// \file
/// \brief Limits the retries of a pool to a fraction of its requests.

namespace yuccascale::kernel::requests {

/// \brief Limits of a retry budget.
struct retry_limits
{
    double share = 0.2; ///< retries allowed per first attempt
    double burst = 32;  ///< additional retries, for the crash of a fully loaded engine
    nanoseconds window = seconds(10);
    bool slowStart
            = false; ///< no burst in the first window, since a previous process may have used it
};

/// \brief Counts the requests and retries of one pool at one entry over a sliding window.
///
/// The budgets of all entries add up to the budget of the fleet: the share scales with each entry's
/// requests, and the burst is divided among the entries.
class retry_budget
{
public:
    retry_budget() noexcept
        : retry_budget(retry_limits{})
    { }
    explicit retry_budget(retry_limits limits) noexcept
        : m_limits(limits)
    { }

    /// \brief Sets this entry's part of the burst.
    void setBurst(double burst) noexcept { m_limits.burst = burst; }

    /// \brief Counts a first attempt.
    void recordFirstAttempt(instant now);

    /// \brief Counts a retry if the budget allows one.
    /// \returns true when the retry is allowed.
    [[nodiscard]] bool tryAcquire(instant now);

    /// \returns the time until a retry may be allowed again.
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
    instant m_latestTime{};
};

} // namespace yuccascale::kernel::requests

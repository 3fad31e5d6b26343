#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <cstdint>

/// \file
/// \brief Stops requests to a failing endpoint and readmits it with a few trial requests.

namespace yuccascale::kernel::requests {

/// \brief Thresholds and open times of a circuit breaker.
struct breaker_limits
{
    int failuresToOpen = 3;   ///< failures among the observed answers that open it
    int observedAnswers = 10; ///< most recent answers that are counted
    nanoseconds initialOpenTime
            = seconds(1); ///< until the first trial request; doubles after each failed trial
    nanoseconds maxOpenTime = seconds(30);
    nanoseconds openTimeResetAfter
            = seconds(30); ///< reopening within this time after closing doubles the open time
    int trialsToClose = 4; ///< consecutive successes; each doubles the trials allowed at once
};

/// \brief Circuit breaker of one endpoint.
class circuit_breaker
{
public:
    circuit_breaker() noexcept = default;
    explicit circuit_breaker(breaker_limits limits) noexcept
        : m_limits(limits)
    { }

    /// \param outstanding requests of this entry in flight at the endpoint
    /// \returns true when one more request may be sent.
    [[nodiscard]] bool allows(instant now, int outstanding) const noexcept;

    /// \param sentAt when the answered request was sent. Ignored as a trial if that was before the
    /// breaker became half-open.
    /// \returns true when this closed the breaker.
    bool succeeded(instant now, instant sentAt) noexcept;

    /// \param crashed opens the breaker at once
    /// \returns true when this opened the breaker.
    bool failed(instant now, bool crashed) noexcept;

    [[nodiscard]] bool open() const noexcept { return m_open; }

private:
    void recordAnswer(bool failed) noexcept;
    void openAt(instant now) noexcept;

    breaker_limits m_limits;
    bool m_open = false;
    std::uint32_t m_recentFailures = 0; ///< one bit per answer, newest in the lowest bit; 1: failed
    int m_trialsAnswered = 0;
    nanoseconds m_openTime{};
    instant m_halfOpenAt{};
    instant m_closedAt{};
};

} // namespace yuccascale::kernel::requests

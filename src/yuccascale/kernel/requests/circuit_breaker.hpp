#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <cstdint>

/// \file
/// \brief Keeps work from an endpoint that fails, and brings it back gently.

namespace yuccascale::kernel::requests {

/// \brief Times and counts of a circuit breaker.
struct breaker_limits
{
    int failuresToOpen = 3; ///< among the last answers
    int observedAnswers = 10;
    nanoseconds initialOpenTime
            = seconds(1); ///< before the first trial; doubles with each failed one
    nanoseconds maxOpenTime = seconds(30);
    nanoseconds openTimeResetAfter = seconds(30); ///< opened again within this, it goes on doubling
    int trialsToClose = 4; ///< answered in a row; the number allowed at once doubles with each
};

/// \brief Circuit breaker of one endpoint.
class circuit_breaker
{
public:
    circuit_breaker() noexcept = default;
    explicit circuit_breaker(breaker_limits limits) noexcept
        : m_limits(limits)
    { }

    /// \param outstanding requests of this entry that the endpoint runs now
    /// \returns true when one more request may be sent.
    [[nodiscard]] bool allows(instant now, int outstanding) const noexcept;

    /// \param sentAt when the answered request was sent; one from before it opened is no trial
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
    std::uint32_t m_recentFailures = 0; ///< the last answers, newest in the lowest bit; 1: failed
    int m_trialsAnswered = 0;
    nanoseconds m_openTime{};
    instant m_halfOpenAt{};
    instant m_closedAt{};
};

} // namespace yuccascale::kernel::requests

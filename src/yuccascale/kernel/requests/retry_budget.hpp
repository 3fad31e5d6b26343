#pragma once

#include "yuccascale/kernel/clock.hpp"

/// \file
/// \brief Bounds the retries of a route to a share of its first attempts.

namespace yuccascale::kernel::requests {

/// \brief Limits of a retry budget.
struct retry_limits
{
    double share = 0.2;   ///< retries per first attempt
    double burst = 32;    ///< retries kept in hand for the crash of a full engine
    double perSecond = 1; ///< so that a quiet route can retry at all
};

/// \brief Token bucket of one route at one entry.
class retry_budget
{
public:
    retry_budget() noexcept
        : retry_budget(retry_limits{})
    { }
    explicit retry_budget(retry_limits limits) noexcept
        : m_limits(limits)
        , m_tokens(limits.burst)
    { }

    /// \brief Counts a first attempt.
    void firstAttempt(instant now) noexcept;

    /// \returns true and takes one when a retry is left.
    [[nodiscard]] bool take(instant now) noexcept;

    /// \returns how long until a retry is left.
    [[nodiscard]] nanoseconds wait() const noexcept;

private:
    void refill(instant now) noexcept;

    retry_limits m_limits;
    double m_tokens;
    instant m_refilledAt{};
};

} // namespace yuccascale::kernel::requests

#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <array>
#include <cstdint>

/// \file
/// \brief Learns the rates of single endpoints from answers, with the pool's rates as the prior.

namespace yuccascale::kernel::policy {

struct routing_outcome;

/// \brief What one or more answers say about an endpoint at the usual pace; 0: nothing.
struct rate_observation
{
    double prefillTokensPerSecond = 0;
    double workSeconds = 0;   ///< between two tokens, or of a whole request without tokens
    bool prefillOnly = false; ///< the rate of an engine that only prefills

    [[nodiscard]] bool empty() const noexcept
    {
        return prefillTokensPerSecond <= 0 && workSeconds <= 0;
    }
};

/// \brief Derives the observation of an answer.
/// \param pace of the endpoint while it worked; 1 is usual
[[nodiscard]] rate_observation observationOf(const routing_outcome &outcome, double pace) noexcept;

/// \brief Decayed mean of the logarithms of positive values. Single values that are far off move it
/// little.
class learnt_value
{
public:
    /// \param prior value that counts as one observation; 0: none
    void observe(instant now, double value, double prior) noexcept;

    /// \returns the estimate; \a prior without any observation. Without new ones it returns to the
    ///          prior within half a minute, so that no endpoint is left out by an error for good.
    [[nodiscard]] double estimate(instant now, double prior) const noexcept;

    [[nodiscard]] bool known() const noexcept { return m_weight > 0; }

private:
    [[nodiscard]] double weightAt(instant now) const noexcept;

    double m_weight = 0;
    double m_sum = 0; ///< of logarithms, weighted
    instant m_observedAt{};
};

/// \brief Rates of one endpoint, or of all endpoints of a pool together.
///
/// Addresses pools whose endpoints run at different speeds: one rate for the whole pool overloads
/// the slow ones and leaves the fast ones idle.
class endpoint_rates
{
public:
    /// \param pool rates of the whole pool, the prior; null: these are the pool's own
    void observe(instant now, const rate_observation &seen, const endpoint_rates *pool) noexcept;

    /// \returns prompt tokens a second at the usual pace; 0 when not even the pool's are known.
    [[nodiscard]] double prefillTokensPerSecond(instant now, bool prefillOnly,
                                                const endpoint_rates &pool) const noexcept;

    /// \returns how many times as long work takes as in the rest of the pool at the usual pace.
    [[nodiscard]] double slowdown(instant now, const endpoint_rates &pool) const noexcept;

    /// \returns the time between tokens, or of a request without tokens; 0 when not known.
    [[nodiscard]] double workSeconds(instant now) const noexcept { return m_work.estimate(now, 0); }

private:
    std::array<learnt_value, 2> m_prefill; ///< of engines that also decode; of those that do not
    learnt_value m_work;
};

} // namespace yuccascale::kernel::policy

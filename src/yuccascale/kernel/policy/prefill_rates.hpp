#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <cstdint>

/// \file
/// \brief Learns how fast a pool's engines prefill prompts.

namespace yuccascale::kernel::policy {

/// \brief Follows a quantile of positive observations, with less weight for older ones.
class quantile_tracker
{
public:
    /// \param quantile from 0 to 1
    /// \param initial estimate before the first observation
    quantile_tracker(double quantile, double initial) noexcept
        : m_quantile(quantile)
        , m_estimate(initial)
    { }

    void observe(double value) noexcept;

    [[nodiscard]] double estimate() const noexcept { return m_estimate; }

private:
    double m_quantile;
    double m_estimate;
    int m_observations = 0;
};

/// \brief Prefill rates of one pool's engines, in prompt tokens a second: of those that only
/// prefill, and of those that also decode and prefill between decode steps.
class prefill_rates
{
public:
    [[nodiscard]] double tokensPerSecond(bool prefillOnly) const noexcept
    {
        return prefillOnly ? m_prefillOnly.estimate() : m_mixed.estimate();
    }

    /// \brief Records a finished prefill. Short ones, which show other delays, are ignored.
    /// \param tokens prompt tokens that it computed
    /// \param tokensAhead prompt tokens that the engine was expected to compute before
    void observe(bool prefillOnly, std::int64_t tokens, std::int64_t tokensAhead,
                 nanoseconds time) noexcept;

private:
    /// An engine may be slowed by work of other entries that is not known here, so that a fast
    /// observation says more about it than a slow one.
    static constexpr double fastQuantile = 0.75;
    static constexpr double initialPrefillOnlyTokensPerSecond = 50'000;
    static constexpr double initialMixedTokensPerSecond = 16'000;

    quantile_tracker m_prefillOnly{fastQuantile, initialPrefillOnlyTokensPerSecond};
    quantile_tracker m_mixed{fastQuantile, initialMixedTokensPerSecond};
};

} // namespace yuccascale::kernel::policy

#include "yuccascale/kernel/policy/prefill_rates.hpp"

#include <algorithm>
#include <cmath>

namespace yuccascale::kernel::policy {

namespace {

constexpr std::int64_t minObservedTokens = 1'024;
/// Bounds of the change of the estimate's logarithm by one observation; it shrinks as their number
/// grows.
constexpr double firstStep = 0.5;
constexpr double lastStep = 0.05;

} // namespace

void quantile_tracker::observe(double value) noexcept
{
    if (!(value > 0))
        return;
    if (m_observations++ == 0) {
        m_estimate = value;
        return;
    }
    const double step = std::max(firstStep / m_observations, lastStep);
    const double change = value > m_estimate ? m_quantile : m_quantile - 1;
    m_estimate *= std::exp(step * change);
}

void prefill_rates::observe(bool prefillOnly, std::int64_t tokens, std::int64_t tokensAhead,
                            nanoseconds time) noexcept
{
    const double elapsed = std::chrono::duration<double>(time).count();
    if (tokens < minObservedTokens || elapsed <= 0)
        return;
    const double rate = static_cast<double>(tokens + tokensAhead) / elapsed;
    (prefillOnly ? m_prefillOnly : m_mixed).observe(rate);
}

} // namespace yuccascale::kernel::policy

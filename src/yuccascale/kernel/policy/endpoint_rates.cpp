#include "yuccascale/kernel/policy/endpoint_rates.hpp"

#include "yuccascale/kernel/policy/routing.hpp"

#include <algorithm>
#include <cmath>

namespace yuccascale::kernel::policy {

namespace {

/// Shorter prefills show other delays.
constexpr std::int64_t minPrefillTokens = 1'024;
/// A prior counts as this many observations.
constexpr double priorWeight = 1.0;
/// Weight of an observation that may be explained by a queue as well.
constexpr double doubtfulWeight = 0.5;
/// Greatest change of a logarithm that one observation suggests: a factor of 2.
constexpr double maxDeviation = 0.7;
/// Weight after which older observations are forgotten as new ones come.
constexpr double maxWeight = 20.0;

[[nodiscard]] double toSeconds(nanoseconds duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

/// \returns the time between two tokens, or of a whole request without tokens; 0 when not known.
[[nodiscard]] double workSecondsOf(const routing_outcome &outcome) noexcept
{
    const bool withoutTokens = outcome.promptTokens == 0 && outcome.outputTokens == 0;
    if (withoutTokens)
        return toSeconds(outcome.totalTime);
    if (outcome.outputTokens < 2)
        return 0;
    return toSeconds(outcome.totalTime - outcome.timeToFirstToken)
            / static_cast<double>(outcome.outputTokens - 1);
}

} // namespace

rate_observation observationOf(const routing_outcome &outcome, double pace) noexcept
{
    rate_observation seen;
    const std::int64_t tokens = outcome.promptTokens - outcome.cachedTokens;
    const double prefillSeconds = toSeconds(outcome.timeToFirstToken);
    seen.prefillOnly = outcome.prefillOnly;
    if (!outcome.answered || !(pace > 0))
        return seen;
    if (tokens >= minPrefillTokens && prefillSeconds > 0)
        seen.prefillTokensPerSecond
                = pace * static_cast<double>(tokens + outcome.tokensAhead) / prefillSeconds;
    if (!outcome.prefillOnly)
        seen.workSeconds = std::max(workSecondsOf(outcome), 0.0) / pace;
    return seen;
}

void learnt_value::observe(double value, double prior, bool slowIsLess) noexcept
{
    if (!(value > 0) || !std::isfinite(value))
        return;
    const double reference = known() || prior > 0 ? std::log(estimate(prior)) : std::log(value);
    const double deviation = std::clamp(std::log(value) - reference, -maxDeviation, maxDeviation);
    const bool doubtful = slowIsLess ? deviation < 0 : deviation > 0;
    const double weight = doubtful ? doubtfulWeight : 1.0;
    m_weight += weight;
    m_sum += weight * (reference + deviation);
    if (m_weight <= maxWeight)
        return;
    m_sum *= maxWeight / m_weight;
    m_weight = maxWeight;
}

double learnt_value::estimate(double prior) const noexcept
{
    if (!known())
        return prior;
    if (prior <= 0)
        return std::exp(m_sum / m_weight);
    return std::exp((m_sum + priorWeight * std::log(prior)) / (m_weight + priorWeight));
}

void endpoint_rates::observe(const rate_observation &seen, const endpoint_rates *pool) noexcept
{
    const std::size_t kind = seen.prefillOnly ? 1 : 0;
    m_prefill.at(kind).observe(seen.prefillTokensPerSecond,
                               pool ? pool->m_prefill.at(kind).estimate(0) : 0.0, true);
    m_work.observe(seen.workSeconds, pool ? pool->m_work.estimate(0) : 0.0, false);
}

double endpoint_rates::prefillTokensPerSecond(bool prefillOnly,
                                              const endpoint_rates &pool) const noexcept
{
    const std::size_t kind = prefillOnly ? 1 : 0;
    return m_prefill.at(kind).estimate(pool.m_prefill.at(kind).estimate(0));
}

double endpoint_rates::slowdown(const endpoint_rates &pool) const noexcept
{
    const double usual = pool.m_work.estimate(0);
    return usual > 0 ? m_work.estimate(usual) / usual : 1.0;
}

} // namespace yuccascale::kernel::policy

#include "yuccascale/kernel/policy/endpoint_rates.hpp"

#include "yuccascale/kernel/policy/routing.hpp"

#include <algorithm>
#include <cmath>

namespace yuccascale::kernel::policy {

namespace {

/// Shorter prefills show other delays. Ones behind more tokens than their own show the queue, whose
/// length is an estimate.
constexpr std::int64_t minPrefillTokens = 1'024;
/// A prior counts as this many observations.
constexpr double priorWeight = 1.0;
/// Greatest change of a logarithm that one observation suggests: a factor of 2.
constexpr double maxDeviation = 0.7;
/// Time in which observations lose two thirds of their weight.
constexpr double forgetSeconds = 10.0;
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
    const bool mostlyOwn = outcome.tokensAhead <= tokens;
    if (tokens >= minPrefillTokens && mostlyOwn && prefillSeconds > 0)
        seen.prefillTokensPerSecond
                = pace * static_cast<double>(tokens + outcome.tokensAhead) / prefillSeconds;
    if (!outcome.prefillOnly)
        seen.workSeconds = std::max(workSecondsOf(outcome), 0.0) / pace;
    return seen;
}

void learnt_value::observe(instant now, double value, double prior) noexcept
{
    if (!(value > 0) || !std::isfinite(value))
        return;
    const double reference
            = known() || prior > 0 ? std::log(estimate(now, prior)) : std::log(value);
    const double deviation = std::clamp(std::log(value) - reference, -maxDeviation, maxDeviation);
    const double kept = std::min(weightAt(now), maxWeight - 1);
    m_sum = known() ? m_sum * kept / m_weight : 0.0;
    m_weight = kept + 1;
    m_sum += reference + deviation;
    m_observedAt = now;
}

double learnt_value::weightAt(instant now) const noexcept
{
    const double age = std::max(toSeconds(now - m_observedAt), 0.0);
    return m_weight * std::exp(-age / forgetSeconds);
}

double learnt_value::estimate(instant now, double prior) const noexcept
{
    if (!known())
        return prior;
    const double mean = m_sum / m_weight;
    if (prior <= 0)
        return std::exp(mean);
    const double weight = weightAt(now);
    return std::exp((weight * mean + priorWeight * std::log(prior)) / (weight + priorWeight));
}

void endpoint_rates::observe(instant now, const rate_observation &seen,
                             const endpoint_rates *pool) noexcept
{
    const std::size_t kind = seen.prefillOnly ? 1 : 0;
    m_prefill.at(kind).observe(now, seen.prefillTokensPerSecond,
                               pool ? pool->m_prefill.at(kind).estimate(now, 0) : 0.0);
    m_work.observe(now, seen.workSeconds, pool ? pool->m_work.estimate(now, 0) : 0.0);
}

double endpoint_rates::prefillTokensPerSecond(instant now, bool prefillOnly,
                                              const endpoint_rates &pool) const noexcept
{
    const std::size_t kind = prefillOnly ? 1 : 0;
    return m_prefill.at(kind).estimate(now, pool.m_prefill.at(kind).estimate(now, 0));
}

double endpoint_rates::slowdown(instant now, const endpoint_rates &pool) const noexcept
{
    const double usual = pool.m_work.estimate(now, 0);
    return usual > 0 ? m_work.estimate(now, usual) / usual : 1.0;
}

} // namespace yuccascale::kernel::policy

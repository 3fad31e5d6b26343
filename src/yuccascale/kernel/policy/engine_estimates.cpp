#include "yuccascale/kernel/policy/engine_estimates.hpp"

#include <algorithm>

namespace yuccascale::kernel::policy {

namespace {

constexpr double stepBaseSeconds = 0.006;
constexpr double stepSecondsPerRequest = 0.00025;
constexpr double learningRate = 0.1;
constexpr double prefillRateDecay = 0.01; ///< per observation, towards what was seen
constexpr std::int64_t leastPromptTokens = 256;
constexpr std::int64_t leastOutputTokens = 8;
constexpr double leastSlowdown = 0.2;
constexpr double greatestSlowdown = 20.0;

double toSeconds(nanoseconds duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

/// Time to the first token includes waiting, so the rate seen is a lower bound: follow it up at
/// once and down slowly.
void learnPrefill(engine_estimate &estimate, const routing_outcome &outcome)
{
    const std::int64_t prompt = outcome.promptTokens - outcome.cachedTokens;
    const double taken = toSeconds(outcome.timeToFirstToken);
    if (prompt < leastPromptTokens || taken <= 0)
        return;
    const double seen = static_cast<double>(prompt) / taken;
    const double rate = estimate.prefillTokensPerSecond;
    estimate.prefillTokensPerSecond = std::max(seen, rate + prefillRateDecay * (seen - rate));
}

void learnDecode(engine_estimate &estimate, const routing_outcome &outcome)
{
    const double taken = toSeconds(outcome.totalTime - outcome.timeToFirstToken);
    if (outcome.outputTokens < leastOutputTokens || taken <= 0)
        return;
    const double perToken = taken / static_cast<double>(outcome.outputTokens);
    const double expected = engine_estimate{}.stepSeconds(outcome.runningAtDispatch + 1);
    const double seen = std::clamp(perToken / expected, leastSlowdown, greatestSlowdown);
    estimate.decodeSlowdown += learningRate * (seen - estimate.decodeSlowdown);
}

} // namespace

double engine_estimate::stepSeconds(double running) const noexcept
{
    return decodeSlowdown * (stepBaseSeconds + stepSecondsPerRequest * std::max(running, 1.0));
}

const engine_estimate &engine_estimates::of(std::string_view endpoint) const noexcept
{
    static const engine_estimate unknown;
    const auto found = m_estimates.find(endpoint);
    return found == m_estimates.end() ? unknown : found->second;
}

void engine_estimates::observe(const routing_outcome &outcome)
{
    if (!outcome.answered)
        return;
    engine_estimate &estimate = m_estimates[std::string(outcome.endpoint)];
    learnPrefill(estimate, outcome);
    learnDecode(estimate, outcome);
}

} // namespace yuccascale::kernel::policy

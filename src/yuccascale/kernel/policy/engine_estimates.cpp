#include "yuccascale/kernel/policy/engine_estimates.hpp"

#include <algorithm>

namespace yuccascale::kernel::policy {

namespace {

constexpr double stepBaseSeconds = 0.006;
constexpr double stepSecondsPerRequest = 0.00025;
constexpr double learningRate = 0.1;
constexpr double prefillRateDecay
        = 0.01; ///< fraction per observation, towards a lower observed rate
constexpr std::int64_t minPromptTokens = 256;
constexpr std::int64_t minOutputTokens = 8;
constexpr double minSlowdown = 0.2;
constexpr double maxSlowdown = 20.0;

double toSeconds(nanoseconds duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

/// The time to the first token includes queueing, so the observed rate is a lower bound: the
/// estimate rises to it immediately and falls slowly.
void learnPrefill(engine_estimate &estimate, const routing_outcome &outcome)
{
    const std::int64_t prompt = outcome.promptTokens - outcome.cachedTokens;
    const double elapsedSeconds = toSeconds(outcome.timeToFirstToken);
    if (prompt < minPromptTokens || elapsedSeconds <= 0)
        return;
    const double observed = static_cast<double>(prompt) / elapsedSeconds;
    const double rate = estimate.prefillTokensPerSecond;
    estimate.prefillTokensPerSecond
            = std::max(observed, rate + prefillRateDecay * (observed - rate));
}

void learnDecode(engine_estimate &estimate, const routing_outcome &outcome)
{
    const double elapsedSeconds = toSeconds(outcome.totalTime - outcome.timeToFirstToken);
    if (outcome.outputTokens < minOutputTokens || elapsedSeconds <= 0)
        return;
    const double perToken = elapsedSeconds / static_cast<double>(outcome.outputTokens);
    const double expected = engine_estimate{}.stepSeconds(outcome.runningAtDispatch + 1);
    const double observed = std::clamp(perToken / expected, minSlowdown, maxSlowdown);
    estimate.decodeSlowdown += learningRate * (observed - estimate.decodeSlowdown);
}

} // namespace

double engine_estimate::stepSeconds(double running) const noexcept
{
    return decodeSlowdown * (stepBaseSeconds + stepSecondsPerRequest * std::max(running, 1.0));
}

const engine_estimate &engine_estimates::estimateOf(std::string_view endpoint) const noexcept
{
    static const engine_estimate defaults;
    const auto found = m_estimates.find(endpoint);
    return found == m_estimates.end() ? defaults : found->second;
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

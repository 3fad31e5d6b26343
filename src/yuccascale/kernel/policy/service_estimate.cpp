#include "yuccascale/kernel/policy/service_estimate.hpp"

namespace yuccascale::kernel::policy {

namespace {

constexpr double idleFirstTokenSeconds = 0.05;
constexpr double idlePrefillTokensPerSecond = 8'000;
constexpr double learningRate = 0.05;
constexpr std::int64_t minOutputTokens = 8;

double idleTimeToFirstToken(std::int64_t promptTokens) noexcept
{
    return idleFirstTokenSeconds + static_cast<double>(promptTokens) / idlePrefillTokensPerSecond;
}

double toSeconds(nanoseconds duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

nanoseconds service_estimate::predict(std::int64_t promptTokens,
                                      std::int64_t outputTokens) const noexcept
{
    const double predictedSeconds = m_firstTokenFactor * idleTimeToFirstToken(promptTokens)
            + m_secondsPerToken * static_cast<double>(outputTokens);
    return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(predictedSeconds));
}

void service_estimate::observe(const routing_outcome &outcome) noexcept
{
    if (!outcome.answered)
        return;
    const double factor
            = toSeconds(outcome.timeToFirstToken) / idleTimeToFirstToken(outcome.promptTokens);
    m_firstTokenFactor += learningRate * (factor - m_firstTokenFactor);
    if (outcome.outputTokens < minOutputTokens)
        return;
    const double perToken = toSeconds(outcome.totalTime - outcome.timeToFirstToken)
            / static_cast<double>(outcome.outputTokens);
    m_secondsPerToken += learningRate * (perToken - m_secondsPerToken);
}

} // namespace yuccascale::kernel::policy

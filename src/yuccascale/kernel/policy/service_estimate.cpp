#include "yuccascale/kernel/policy/service_estimate.hpp"

namespace yuccascale::kernel::policy {

namespace {

constexpr double idleFirstTokenSeconds = 0.05;
constexpr double idlePrefillTokensPerSecond = 8'000;
constexpr double learningRate = 0.05;
constexpr std::int64_t leastOutputTokens = 8;

double idleFirstToken(std::int64_t promptTokens) noexcept
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
    const double taken = m_firstTokenFactor * idleFirstToken(promptTokens)
            + m_secondsPerToken * static_cast<double>(outputTokens);
    return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(taken));
}

void service_estimate::observe(const routing_outcome &outcome) noexcept
{
    if (!outcome.answered)
        return;
    const double factor
            = toSeconds(outcome.timeToFirstToken) / idleFirstToken(outcome.promptTokens);
    m_firstTokenFactor += learningRate * (factor - m_firstTokenFactor);
    if (outcome.outputTokens < leastOutputTokens)
        return;
    const double perToken = toSeconds(outcome.totalTime - outcome.timeToFirstToken)
            / static_cast<double>(outcome.outputTokens);
    m_secondsPerToken += learningRate * (perToken - m_secondsPerToken);
}

} // namespace yuccascale::kernel::policy

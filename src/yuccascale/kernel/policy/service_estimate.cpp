#include "yuccascale/kernel/policy/service_estimate.hpp"

#include <algorithm>

namespace yuccascale::kernel::policy {

namespace {

/// Weight of a new observation among many.
constexpr double learningRate = 0.05;
/// Sum of weights from which a fit is used.
constexpr double minWeight = 3;
/// Relative deviation of x below which a slope would only show noise.
constexpr double minRelativeDeviation = 0.1;
constexpr std::int64_t minOutputTokens = 8;

double toSeconds(nanoseconds duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void line_fit::observe(double x, double y) noexcept
{
    m_weight = m_weight * (1 - learningRate) + 1;
    const double rate = 1 / m_weight;
    const double deltaX = x - m_meanX;
    const double deltaY = y - m_meanY;
    m_meanX += rate * deltaX;
    m_meanY += rate * deltaY;
    m_varianceX = (1 - rate) * (m_varianceX + rate * deltaX * deltaX);
    m_covariance = (1 - rate) * (m_covariance + rate * deltaX * deltaY);
}

bool line_fit::known() const noexcept
{
    return m_weight >= minWeight;
}

double line_fit::at(double x) const noexcept
{
    const double minDeviation = minRelativeDeviation * m_meanX;
    if (m_varianceX <= minDeviation * minDeviation)
        return m_meanY;
    const double slope = std::max(m_covariance / m_varianceX, 0.0);
    return std::max(m_meanY + slope * (x - m_meanX), 0.0);
}

std::optional<nanoseconds> service_estimate::predict(std::int64_t promptTokens,
                                                     std::int64_t outputTokens) const noexcept
{
    if (!m_firstTokenSeconds.known())
        return std::nullopt;
    const double seconds = m_firstTokenSeconds.at(static_cast<double>(promptTokens))
            + m_secondsPerToken * static_cast<double>(outputTokens);
    return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(seconds));
}

void service_estimate::observe(const routing_outcome &outcome) noexcept
{
    if (!outcome.answered)
        return;
    m_firstTokenSeconds.observe(static_cast<double>(outcome.promptTokens),
                                toSeconds(outcome.timeToFirstToken));
    if (outcome.outputTokens < minOutputTokens)
        return;
    const double perToken = toSeconds(outcome.totalTime - outcome.timeToFirstToken)
            / static_cast<double>(outcome.outputTokens);
    m_secondsPerToken += learningRate * (perToken - m_secondsPerToken);
}

} // namespace yuccascale::kernel::policy

#include "yuccascale/kernel/policy/endpoint_pace.hpp"

#include <algorithm>
#include <cmath>

namespace yuccascale::kernel::policy {

namespace {

/// A pace lasts some hundreds of milliseconds; within this time the last figure loses two thirds of
/// its weight.
constexpr double lastFigureSeconds = 0.3;
/// An older figure says nothing about the pace now.
constexpr double maxFigureAgeSeconds = 1.0;
/// Time over which the average is taken, and in which it returns to the usual pace without figures.
constexpr double averageSeconds = 4.0;
/// Greatest weight of one figure in the average, however long none came before it.
constexpr double maxFigureWeight = 0.25;

[[nodiscard]] double toSeconds(nanoseconds duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void endpoint_pace::observe(instant measuredAt, double pace) noexcept
{
    if (measuredAt < m_measuredAt || measuredAt == instant{})
        return;
    const double gap = reported() ? toSeconds(measuredAt - m_measuredAt) : averageSeconds;
    const double weight = std::min(1 - std::exp(-gap / averageSeconds), maxFigureWeight);
    const double before = reported() ? average(measuredAt) : 1.0;
    m_average = before + weight * (pace - before);
    m_last = pace;
    m_measuredAt = measuredAt;
}

double endpoint_pace::average(instant now) const noexcept
{
    const double age = std::max(toSeconds(now - m_measuredAt), 0.0);
    return 1 + (m_average - 1) * std::exp(-age / averageSeconds);
}

double endpoint_pace::expected(instant now, double workSeconds) const noexcept
{
    const double usual = average(now);
    const double age = std::max(toSeconds(now - m_measuredAt), 0.0);
    if (!reported() || age > maxFigureAgeSeconds)
        return usual;
    const double spans = std::max(workSeconds, 0.0) / lastFigureSeconds;
    const double weightDuringWork = spans > 0 ? -std::expm1(-spans) / spans : 1.0;
    return usual + (m_last - usual) * std::exp(-age / lastFigureSeconds) * weightDuringWork;
}

} // namespace yuccascale::kernel::policy

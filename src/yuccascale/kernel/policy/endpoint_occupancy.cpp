#include "yuccascale/kernel/policy/endpoint_occupancy.hpp"

#include <algorithm>
#include <cmath>

namespace yuccascale::kernel::policy {

namespace {

/// Time of an answer before the first one.
constexpr double defaultAnswerSeconds = 0.05;
/// Time in which a report of other requests loses its weight, in times of an answer, and its
/// bounds.
constexpr double answersPerReport = 2.0;
constexpr double minReportSeconds = 0.2;
constexpr double maxReportSeconds = 1.0;
/// A request that is held back is looked at again after this time at the latest, so a service may
/// queue as much as it works off meanwhile.
constexpr double holdSeconds = 0.05;
/// Deviation of the estimated number of requests from the true one.
constexpr double requestDeviation = 1.0;

[[nodiscard]] double toSeconds(nanoseconds duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

[[nodiscard]] double ageOf(instant now, const endpoint_view &view) noexcept
{
    return std::max(toSeconds(now - view.report.measuredAt), 0.0);
}

/// \returns the time in which most requests that a report counted have ended.
[[nodiscard]] double reportSecondsAt(instant now, const endpoint_view &view) noexcept
{
    const double queuedRounds = static_cast<double>(std::max(view.report.queued, 0))
            / static_cast<double>(view.speed->slots);
    return std::clamp((answersPerReport + queuedRounds) * answerSecondsAt(now, view),
                      minReportSeconds, maxReportSeconds);
}

} // namespace

double answerSecondsAt(instant now, const endpoint_view &view) noexcept
{
    const endpoint_speed &speed = *view.speed;
    const double usual = speed.answerSeconds > 0 ? speed.answerSeconds : defaultAnswerSeconds;
    return usual * speed.slowdown * speed.pace.expected(now, usual);
}

double prefillRateAt(instant now, const endpoint_view &view, double tokens,
                     double usualRate) noexcept
{
    const endpoint_speed &speed = *view.speed;
    const double rate = speed.prefillTokensPerSecond > 0 ? speed.prefillTokensPerSecond : usualRate;
    return rate / speed.pace.expected(now, tokens / rate);
}

double slotWaitAt(instant now, const endpoint_view &view, double requests) noexcept
{
    const double excess = (requests + 1 - view.speed->slots) / requestDeviation;
    // smooth maximum of 0 and the excess, since the number of requests is an estimate
    const double expected
            = requestDeviation * (std::max(excess, 0.0) + std::log1p(std::exp(-std::abs(excess))));
    return expected * answerSecondsAt(now, view) / view.speed->slots;
}

double roomAt(instant now, const endpoint_view &view, double slotFactor) noexcept
{
    const double slots = slotFactor * view.speed->slots;
    if (!view.speed->plainService)
        return slots;
    return slots + holdSeconds * view.speed->slots / answerSecondsAt(now, view);
}

double unseenSecondsAt(instant now, const endpoint_view &view) noexcept
{
    return std::min(ageOf(now, view), reportSecondsAt(now, view));
}

std::span<const double> occupancy_estimator::estimate(instant now,
                                                      std::span<const endpoint_view> views,
                                                      std::span<const std::size_t> indexes)
{
    m_weights.clear();
    m_others.clear();
    m_requests.clear();
    double perSlot = 0;
    for (const std::size_t index : indexes) {
        const endpoint_view &view = views[index];
        const int ownReported = view.ownOutstandingRequests - view.sentSinceReport;
        const int reported = std::max(view.report.running, 0) + std::max(view.report.queued, 0);
        m_others.push_back(std::max(reported - ownReported, 0));
        m_weights.push_back(std::exp(-ageOf(now, view) / reportSecondsAt(now, view)));
        perSlot += m_weights.back() * m_others.back() / view.speed->slots;
    }
    // endpoints without a recent report count as empty: mostly loaded ones send reports, and the
    // mean of those alone would keep the others from being used again
    const double meanPerSlot
            = indexes.empty() ? 0.0 : perSlot / static_cast<double>(indexes.size());
    for (std::size_t position = 0; position < indexes.size(); ++position) {
        const endpoint_view &view = views[indexes[position]];
        const double mean = meanPerSlot * view.speed->slots;
        m_requests.push_back(view.ownOutstandingRequests + mean
                             + m_weights[position] * (m_others[position] - mean));
    }
    return m_requests;
}

} // namespace yuccascale::kernel::policy

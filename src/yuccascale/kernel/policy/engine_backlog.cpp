#include "yuccascale/kernel/policy/engine_backlog.hpp"

#include <algorithm>
#include <cmath>

namespace yuccascale::kernel::policy {

namespace {

constexpr double learningRate = 0.02;
constexpr double reportTrust = 0.2; ///< of the mean service time; a report fades so fast

double toSeconds(nanoseconds duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

std::span<const engine_backlog> backlog_estimator::estimate(instant now,
                                                            std::span<const endpoint_view> views,
                                                            std::span<const std::size_t> indexes,
                                                            int entries,
                                                            const engine_estimates &estimates)
{
    m_backlogs.clear();
    double own = 0;
    double ownPrefill = 0;
    for (const std::size_t index : indexes) {
        own += views[index].outstandingHere;
        ownPrefill += static_cast<double>(views[index].prefillTokensHere);
    }
    const double prefillPerRequest = own > 0 ? ownPrefill / own : 0;
    const double others = std::max(entries - 1, 0);
    for (const std::size_t index : indexes) {
        const endpoint_view &view = views[index];
        const load_report &report = view.report;
        const double age = std::max(toSeconds(now - report.measuredAt), 0.0);
        const double still = std::exp(-age / (reportTrust * m_serviceSeconds));
        const int ownReported = view.outstandingHere - view.sentSinceReport;
        const double reported = std::max(report.running + report.queued - ownReported, 0);
        const double unseen = others * view.outstandingHere * (1.0 - still);
        const double rate = estimates.of(view.row->name).prefillTokensPerSecond;
        const double prefill = static_cast<double>(report.prefillTokensWaiting) - rate * age;
        const auto sent = static_cast<double>(
                std::min(view.prefillTokensSinceReport, view.prefillTokensHere));
        m_backlogs.push_back({std::max(prefill, 0.0) + sent + unseen * prefillPerRequest,
                              view.outstandingHere + reported * still + unseen, unseen});
    }
    return m_backlogs;
}

void backlog_estimator::observe(const routing_outcome &outcome) noexcept
{
    if (outcome.answered)
        m_serviceSeconds += learningRate * (toSeconds(outcome.totalTime) - m_serviceSeconds);
    m_serviceSeconds = std::max(m_serviceSeconds, 0.05);
}

} // namespace yuccascale::kernel::policy

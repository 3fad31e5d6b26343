#include "yuccascale/kernel/policy/engine_backlog.hpp"

#include <algorithm>
#include <cmath>

namespace yuccascale::kernel::policy {

namespace {

/// Weight of an answer in the mean service time; the first answers weigh more, so that an entry
/// with little traffic does not keep the assumed value for long.
constexpr double learningRate = 0.02;
constexpr double minServiceSeconds = 0.05;
constexpr double reportDecayFraction
        = 0.2; ///< decay time of a report, as a fraction of the mean service time

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
    double ownRequests = 0;
    double ownPrefillTokens = 0;
    for (const std::size_t index : indexes) {
        ownRequests += views[index].ownOutstandingRequests;
        ownPrefillTokens += static_cast<double>(views[index].ownPrefillTokens);
    }
    const double prefillPerRequest = ownRequests > 0 ? ownPrefillTokens / ownRequests : 0;
    const double otherEntries = std::max(entries - 1, 0);
    for (const std::size_t index : indexes) {
        const endpoint_view &view = views[index];
        const load_report &report = view.report;
        const double age = std::max(toSeconds(now - report.measuredAt), 0.0);
        const double reportWeight = std::exp(-age / (reportDecayFraction * m_meanServiceSeconds));
        const int ownReported = view.ownOutstandingRequests - view.sentSinceReport;
        const double reportedByOthers = std::max(report.running + report.queued - ownReported, 0);
        const double unreported = otherEntries * view.ownOutstandingRequests * (1.0 - reportWeight);
        const double rate = estimates.estimateOf(view.row->name).prefillTokensPerSecond;
        const double prefill = static_cast<double>(report.prefillTokensWaiting) - rate * age;
        const auto ownSentTokens = static_cast<double>(
                std::min(view.prefillTokensSinceReport, view.ownPrefillTokens));
        m_backlogs.push_back(
                {std::max(prefill, 0.0) + ownSentTokens + unreported * prefillPerRequest,
                 view.ownOutstandingRequests + reportedByOthers * reportWeight + unreported,
                 unreported});
    }
    return m_backlogs;
}

void backlog_estimator::observe(const routing_outcome &outcome) noexcept
{
    if (!outcome.answered)
        return;
    ++m_answers;
    const double weight = std::max(1.0 / static_cast<double>(m_answers), learningRate);
    m_meanServiceSeconds += weight * (toSeconds(outcome.totalTime) - m_meanServiceSeconds);
    m_meanServiceSeconds = std::max(m_meanServiceSeconds, minServiceSeconds);
}

} // namespace yuccascale::kernel::policy

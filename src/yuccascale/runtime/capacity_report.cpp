#include "yuccascale/runtime/capacity_report.hpp"

#include <cmath>
#include <string_view>

namespace yuccascale::runtime {

namespace {

using kernel::policy::capacity_status;

/// With one decimal place, since more would be noise.
std::string rounded(double number)
{
    std::string text = std::to_string(std::round(number * 10) / 10);
    text.resize(text.find('.') + 2);
    return text;
}

std::string percent(double share)
{
    return rounded(share * 100);
}

void addGauge(std::string &text, std::string_view name, const std::string &labels, double value)
{
    text.append(name).append("{").append(labels).append("} ");
    text.append(std::to_string(value)).append("\n");
}

std::string zoneLabels(const std::string &pool, const std::string &zone, std::string_view tenure)
{
    std::string labels = pool + ",zone=\"" + zone + "\",tenure=\"";
    return labels.append(tenure).append("\"");
}

void addPool(std::string &text, const capacity_status &status)
{
    const std::string pool = "pool=\"" + status.pool + "\"";
    addGauge(text, "yuccascale_pool_load_engines", pool + ",of=\"peak\"", status.plan.peakLoad);
    addGauge(text, "yuccascale_pool_load_engines", pool + ",of=\"mean\"", status.plan.meanLoad);
    addGauge(text, "yuccascale_pool_load_engines", pool + ",of=\"steady\"", status.plan.steadyLoad);
    addGauge(text, "yuccascale_pool_needed_engines", pool, status.plan.requirements.load);
    addGauge(text, "yuccascale_pool_entries", pool + ",of=\"reporting\"",
             status.work.entriesReporting);
    addGauge(text, "yuccascale_pool_entries", pool + ",of=\"running\"", status.work.entriesRunning);
    addGauge(text, "yuccascale_pool_strain", pool + ",of=\"late\"", status.work.strain.late);
    addGauge(text, "yuccascale_pool_strain", pool + ",of=\"rejected\"",
             status.work.strain.rejected);
    addGauge(text, "yuccascale_pool_strain", pool + ",of=\"waiting\"", status.work.strain.waiting);
    for (const auto &[zone, counts] : status.plan.zones) {
        addGauge(text, "yuccascale_pool_wanted_endpoints", zoneLabels(pool, zone, "steady"),
                 counts.steady);
        addGauge(text, "yuccascale_pool_wanted_endpoints", zoneLabels(pool, zone, "cheap"),
                 counts.cheap);
    }
    if (!status.held.empty()) {
        addGauge(text, "yuccascale_pool_reductions_held",
                 pool + ",reason=\"" + std::string(status.held) + "\"", 1);
    }
}

} // namespace

std::vector<kernel::event_field> capacityFields(const capacity_status &status)
{
    const kernel::policy::measured_work &work = status.work;
    return {{"pool", status.pool},
            {"peak", rounded(status.plan.peakLoad)},
            {"mean", rounded(status.plan.meanLoad)},
            {"steady", rounded(status.plan.steadyLoad)},
            {"peak_tokens_per_s", std::llround(work.peak.tokensPerSecond)},
            {"peak_busy_slots", std::llround(work.peak.busySlots)},
            {"prefill_tokens_per_s", std::llround(work.prefillTokensPerSecond)},
            {"entries_reporting", work.entriesReporting},
            {"entries_running", work.entriesRunning},
            {"late_percent", percent(work.strain.late)},
            {"rejected_percent", percent(work.strain.rejected)},
            {"waiting_percent", percent(work.strain.waiting)},
            {"planned_steady", status.plan.total.steady},
            {"planned_cheap", status.plan.total.cheap},
            {"serving_steady", status.serving.steady},
            {"serving_cheap", status.serving.cheap},
            {"held", status.held}};
}

std::string capacityMetrics(std::span<const capacity_status> pools)
{
    std::string text;
    for (const capacity_status &status : pools)
        addPool(text, status);
    return text;
}

} // namespace yuccascale::runtime

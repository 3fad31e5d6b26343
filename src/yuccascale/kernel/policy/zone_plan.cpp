#include "yuccascale/kernel/policy/zone_plan.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace yuccascale::kernel::policy {

namespace {

/// Use of the endpoints in the busiest second. In front of an engine that is half used, 2 in 100
/// requests wait for longer than 2.6 prompts, about 200 ms, which the shortest targets for the
/// first token allow. At 0.7 it is one in ten.
constexpr double peakUse = 0.5;
/// Use at which capacity_plan plans.
constexpr double planUse = 0.8;
constexpr double planSteadyUse = 0.7;
/// Factors by which the load may rise before endpoints that are ordered then serve; the largest for
/// which the pool has room. Callers that had left return together, at twice the usual rate.
constexpr double surgeFactors[] = {2.0, 1.5, 1.0};
constexpr double crashedEndpoints = 1;
/// Prefill rate of an engine before one was learnt; low, so that more endpoints are kept.
constexpr double initialTokensPerSecond = 16'000;

double engines(const work_rate &rate, double tokensPerSecond, double slots) noexcept
{
    return std::max(rate.tokensPerSecond / tokensPerSecond, rate.busySlots / slots);
}

int roundUp(double number) noexcept
{
    constexpr double largest = 1e6;
    return static_cast<int>(std::ceil(std::min(number, largest) - 1e-9));
}

/// Steady endpoints carry the work that only they may run, and the mean load alone: cheap ones of
/// several zones may be reclaimed within a short time.
int minSteady(const zone_plan &plan, std::span<const zone_supply> zones) noexcept
{
    int kept = 0;
    for (const zone_supply &zone : zones)
        kept += zone.minSteady;
    return std::max({roundUp(plan.steadyLoad / peakUse), roundUp(plan.meanLoad / peakUse), kept});
}

capacity_requirements requirementsOf(const zone_plan &plan, const state::endpoint_scaling &scaling,
                                     std::span<const zone_supply> zones)
{
    capacity_requirements out;
    const int count = static_cast<int>(zones.size());
    out.steadyLoad = planSteadyUse * minSteady(plan, zones);
    out.minEndpoints = scaling.least * count;
    out.maxEndpoints = scaling.most * count;
    out.steadyPrice = 0;
    for (const zone_supply &zone : zones)
        out.steadyPrice += zone.price / count;
    out.cheapPrice = out.steadyPrice * scaling.cheapPrice;
    if (scaling.cheapPrice > 0 && scaling.cheapPrice <= maxCheapPrice)
        out.cheapZones
                = static_cast<int>(std::ranges::count_if(zones, &zone_supply::cheapAvailable));
    // a zone without cheap endpoints is the loss that was provided for
    out.toleratesZoneLoss = out.cheapZones == count;
    return out;
}

/// Chooses the zone for one more endpoint: the one with the fewest, of those the one with the
/// lowest price.
template<typename Count>
const zone_supply *zoneForNext(std::span<const zone_supply> zones, Count count)
{
    const zone_supply *best = nullptr;
    for (const zone_supply &zone : zones) {
        const int number = count(zone);
        if (number < 0)
            continue;
        if (best == nullptr || number < count(*best)
            || (number == count(*best) && zone.price < best->price))
            best = &zone;
    }
    return best;
}

/// Cheap endpoints are placed first, since not every zone may have them.
void distribute(zone_plan &plan, const state::endpoint_scaling &scaling,
                std::span<const zone_supply> zones)
{
    const auto full = [&](const zone_supply &zone) {
        const zone_counts &counts = plan.zones[zone.zone];
        return counts.steady + counts.cheap >= scaling.most;
    };
    const auto cheapIn = [&](const zone_supply &zone) {
        const bool excluded = !zone.cheapAvailable || full(zone)
                || plan.zones[zone.zone].cheap + zone.minSteady >= scaling.most;
        return excluded ? -1 : plan.zones[zone.zone].cheap;
    };
    const auto steadyIn = [&](const zone_supply &zone) {
        return full(zone) ? -1 : plan.zones[zone.zone].steady;
    };
    for (const zone_supply &zone : zones)
        plan.zones[zone.zone] = {};
    for (int number = 0; number < plan.total.cheap; ++number) {
        if (const zone_supply *zone = zoneForNext(zones, cheapIn))
            ++plan.zones[zone->zone].cheap;
    }
    for (int number = 0; number < plan.total.steady; ++number) {
        if (const zone_supply *zone = zoneForNext(zones, steadyIn))
            ++plan.zones[zone->zone].steady;
    }
    for (const zone_supply &zone : zones) {
        zone_counts &counts = plan.zones[zone.zone];
        counts.steady = std::max({counts.steady, scaling.least - counts.cheap, zone.minSteady});
    }
}

void keepAll(zone_plan &plan, const state::endpoint_scaling &scaling,
             std::span<const zone_supply> zones)
{
    plan.total = {};
    for (const zone_supply &zone : zones) {
        zone_counts &counts = plan.zones[zone.zone];
        counts.steady = std::max({zone.steady, scaling.least - zone.cheap, zone.minSteady});
        const bool cheap = plan.requirements.cheapZones > 0 && zone.cheapAvailable;
        counts.cheap = cheap ? std::max(scaling.most - counts.steady, 0) : 0;
        plan.total.steady += counts.steady;
        plan.total.cheap += counts.cheap;
    }
}

} // namespace

state::endpoint_scaling soundBounds(state::endpoint_scaling scaling)
{
    scaling.most = std::clamp(scaling.most, 0, mostPerZone);
    scaling.least = std::clamp(scaling.least, 0, scaling.most);
    return scaling;
}

zone_plan planZones(const measured_work &work, double slots, const state::endpoint_scaling &scaling,
                    std::span<const zone_supply> zones)
{
    const double rate = work.prefillTokensPerSecond > 0 ? work.prefillTokensPerSecond
                                                        : initialTokensPerSecond;
    zone_plan plan;
    plan.peakLoad = engines(work.peak, rate, slots);
    plan.meanLoad = engines(work.mean, rate, slots);
    plan.steadyLoad = engines(work.steadyPeak, rate, slots);
    plan.requirements = requirementsOf(plan, scaling, zones);
    for (const double surge : surgeFactors) {
        plan.requirements.load = surge * plan.peakLoad * planUse / peakUse + crashedEndpoints;
        plan.total = planCapacity(plan.requirements);
        const int cheapZones = std::max(plan.requirements.cheapZones, 1);
        plan.satisfiable = coversLoad(plan.requirements,
                                      {plan.total.steady, plan.total.cheap,
                                       (plan.total.cheap + cheapZones - 1) / cheapZones});
        if (plan.satisfiable) {
            distribute(plan, scaling, zones);
            return plan;
        }
    }
    keepAll(plan, scaling, zones);
    return plan;
}

serving_capacity servingIn(std::span<const zone_supply> zones) noexcept
{
    serving_capacity out;
    for (const zone_supply &zone : zones) {
        out.steady += zone.steady;
        out.cheap += zone.cheap;
        out.largestCheapZone = std::max(out.largestCheapZone, zone.cheap);
    }
    return out;
}

} // namespace yuccascale::kernel::policy

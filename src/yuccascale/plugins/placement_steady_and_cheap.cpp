#include "yuccascale/kernel/policy/capacity_plan.hpp"
#include "yuccascale/kernel/policy/fleet_load.hpp"

#include <algorithm>
#include <cmath>
#include <deque>

/// \file
/// \brief Placement of steady endpoints for non-idempotent work and cheap ones for the rest.
///
/// When the platform reclaims or refuses a cheap kind, its zone is assumed to have run out of it:
/// the kind is avoided there for a time that doubles with each repetition.

namespace yuccascale::plugins {

namespace {

using namespace kernel::policy;
using kernel::instant;
using kernel::nanoseconds;
using kernel::state::endpoint_tenure;

constexpr nanoseconds peakWindow = kernel::seconds(180); ///< capacity for a peak is kept this long
constexpr nanoseconds trendWindow = kernel::seconds(60);
constexpr nanoseconds initialAvoidance = kernel::seconds(300);
constexpr nanoseconds maxAvoidance = kernel::seconds(3'600);
/// Growth of the load over the trend window that counts as rising.
constexpr double risingFactor = 1.05;
constexpr int maxStopsPerDecision = 2; ///< endpoints stopped in one decision
/// Endpoints starting at once, limited because they share the weight store.
constexpr std::size_t maxStarting = 6;

struct load_sample
{
    instant takenAt;
    double load = 0;
};

struct avoidance
{
    instant until{};
    nanoseconds length{};
};

/// Number of endpoints of one tenure, serving or starting.
struct tenure_count
{
    std::map<std::string, int> byZone;
    int total = 0;
};

class steady_and_cheap_placement final : public placement_policy
{
public:
    [[nodiscard]] std::vector<placement_change>
    decide(instant now, const pool_demand &demand, const engine_rates &rates,
           std::span<const engine_view> engines, std::span<const endpoint_offer> starting,
           std::span<const endpoint_offer> offers) override
    {
        const std::vector<endpoint_offer> available = availableOffers(now, offers);
        const double load = expectedLoad(now, fleetLoad(demand, rates).total(), offers);
        const capacity_requirements need = needOf(demand, load, available);
        const capacity_plan plan = planCapacity(need);
        const tenure_count steady = countTenure(endpoint_tenure::Steady, engines, starting);
        const tenure_count cheap = countTenure(endpoint_tenure::Cheap, engines, starting);
        const std::string reason = reasonOf(load, plan);
        std::vector<placement_change> changes;
        m_startsLeft = maxStarting > starting.size() ? maxStarting - starting.size() : 0;
        start(endpoint_tenure::Steady, plan.steady, steady, available, reason, changes);
        start(endpoint_tenure::Cheap, plan.cheap, cheap, available, reason, changes);
        for (int stops = 0; stops < maxStopsPerDecision && !m_rising; ++stops)
            stop(need, plan, engines, reason, changes);
        return changes;
    }

    void reclaimed(instant now, const std::string &zone, const std::string &kind) override
    {
        avoidance &avoided = m_avoided[{zone, kind}];
        if (now < avoided.until)
            return;
        avoided.length = std::clamp(avoided.length * 2, initialAvoidance, maxAvoidance);
        avoided.until = now + avoided.length;
    }

private:
    [[nodiscard]] std::vector<endpoint_offer>
    availableOffers(instant now, std::span<const endpoint_offer> offers)
    {
        std::vector<endpoint_offer> available;
        for (const endpoint_offer &offer : offers) {
            const auto found = m_avoided.find({offer.zone, offer.kind});
            if (found == m_avoided.end() || found->second.until <= now)
                available.push_back(offer);
        }
        return available;
    }

    /// The highest load of the last minutes, or the load that the trend predicts for the time when
    /// an endpoint ordered now would be ready, whichever is higher.
    double expectedLoad(instant now, double load, std::span<const endpoint_offer> offers)
    {
        m_samples.push_back({now, load});
        while (now - m_samples.front().takenAt > peakWindow)
            m_samples.pop_front();
        const load_sample *earlier = &m_samples.front();
        double peak = 0;
        for (const load_sample &sample : m_samples) {
            peak = std::max(peak, sample.load);
            if (now - sample.takenAt >= trendWindow)
                earlier = &sample;
        }
        m_rising = load > risingFactor * earlier->load;
        const double elapsedSeconds = std::chrono::duration<double>(now - earlier->takenAt).count();
        if (elapsedSeconds < 10.0)
            return peak;
        double longestStartSeconds = 0;
        for (const endpoint_offer &offer : offers)
            longestStartSeconds = std::max(longestStartSeconds,
                                           std::chrono::duration<double>(offer.startTime).count());
        const double trend = load
                + (load - earlier->load) / elapsedSeconds
                        * std::min(longestStartSeconds, 2 * elapsedSeconds);
        return std::max(peak, std::min(trend, 1.5 * peak));
    }

    [[nodiscard]] static capacity_requirements needOf(const pool_demand &demand, double load,
                                                      std::span<const endpoint_offer> offers)
    {
        capacity_requirements need;
        need.load = load;
        need.steadyLoad = load * demand.nonIdempotentShare;
        need.minEndpoints = demand.minEndpoints;
        need.maxEndpoints = demand.maxEndpoints;
        std::map<std::string, double> cheapZones;
        for (const endpoint_offer &offer : offers) {
            if (offer.tenure == endpoint_tenure::Cheap) {
                cheapZones[offer.zone] = offer.pricePerHour;
                need.cheapPrice = offer.pricePerHour;
            } else {
                need.steadyPrice = offer.pricePerHour;
            }
        }
        need.cheapZones = static_cast<int>(cheapZones.size());
        return need;
    }

    [[nodiscard]] static tenure_count countTenure(endpoint_tenure tenure,
                                                  std::span<const engine_view> engines,
                                                  std::span<const endpoint_offer> starting)
    {
        tenure_count counts;
        for (const engine_view &engine : engines) {
            if (!engine.leaving && engine.row->tenure == tenure) {
                ++counts.byZone[engine.row->zone];
                ++counts.total;
            }
        }
        for (const endpoint_offer &offer : starting) {
            if (offer.tenure == tenure) {
                ++counts.byZone[offer.zone];
                ++counts.total;
            }
        }
        return counts;
    }

    void start(endpoint_tenure tenure, int wanted, tenure_count current,
               std::span<const endpoint_offer> offers, const std::string &reason,
               std::vector<placement_change> &changes)
    {
        for (; current.total < wanted && m_startsLeft > 0; ++current.total, --m_startsLeft) {
            const endpoint_offer *best = nullptr;
            for (const endpoint_offer &offer : offers) {
                if (offer.tenure == tenure
                    && (best == nullptr || current.byZone[offer.zone] < current.byZone[best->zone]))
                    best = &offer;
            }
            if (best == nullptr)
                return;
            ++current.byZone[best->zone];
            changes.push_back({true, {}, *best, reason});
        }
    }

    /// Stops one endpoint above the plan, a steady one first, if the others that serve already can
    /// carry the load.
    static void stop(const capacity_requirements &need, const capacity_plan &plan,
                     std::span<const engine_view> engines, const std::string &reason,
                     std::vector<placement_change> &changes)
    {
        std::vector<engine_view> serving;
        for (const engine_view &engine : engines) {
            const bool stopped = std::ranges::any_of(changes, [&engine](const auto &change) {
                return change.endpoint == engine.row->name;
            });
            if (!engine.leaving && !stopped)
                serving.push_back(engine);
        }
        const tenure_count steady = countTenure(endpoint_tenure::Steady, serving, {});
        const tenure_count cheap = countTenure(endpoint_tenure::Cheap, serving, {});
        serving_capacity left{steady.total, cheap.total, largestZone(cheap)};
        const bool stopSteady = steady.total > plan.steady
                && coversLoad(need, {left.steady - 1, left.cheap, left.largestCheapZone});
        if (!stopSteady && (cheap.total <= plan.cheap || steady.total > plan.steady))
            return;
        --left.cheap;
        if (!stopSteady && !coversLoad(need, left))
            return;
        const endpoint_tenure tenure
                = stopSteady ? endpoint_tenure::Steady : endpoint_tenure::Cheap;
        const tenure_count &from = stopSteady ? steady : cheap;
        const engine_view *chosen = nullptr;
        const auto zoneCount
                = [&from](const engine_view &engine) { return from.byZone.at(engine.row->zone); };
        for (const engine_view &engine : serving) {
            if (engine.changing || engine.row->tenure != tenure)
                continue;
            if (chosen == nullptr || zoneCount(engine) > zoneCount(*chosen)
                || (zoneCount(engine) == zoneCount(*chosen) && engine.running < chosen->running))
                chosen = &engine;
        }
        if (chosen != nullptr)
            changes.push_back({false, chosen->row->name, {}, reason});
    }

    [[nodiscard]] static int largestZone(const tenure_count &counts)
    {
        int largest = 0;
        for (const auto &[zone, count] : counts.byZone)
            largest = std::max(largest, count);
        return largest;
    }

    [[nodiscard]] static std::string reasonOf(double load, const capacity_plan &plan)
    {
        return "expected load " + std::to_string(std::lround(load * 10)) + " tenths of an engine"
                + ", planned endpoints: " + std::to_string(plan.steady) + " steady and "
                + std::to_string(plan.cheap) + " cheap";
    }

    std::deque<load_sample> m_samples;
    std::map<std::pair<std::string, std::string>, avoidance> m_avoided; ///< by zone and kind
    std::size_t m_startsLeft = 0;
    bool m_rising = false; ///< the load is rising, so nothing is stopped
};

const placement_policy_registry::registration addSteadyAndCheap{
        "steady_and_cheap", [] { return std::make_unique<steady_and_cheap_placement>(); }};

} // namespace

} // namespace yuccascale::plugins

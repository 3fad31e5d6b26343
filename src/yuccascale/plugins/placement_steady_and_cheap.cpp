#include "yuccascale/kernel/policy/capacity_plan.hpp"
#include "yuccascale/kernel/policy/fleet_load.hpp"

#include <algorithm>
#include <cmath>
#include <deque>

/// \file
/// \brief Steady endpoints for what must not be lost, cheap ones for the rest.
///
/// A reclaimed or refused cheap kind is taken as a sign that its zone has run out of it and is left
/// alone for a time that doubles with each repetition.

namespace yuccascale::plugins {

namespace {

using namespace kernel::policy;
using kernel::instant;
using kernel::nanoseconds;
using kernel::state::endpoint_tenure;

constexpr nanoseconds peakWindow = kernel::seconds(180); ///< a peak holds its capacity so long
constexpr nanoseconds trendWindow = kernel::seconds(60);
constexpr nanoseconds firstAvoidance = kernel::seconds(300);
constexpr nanoseconds longestAvoidance = kernel::seconds(3'600);
constexpr double risingFactor = 1.05;   ///< over the trend window
constexpr int mostStops = 2;            ///< in one decision
constexpr std::size_t mostStarting = 6; ///< they share the weight store

struct reading
{
    instant at;
    double load = 0;
};

struct avoidance
{
    instant until{};
    nanoseconds length{};
};

/// What there is of one tenure, serving or starting.
struct holding
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
        const std::vector<endpoint_offer> open = openOffers(now, offers);
        const double load = expectedLoad(now, fleetLoad(demand, rates).total(), offers);
        const capacity_requirements need = needOf(demand, load, open);
        const capacity_plan plan = planCapacity(need);
        const holding steady = holdingOf(endpoint_tenure::Steady, engines, starting);
        const holding cheap = holdingOf(endpoint_tenure::Cheap, engines, starting);
        const std::string why = reasonOf(load, plan);
        std::vector<placement_change> changes;
        m_room = mostStarting > starting.size() ? mostStarting - starting.size() : 0;
        start(endpoint_tenure::Steady, plan.steady, steady, open, why, changes);
        start(endpoint_tenure::Cheap, plan.cheap, cheap, open, why, changes);
        for (int stops = 0; stops < mostStops && !m_rising; ++stops)
            stop(need, plan, engines, why, changes);
        return changes;
    }

    void reclaimed(instant now, const std::string &zone, const std::string &kind) override
    {
        avoidance &its = m_avoided[{zone, kind}];
        if (now < its.until)
            return;
        its.length = std::clamp(its.length * 2, firstAvoidance, longestAvoidance);
        its.until = now + its.length;
    }

private:
    [[nodiscard]] std::vector<endpoint_offer> openOffers(instant now,
                                                         std::span<const endpoint_offer> offers)
    {
        std::vector<endpoint_offer> open;
        for (const endpoint_offer &offer : offers) {
            const auto found = m_avoided.find({offer.zone, offer.kind});
            if (found == m_avoided.end() || found->second.until <= now)
                open.push_back(offer);
        }
        return open;
    }

    /// The highest of the last minutes, or of the trend by the time an order would serve.
    double expectedLoad(instant now, double load, std::span<const endpoint_offer> offers)
    {
        m_readings.push_back({now, load});
        while (now - m_readings.front().at > peakWindow)
            m_readings.pop_front();
        const reading *earlier = &m_readings.front();
        double peak = 0;
        for (const reading &each : m_readings) {
            peak = std::max(peak, each.load);
            if (now - each.at >= trendWindow)
                earlier = &each;
        }
        m_rising = load > risingFactor * earlier->load;
        const double passed = std::chrono::duration<double>(now - earlier->at).count();
        if (passed < 10.0)
            return peak;
        double ahead = 0;
        for (const endpoint_offer &offer : offers)
            ahead = std::max(ahead, std::chrono::duration<double>(offer.startTime).count());
        const double trend = load + (load - earlier->load) / passed * std::min(ahead, 2 * passed);
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

    [[nodiscard]] static holding holdingOf(endpoint_tenure tenure,
                                           std::span<const engine_view> engines,
                                           std::span<const endpoint_offer> starting)
    {
        holding its;
        for (const engine_view &engine : engines) {
            if (!engine.leaving && engine.row->tenure == tenure) {
                ++its.byZone[engine.row->zone];
                ++its.total;
            }
        }
        for (const endpoint_offer &offer : starting) {
            if (offer.tenure == tenure) {
                ++its.byZone[offer.zone];
                ++its.total;
            }
        }
        return its;
    }

    void start(endpoint_tenure tenure, int wanted, holding have,
               std::span<const endpoint_offer> offers, const std::string &why,
               std::vector<placement_change> &changes)
    {
        for (; have.total < wanted && m_room > 0; ++have.total, --m_room) {
            const endpoint_offer *best = nullptr;
            for (const endpoint_offer &offer : offers) {
                if (offer.tenure == tenure
                    && (best == nullptr || have.byZone[offer.zone] < have.byZone[best->zone]))
                    best = &offer;
            }
            if (best == nullptr)
                return;
            ++have.byZone[best->zone];
            changes.push_back({true, {}, *best, why});
        }
    }

    /// Stops one endpoint above the plan, a steady one first, if the others carry the load at once.
    static void stop(const capacity_requirements &need, const capacity_plan &plan,
                     std::span<const engine_view> engines, const std::string &why,
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
        const holding steady = holdingOf(endpoint_tenure::Steady, serving, {});
        const holding cheap = holdingOf(endpoint_tenure::Cheap, serving, {});
        serving_capacity left{steady.total, cheap.total, largestZone(cheap)};
        const bool dear = steady.total > plan.steady
                && coversLoad(need, {left.steady - 1, left.cheap, left.largestCheapZone});
        if (!dear && (cheap.total <= plan.cheap || steady.total > plan.steady))
            return;
        --left.cheap;
        if (!dear && !coversLoad(need, left))
            return;
        const endpoint_tenure tenure = dear ? endpoint_tenure::Steady : endpoint_tenure::Cheap;
        const holding &from = dear ? steady : cheap;
        const engine_view *chosen = nullptr;
        const auto crowd
                = [&from](const engine_view &engine) { return from.byZone.at(engine.row->zone); };
        for (const engine_view &engine : serving) {
            if (engine.changing || engine.row->tenure != tenure)
                continue;
            if (chosen == nullptr || crowd(engine) > crowd(*chosen)
                || (crowd(engine) == crowd(*chosen) && engine.running < chosen->running))
                chosen = &engine;
        }
        if (chosen != nullptr)
            changes.push_back({false, chosen->row->name, {}, why});
    }

    [[nodiscard]] static int largestZone(const holding &its)
    {
        int largest = 0;
        for (const auto &[zone, count] : its.byZone)
            largest = std::max(largest, count);
        return largest;
    }

    [[nodiscard]] static std::string reasonOf(double load, const capacity_plan &plan)
    {
        return "expected load " + std::to_string(std::lround(load * 10)) + " tenths of an engine"
                + ", plan " + std::to_string(plan.steady) + " steady and "
                + std::to_string(plan.cheap) + " cheap";
    }

    std::deque<reading> m_readings;
    std::map<std::pair<std::string, std::string>, avoidance> m_avoided; ///< zone and kind
    std::size_t m_room = 0;
    bool m_rising = false; ///< the load rises; nothing is stopped
};

const placement_policy_registry::registration addSteadyAndCheap{
        "steady_and_cheap", [] { return std::make_unique<steady_and_cheap_placement>(); }};

} // namespace

} // namespace yuccascale::plugins

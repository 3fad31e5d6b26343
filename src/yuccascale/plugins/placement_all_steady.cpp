#include "yuccascale/kernel/policy/fleet_load.hpp"

#include <algorithm>
#include <cmath>

/// \file
/// \brief Baseline placement: steady endpoints only, spread over the zones, sized by the current
/// load.

namespace yuccascale::plugins {

namespace {

using namespace kernel::policy;
using kernel::instant;
using kernel::state::endpoint_tenure;

constexpr double targetUtilisation = 0.8;
constexpr double stopUtilisation = 0.6;

class all_steady_placement final : public placement_policy
{
public:
    [[nodiscard]] std::vector<placement_change>
    decide(instant, const pool_demand &demand, const engine_rates &rates,
           std::span<const engine_view> engines, std::span<const endpoint_offer> starting,
           std::span<const endpoint_offer> offers) override
    {
        const double load = fleetLoad(demand, rates).total();
        std::map<std::string, int> byZone;
        int serving = static_cast<int>(starting.size());
        for (const endpoint_offer &offer : starting)
            ++byZone[offer.zone];
        for (const engine_view &engine : engines) {
            serving += engine.leaving ? 0 : 1;
            byZone[engine.row->zone] += engine.leaving ? 0 : 1;
        }
        const int wanted = std::clamp(static_cast<int>(std::ceil(load / targetUtilisation)),
                                      demand.minEndpoints, demand.maxEndpoints);
        if (serving < wanted)
            return start(offers, byZone, wanted - serving);
        const int maxServing = std::max(static_cast<int>(std::ceil(load / stopUtilisation)),
                                        demand.minEndpoints);
        return serving > maxServing && starting.empty() ? stop(engines)
                                                        : std::vector<placement_change>{};
    }

    void reclaimed(instant, const std::string &, const std::string &) override { }

private:
    static std::vector<placement_change> start(std::span<const endpoint_offer> offers,
                                               std::map<std::string, int> &byZone, int count)
    {
        std::vector<placement_change> changes;
        while (count-- > 0) {
            const endpoint_offer *least = nullptr;
            for (const endpoint_offer &offer : offers) {
                if (offer.tenure == endpoint_tenure::Steady
                    && (least == nullptr || byZone[offer.zone] < byZone[least->zone]))
                    least = &offer;
            }
            if (least == nullptr)
                break;
            ++byZone[least->zone];
            changes.push_back({true, {}, *least, "load above the target utilisation"});
        }
        return changes;
    }

    static std::vector<placement_change> stop(std::span<const engine_view> engines)
    {
        const engine_view *leastBusy = nullptr;
        for (const engine_view &engine : engines) {
            if (!engine.leaving && !engine.changing
                && (leastBusy == nullptr || engine.running < leastBusy->running))
                leastBusy = &engine;
        }
        if (leastBusy == nullptr)
            return {};
        return {{false, leastBusy->row->name, {}, "load far below the capacity"}};
    }
};

const placement_policy_registry::registration addAllSteady{
        "all_steady", [] { return std::make_unique<all_steady_placement>(); }};

} // namespace

} // namespace yuccascale::plugins

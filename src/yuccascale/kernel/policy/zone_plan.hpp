#pragma once

#include "yuccascale/kernel/policy/capacity_plan.hpp"
#include "yuccascale/kernel/policy/measured_work.hpp"
#include "yuccascale/kernel/state/tables.hpp"

#include <map>
#include <span>
#include <string>

/// \file
/// \brief Plans the numbers of steady and cheap endpoints of a pool in each availability zone from
///        its measured work.
///
/// Addresses load that swings several times within seconds, faster than endpoints start: the plan
/// is for the busiest second of the last tens of seconds, with room for a further rise, for the
/// loss of all cheap endpoints of a zone and for a crash.

namespace yuccascale::kernel::policy {

/// \brief Highest price of a cheap endpoint, relative to a steady one, at which it is ordered.
inline constexpr double maxCheapPrice = 0.5;

/// \brief Most endpoints of a pool that are planned for an availability zone.
inline constexpr int mostPerZone = 100'000;

/// \returns bounds that can be added up over zones: no figure is negative or above mostPerZone, and
///          the least is not above the most. Former builds stored any figures.
[[nodiscard]] state::endpoint_scaling soundBounds(state::endpoint_scaling scaling);

/// \brief What a zone has.
struct zone_supply
{
    std::string zone;
    double price = 1.0;         ///< of a steady endpoint there
    int steady = 0;             ///< listed, not draining
    int cheap = 0;              ///< listed, not draining
    int minSteady = 0;          ///< kept whatever the load
    bool cheapAvailable = true; ///< the platform did not refuse the last order of cheap ones
};

/// \brief Numbers of endpoints of one zone.
struct zone_counts
{
    int steady = 0;
    int cheap = 0;

    [[nodiscard]] bool operator==(const zone_counts &) const = default;
};

/// \brief Planned numbers of endpoints, and the figures they rest on.
struct zone_plan
{
    double peakLoad = 0; ///< in engines, in the busiest second
    double meanLoad = 0; ///< in engines
    double steadyLoad
            = 0; ///< in engines, that only steady endpoints may run, in its busiest second
    bool satisfiable = false; ///< false: the load needs all that the pool may have
    capacity_requirements requirements;
    capacity_plan total;
    std::map<std::string, zone_counts> zones;
};

/// \returns the plan. When none satisfies the load, the steady endpoints that there are, and cheap
///          ones up to the bound of each zone.
/// \param slots of one endpoint
[[nodiscard]] zone_plan planZones(const measured_work &work, double slots,
                                  const state::endpoint_scaling &scaling,
                                  std::span<const zone_supply> zones);

/// \returns what the zones' endpoints are together.
[[nodiscard]] serving_capacity servingIn(std::span<const zone_supply> zones) noexcept;

} // namespace yuccascale::kernel::policy

#pragma once

/// \file
/// \brief How many steady and cheap endpoints carry a load when the largest cheap zone is lost.

namespace yuccascale::kernel::policy {

/// \brief What a plan has to satisfy.
struct capacity_requirements
{
    double load = 0;       ///< engines' worth of work
    double steadyLoad = 0; ///< part of it that only steady endpoints may run
    int cheapZones = 0;    ///< zones in which cheap endpoints can be had
    int minEndpoints = 1;
    int maxEndpoints = 64;
    double steadyPrice = 1.0;
    double cheapPrice = 0.3;
};

/// \brief Endpoints of each tenure.
struct capacity_plan
{
    int steady = 0;
    int cheap = 0;

    [[nodiscard]] int total() const noexcept { return steady + cheap; }
};

/// \brief Endpoints that serve, with the cheap ones of the zone that has most of them.
struct serving_capacity
{
    int steady = 0;
    int cheap = 0;
    int largestCheapZone = 0;
};

/// \returns whether \a held carries the load, also after the loss of the largest cheap zone.
[[nodiscard]] bool coversLoad(const capacity_requirements &requirements,
                              const serving_capacity &serving) noexcept;

/// \returns the cheapest plan that satisfies \a need; the one nearest to it when none does.
[[nodiscard]] capacity_plan planCapacity(const capacity_requirements &requirements) noexcept;

} // namespace yuccascale::kernel::policy

#pragma once

/// \file
/// \brief Plans the steady and cheap endpoints of a pool so that they cover its load even after the
/// loss of the availability zone with the most cheap endpoints.

namespace yuccascale::kernel::policy {

/// \brief Conditions that a plan has to satisfy.
struct capacity_requirements
{
    double load = 0;       ///< work, in engines
    double steadyLoad = 0; ///< part of the load that only steady endpoints may run, in engines
    int cheapZones = 0;    ///< availability zones that offer cheap endpoints
    int minEndpoints = 1;
    int maxEndpoints = 64;
    double steadyPrice = 1.0;
    double cheapPrice = 0.3;
    bool toleratesZoneLoss = true; ///< the load is covered without the largest cheap zone
};

/// \brief Planned number of endpoints of each tenure.
struct capacity_plan
{
    int steady = 0;
    int cheap = 0;

    [[nodiscard]] int total() const noexcept { return steady + cheap; }
};

/// \brief Serving endpoints of each tenure, and the largest number of cheap ones in a zone.
struct serving_capacity
{
    int steady = 0;
    int cheap = 0;
    int largestCheapZone = 0;
};

/// \returns whether \a serving covers the load, also after the loss of the largest cheap zone.
[[nodiscard]] bool coversLoad(const capacity_requirements &requirements,
                              const serving_capacity &serving) noexcept;

/// \returns the cheapest plan that satisfies \a requirements. If none does, a plan with steady
/// endpoints only, as many as the load requires within maxEndpoints.
[[nodiscard]] capacity_plan planCapacity(const capacity_requirements &requirements) noexcept;

} // namespace yuccascale::kernel::policy

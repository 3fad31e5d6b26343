#pragma once

#include "yuccascale/kernel/policy/fleet.hpp"

/// \file
/// \brief A pool's demand in engines.

namespace yuccascale::kernel::policy {

/// \brief Engines' worth of work that a pool is offered.
struct fleet_load
{
    double prefillEngines = 0;
    double decodeEngines = 0;

    [[nodiscard]] double total() const noexcept { return prefillEngines + decodeEngines; }
};

/// \returns the demand in engines, with the backlog worked off within \a backlogDrainTime.
[[nodiscard]] inline fleet_load fleetLoad(const pool_demand &demand, const engine_rates &rates,
                                          nanoseconds backlogDrainTime = seconds(30)) noexcept
{
    const double drainSeconds = std::chrono::duration<double>(backlogDrainTime).count();
    const double prefill
            = demand.prefillTokensPerSecond + demand.prefillBacklogTokens / drainSeconds;
    const double decode = demand.decodeTokensPerSecond + demand.decodeBacklogTokens / drainSeconds;
    return {prefill / rates.prefillTokensPerSecond, decode / rates.decodeTokensPerSecond};
}

} // namespace yuccascale::kernel::policy

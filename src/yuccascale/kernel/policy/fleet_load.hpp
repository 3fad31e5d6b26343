#pragma once

#include "yuccascale/kernel/policy/fleet.hpp"

/// \file
/// \brief Converts the demand of a pool to a number of engines.

namespace yuccascale::kernel::policy {

/// \brief Load offered to a pool, in engines.
struct fleet_load
{
    double prefillEngines = 0;
    double decodeEngines = 0;

    [[nodiscard]] double total() const noexcept { return prefillEngines + decodeEngines; }
};

/// \returns the demand in engines, including the work to drain the backlog in \a backlogDrainTime.
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

#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/plugin_registry.hpp"
#include "yuccascale/kernel/state/tables.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief Interfaces for the decisions of the control leader on engine roles and endpoint orders.

namespace yuccascale::kernel::policy {

/// \brief State of an engine as known to the leader.
struct engine_view
{
    const state::endpoint *row = nullptr;
    state::engine_role role = state::engine_role::Mixed; ///< in force now
    bool changing = false;                               ///< an order for this engine is open
    bool leaving = false;
    int running = 0;
    instant roleSince{};
};

/// \brief Demand of a pool over the last interval, summed over all entries.
struct pool_demand
{
    instant measuredAt{};
    double prefillTokensPerSecond = 0; ///< offered, without cached prompt tokens
    double decodeTokensPerSecond = 0;  ///< offered
    double prefillBacklogTokens = 0;
    double decodeBacklogTokens = 0;
    double nonIdempotentShare = 0; ///< share of the work, 0 to 1
    int minEndpoints = 1;          ///< of the pool
    int maxEndpoints = 64;         ///< of the pool
};

/// \brief Estimated rates of one engine of a pool.
struct engine_rates
{
    double prefillTokensPerSecond = 8'000;
    double decodeTokensPerSecond = 1'600;
    nanoseconds roleChangeTime
            = std::chrono::seconds(6); ///< time that an engine is unavailable during a role change
};

/// \brief A role change requested by the policy.
struct role_change
{
    std::string endpoint;
    state::engine_role newRole = state::engine_role::Mixed;
    std::string reason;
};

/// \brief Adapts the engines' roles to the ratio of prompt to output tokens.
class role_policy
{
public:
    virtual ~role_policy() = default;

    [[nodiscard]] virtual std::vector<role_change> decide(instant now, const pool_demand &demand,
                                                          const engine_rates &rates,
                                                          std::span<const engine_view> engines)
            = 0;
};

/// \brief A kind of endpoint that the platform offers in one availability zone.
struct endpoint_offer
{
    std::string kind;
    std::string zone;
    state::endpoint_tenure tenure = state::endpoint_tenure::Steady;
    double pricePerHour = 1.0;
    nanoseconds startTime = std::chrono::seconds(90);
};

/// \brief A start or stop of an endpoint requested by the policy.
struct placement_change
{
    bool start = true;
    std::string endpoint; ///< endpoint to stop
    endpoint_offer offer; ///< offer to start
    std::string reason;
};

/// \brief Decides how many endpoints of each kind run in each availability zone.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /// \param starting offers that are ordered but not serving yet
    [[nodiscard]] virtual std::vector<placement_change>
    decide(instant now, const pool_demand &demand, const engine_rates &rates,
           std::span<const engine_view> engines, std::span<const endpoint_offer> starting,
           std::span<const endpoint_offer> offers)
            = 0;

    /// \brief Records that cheap endpoints of a kind were reclaimed or an order was refused.
    virtual void reclaimed(instant now, const std::string &zone, const std::string &kind) = 0;
};

using role_policy_registry = plugin_registry<role_policy>;
using placement_policy_registry = plugin_registry<placement_policy>;

} // namespace yuccascale::kernel::policy

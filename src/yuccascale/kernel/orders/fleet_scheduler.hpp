#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/events.hpp"
#include "yuccascale/kernel/leadership.hpp"
#include "yuccascale/kernel/policy/fleet.hpp"
#include "yuccascale/kernel/state/leader_view.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief Turns the decisions of the role and placement policies into orders for the log.

namespace yuccascale::kernel::orders {

/// \brief State of one engine, from its load reports.
struct engine_status
{
    state::engine_role role = state::engine_role::Mixed; ///< current role
    int running = 0;
    bool leaving = false;
};

/// \brief Demand on one pool and the state of its engines.
struct pool_status
{
    std::string pool;
    policy::pool_demand demand;
    policy::engine_rates rates;
    std::map<std::string, engine_status>
            engines; ///< by endpoint name; only engines that send reports
};

/// \brief How often the fleet scheduler consults its policies.
struct fleet_times
{
    nanoseconds roleInterval = seconds(1);
    nanoseconds placementInterval = seconds(5);
};

/// \brief Consults the policies and opens at most one order per target, within the pool's limits.
///
/// Not thread-safe.
class fleet_scheduler
{
public:
    using role_policy_factory = std::function<std::unique_ptr<policy::role_policy>()>;
    using placement_policy_factory = std::function<std::unique_ptr<policy::placement_policy>()>;

    /// \param makeRolePolicy,makePlacementPolicy called once for each pool
    fleet_scheduler(const fleet_times &times, role_policy_factory makeRolePolicy,
                    placement_policy_factory makePlacementPolicy, event_sink &events);

    /// \param offers endpoints that the platform offers now
    /// \returns the orders to commit now; empty without authority.
    [[nodiscard]] std::vector<state::command>
    step(instant now, const std::optional<leadership> &authority, const state::leader_view &view,
         std::span<const pool_status> pools, std::span<const policy::endpoint_offer> offers);

private:
    struct pool_policies
    {
        std::unique_ptr<policy::role_policy> roles;
        std::unique_ptr<policy::placement_policy> placement;
        std::map<std::string, std::pair<state::engine_role, instant>> roleSince;
    };

    /// Inputs of the decisions for one pool.
    struct pool_context
    {
        instant now;
        std::uint64_t fence = 0;
        const state::leader_view &view;
        const pool_status &status;
        const state::pool &row;
        std::vector<policy::engine_view> engines;
    };

    [[nodiscard]] std::vector<policy::engine_view>
    enginesOf(instant now, const state::leader_view &view, const pool_status &status,
              const state::pool &row, pool_policies &policies);
    void decideRoles(const pool_context &context, pool_policies &policies,
                     std::vector<state::command> &orders);
    void decidePlacement(const pool_context &context, pool_policies &policies,
                         std::span<const policy::endpoint_offer> offers,
                         std::vector<state::command> &orders);
    void addOrder(const pool_context &context, state::open_order order,
                  std::vector<state::command> &orders);

    fleet_times m_times;
    role_policy_factory m_makeRolePolicy;
    placement_policy_factory m_makePlacementPolicy;
    event_sink &m_events;
    std::map<std::string, pool_policies> m_policies; ///< by pool
    instant m_nextRolesAt{};
    instant m_nextPlacementAt{};
    std::uint64_t m_lastOperationNumber = 0;
};

} // namespace yuccascale::kernel::orders

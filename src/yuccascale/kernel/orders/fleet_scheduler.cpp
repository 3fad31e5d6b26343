#include "yuccascale/kernel/orders/fleet_scheduler.hpp"

#include "yuccascale/kernel/orders/events.hpp"
#include "yuccascale/kernel/orders/order_message.hpp"

#include <algorithm>

namespace yuccascale::kernel::orders {

namespace {

const state::order_record *openOrderFor(const state::leader_view &view, const std::string &target)
{
    const auto found = std::ranges::find(view.openOrders, target, &state::order_record::target);
    return found == view.openOrders.end() ? nullptr : &*found;
}

/// The endpoints that open orders of this pool are starting.
std::vector<policy::endpoint_offer> startingOffers(const state::leader_view &view,
                                                   const std::string &pool)
{
    std::vector<policy::endpoint_offer> starting;
    for (const state::order_record &order : view.openOrders) {
        if (order.kind != state::order_kind::StartEndpoint || order.pool != pool)
            continue;
        policy::endpoint_offer offer;
        offer.kind = order.argument;
        const auto zoneStart = order.target.find('/') + 1;
        offer.zone = order.target.substr(zoneStart, order.target.find('/', zoneStart) - zoneStart);
        starting.push_back(std::move(offer));
    }
    return starting;
}

int endpointsAfterOpenOrders(const state::leader_view &view, const state::pool &row)
{
    auto count = static_cast<int>(row.endpoints.size() + startingOffers(view, row.name).size());
    for (const state::endpoint &listed : row.endpoints) {
        const state::order_record *open = openOrderFor(view, listed.name);
        if (open != nullptr && open->kind == state::order_kind::StopEndpoint)
            --count;
    }
    return count;
}

} // namespace

fleet_scheduler::fleet_scheduler(const fleet_times &times, role_policy_factory makeRolePolicy,
                                 placement_policy_factory makePlacementPolicy, event_sink &events)
    : m_times(times)
    , m_makeRolePolicy(std::move(makeRolePolicy))
    , m_makePlacementPolicy(std::move(makePlacementPolicy))
    , m_events(events)
{ }

std::vector<state::command> fleet_scheduler::step(instant now,
                                                  const std::optional<leadership> &authority,
                                                  const state::leader_view &view,
                                                  std::span<const pool_status> pools,
                                                  std::span<const policy::endpoint_offer> offers)
{
    std::vector<state::command> orders;
    const bool rolesDue = now >= m_nextRolesAt;
    const bool placementDue = now >= m_nextPlacementAt;
    if (!authority || now >= authority->leaseEnd || (!rolesDue && !placementDue))
        return orders;
    if (rolesDue)
        m_nextRolesAt = now + m_times.roleInterval;
    if (placementDue)
        m_nextPlacementAt = now + m_times.placementInterval;
    for (const pool_status &status : pools) {
        const auto row = view.tables->pools.find(status.pool);
        if (row == view.tables->pools.end() || row->second.kind != state::backend_kind::Model)
            continue;
        pool_policies &policies = m_policies[status.pool];
        if (!policies.roles) {
            policies.roles = m_makeRolePolicy();
            policies.placement = m_makePlacementPolicy();
        }
        const pool_context context{
                now,    authority->fence, view,
                status, row->second,      enginesOf(now, view, status, row->second, policies)};
        if (rolesDue)
            decideRoles(context, policies, orders);
        if (placementDue)
            decidePlacement(context, policies, offers, orders);
    }
    return orders;
}

std::vector<policy::engine_view>
fleet_scheduler::enginesOf(instant now, const state::leader_view &view, const pool_status &status,
                           const state::pool &row, pool_policies &policies)
{
    std::vector<policy::engine_view> engines;
    for (const state::endpoint &listed : row.endpoints) {
        const auto reported = status.engines.find(listed.name);
        policy::engine_view engine;
        engine.row = &listed;
        engine.role = reported == status.engines.end() ? listed.role : reported->second.role;
        engine.running = reported == status.engines.end() ? 0 : reported->second.running;
        engine.changing = openOrderFor(view, listed.name) != nullptr;
        const bool drainedByOperator = listed.draining && listed.drainingForOrder == 0;
        engine.leaving = drainedByOperator
                || (reported != status.engines.end() && reported->second.leaving);
        auto &roleAndStart = policies.roleSince[listed.name];
        if (roleAndStart.first != engine.role || roleAndStart.second == instant{})
            roleAndStart = {engine.role, now};
        engine.roleSince = roleAndStart.second;
        engines.push_back(engine);
    }
    return engines;
}

void fleet_scheduler::decideRoles(const pool_context &context, pool_policies &policies,
                                  std::vector<state::command> &orders)
{
    for (const policy::role_change &change : policies.roles->decide(
                 context.now, context.status.demand, context.status.rates, context.engines)) {
        addOrder(context,
                 {change.endpoint,
                  state::order_kind::ChangeRole,
                  json(change.newRole).get<std::string>(),
                  context.fence,
                  change.reason,
                  {}},
                 orders);
    }
}

void fleet_scheduler::decidePlacement(const pool_context &context, pool_policies &policies,
                                      std::span<const policy::endpoint_offer> offers,
                                      std::vector<state::command> &orders)
{
    const std::vector<policy::endpoint_offer> starting
            = startingOffers(context.view, context.row.name);
    int endpoints = endpointsAfterOpenOrders(context.view, context.row);
    for (const policy::placement_change &change :
         policies.placement->decide(context.now, context.status.demand, context.status.rates,
                                    context.engines, starting, offers)) {
        if (change.start && endpoints < context.row.maxEndpoints) {
            ++endpoints;
            addOrder(context,
                     {startTarget(change.offer.zone, change.offer.kind),
                      state::order_kind::StartEndpoint, change.offer.kind, context.fence,
                      change.reason, context.row.name},
                     orders);
        }
        if (!change.start && endpoints > context.row.minEndpoints) {
            --endpoints;
            addOrder(context,
                     {change.endpoint,
                      state::order_kind::StopEndpoint,
                      {},
                      context.fence,
                      change.reason,
                      {}},
                     orders);
        }
    }
}

void fleet_scheduler::addOrder(const pool_context &context, state::open_order order,
                               std::vector<state::command> &orders)
{
    const bool duplicate = std::ranges::any_of(orders, [&](const state::command &other) {
        return std::get<state::open_order>(other.body).target == order.target;
    });
    if (duplicate || openOrderFor(context.view, order.target) != nullptr)
        return;
    m_events.record(orderDecided,
                    {{"target", order.target},
                     {"kind", orderKindName(order.kind)},
                     {"argument", order.argument},
                     {"pool", context.row.name},
                     {"reason", order.reason}});
    orders.push_back({"fleet-" + std::to_string(context.fence) + "-"
                              + std::to_string(++m_lastOperationNumber),
                      std::move(order)});
}

} // namespace yuccascale::kernel::orders

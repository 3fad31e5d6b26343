#include "yuccascale/kernel/orders/fleet_scheduler.hpp"

#include "yuccascale/kernel/orders/events.hpp"
#include "yuccascale/kernel/orders/order_message.hpp"

#include <algorithm>

namespace yuccascale::kernel::orders {

namespace {

const state::order_record *openFor(const state::leader_view &view, const std::string &target)
{
    const auto found = std::ranges::find(view.openOrders, target, &state::order_record::target);
    return found == view.openOrders.end() ? nullptr : &*found;
}

/// The offers that open orders of this pool are about to bring.
std::vector<policy::endpoint_offer> startingIn(const state::leader_view &view,
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
    auto count = static_cast<int>(row.endpoints.size() + startingIn(view, row.name).size());
    for (const state::endpoint &listed : row.endpoints) {
        const state::order_record *open = openFor(view, listed.name);
        if (open != nullptr && open->kind == state::order_kind::StopEndpoint)
            --count;
    }
    return count;
}

} // namespace

fleet_scheduler::fleet_scheduler(const fleet_times &times, role_maker makeRoles,
                                 placement_maker makePlacement, event_sink &events)
    : m_times(times)
    , m_makeRoles(std::move(makeRoles))
    , m_makePlacement(std::move(makePlacement))
    , m_events(events)
{ }

std::vector<state::command> fleet_scheduler::step(instant now,
                                                  const std::optional<leadership> &authority,
                                                  const state::leader_view &view,
                                                  std::span<const pool_facts> facts,
                                                  std::span<const policy::endpoint_offer> offers)
{
    std::vector<state::command> orders;
    const bool rolesDue = now >= m_nextRoles;
    const bool placementDue = now >= m_nextPlacement;
    if (!authority || now >= authority->until || (!rolesDue && !placementDue))
        return orders;
    if (rolesDue)
        m_nextRoles = now + m_times.roleInterval;
    if (placementDue)
        m_nextPlacement = now + m_times.placementInterval;
    for (const pool_facts &known : facts) {
        const auto row = view.tables->pools.find(known.pool);
        if (row == view.tables->pools.end() || row->second.kind != state::backend_kind::Model)
            continue;
        pool_policies &policies = m_policies[known.pool];
        if (!policies.roles) {
            policies.roles = m_makeRoles();
            policies.placement = m_makePlacement();
        }
        const situation seen{now,         authority->fence,
                             view,        known,
                             row->second, enginesOf(now, view, known, row->second, policies)};
        if (rolesDue)
            decideRoles(seen, policies, orders);
        if (placementDue)
            decidePlacement(seen, policies, offers, orders);
    }
    return orders;
}

std::vector<policy::engine_view>
fleet_scheduler::enginesOf(instant now, const state::leader_view &view, const pool_facts &facts,
                           const state::pool &row, pool_policies &policies)
{
    std::vector<policy::engine_view> engines;
    for (const state::endpoint &listed : row.endpoints) {
        const auto known = facts.engines.find(listed.name);
        policy::engine_view engine;
        engine.row = &listed;
        engine.role = known == facts.engines.end() ? listed.role : known->second.role;
        engine.running = known == facts.engines.end() ? 0 : known->second.running;
        engine.changing = openFor(view, listed.name) != nullptr;
        const bool drainedByOperator = listed.draining && listed.drainingForOrder == 0;
        engine.leaving
                = drainedByOperator || (known != facts.engines.end() && known->second.leaving);
        auto &since = policies.roleSince[listed.name];
        if (since.first != engine.role || since.second == instant{})
            since = {engine.role, now};
        engine.roleSince = since.second;
        engines.push_back(engine);
    }
    return engines;
}

void fleet_scheduler::decideRoles(const situation &seen, pool_policies &policies,
                                  std::vector<state::command> &orders)
{
    for (const policy::role_change &change :
         policies.roles->decide(seen.now, seen.facts.demand, seen.facts.rates, seen.engines)) {
        open(seen,
             {change.endpoint,
              state::order_kind::ChangeRole,
              json(change.newRole).get<std::string>(),
              seen.fence,
              change.reason,
              {}},
             orders);
    }
}

void fleet_scheduler::decidePlacement(const situation &seen, pool_policies &policies,
                                      std::span<const policy::endpoint_offer> offers,
                                      std::vector<state::command> &orders)
{
    const std::vector<policy::endpoint_offer> starting = startingIn(seen.view, seen.row.name);
    int endpoints = endpointsAfterOpenOrders(seen.view, seen.row);
    for (const policy::placement_change &change : policies.placement->decide(
                 seen.now, seen.facts.demand, seen.facts.rates, seen.engines, starting, offers)) {
        if (change.start && endpoints < seen.row.maxEndpoints) {
            ++endpoints;
            open(seen,
                 {startTarget(change.offer.zone, change.offer.kind),
                  state::order_kind::StartEndpoint, change.offer.kind, seen.fence, change.reason,
                  seen.row.name},
                 orders);
        }
        if (!change.start && endpoints > seen.row.minEndpoints) {
            --endpoints;
            open(seen,
                 {change.endpoint,
                  state::order_kind::StopEndpoint,
                  {},
                  seen.fence,
                  change.reason,
                  {}},
                 orders);
        }
    }
}

void fleet_scheduler::open(const situation &seen, state::open_order order,
                           std::vector<state::command> &orders)
{
    const bool twice = std::ranges::any_of(orders, [&](const state::command &other) {
        return std::get<state::open_order>(other.body).target == order.target;
    });
    if (twice || openFor(seen.view, order.target) != nullptr)
        return;
    m_events.record(orderDecided,
                    {{"target", order.target},
                     {"kind", orderKindName(order.kind)},
                     {"argument", order.argument},
                     {"pool", seen.row.name},
                     {"reason", order.reason}});
    orders.push_back(
            {"fleet-" + std::to_string(seen.fence) + "-" + std::to_string(++m_lastOperation),
             std::move(order)});
}

} // namespace yuccascale::kernel::orders

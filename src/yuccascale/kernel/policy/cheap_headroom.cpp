#include "yuccascale/kernel/policy/cheap_headroom.hpp"

#include "yuccascale/kernel/policy/zone_plan.hpp"

#include <algorithm>

namespace yuccascale::kernel::policy {

namespace {

/// Time between two orders: an order is visible in the endpoint list only after its endpoints have
/// started and the list was refreshed.
constexpr seconds orderInterval{8};
/// Time until the next order in a zone that refused one.
constexpr seconds refusedInterval{3};

} // namespace

int countListed(std::span<const feed::listed_endpoint> listed, const std::string &pool,
                const std::string &zone, state::endpoint_tenure tenure)
{
    return static_cast<int>(
            std::ranges::count_if(listed, [&](const feed::listed_endpoint &endpoint) {
                return endpoint.pool == pool && endpoint.row.zone == zone
                        && endpoint.row.tenure == tenure && !endpoint.row.draining;
            }));
}

std::vector<count_order> cheap_headroom::decide(instant now, const state::table_set &tables,
                                                std::span<const feed::listed_endpoint> listed)
{
    std::vector<count_order> orders;
    for (const auto &[name, pool] : tables.pools) {
        const auto ofPool = decidePool(now, name, pool, listed);
        orders.insert(orders.end(), ofPool.begin(), ofPool.end());
    }
    return orders;
}

std::vector<count_order> cheap_headroom::decidePool(instant now, const std::string &name,
                                                    const state::pool &pool,
                                                    std::span<const feed::listed_endpoint> listed)
{
    std::vector<count_order> orders;
    for (const state::endpoint_scaling &scaling : pool.scaling) {
        if (scaling.cheapPrice <= 0 || scaling.cheapPrice > maxCheapPrice)
            continue;
        for (const auto &[zone, price] : scaling.zonePrices) {
            const int steady = countListed(listed, name, zone, state::endpoint_tenure::Steady);
            const int cheap = countListed(listed, name, zone, state::endpoint_tenure::Cheap);
            const int wanted = scaling.most - steady;
            instant &nextOrderAt = m_nextOrderAt[{name, zone}];
            // without steady endpoints in the zone, the pool may not use the zone at all
            if (steady == 0 || cheap >= wanted || now < nextOrderAt)
                continue;
            nextOrderAt = now + orderInterval;
            orders.push_back({name, zone, state::endpoint_tenure::Cheap, wanted});
        }
    }
    return orders;
}

void cheap_headroom::refused(instant now, const count_order &order)
{
    m_nextOrderAt[{order.pool, order.zone}] = now + refusedInterval;
}

} // namespace yuccascale::kernel::policy

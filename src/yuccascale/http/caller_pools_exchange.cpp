#include "yuccascale/http/caller_pools.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

/// \file
/// \brief What caller_pools tells the other entries, and what it applies of theirs.

namespace yuccascale::http {

using namespace kernel::requests;

std::vector<kernel::requests::pool_charge> caller_pools::takeCharges(std::size_t maxPerPool)
{
    std::vector<kernel::requests::pool_charge> out;
    const std::shared_lock guard(m_mutex);
    for (const auto &[name, pool] : m_pools) {
        const std::scoped_lock poolGuard(pool->mutex);
        for (auto &charge : pool->scheduler.charges().takeLargest(maxPerPool))
            out.push_back({name, std::move(charge.organisation), charge.cost});
    }
    return out;
}

std::vector<endpoint_rate> caller_pools::takeRates()
{
    std::vector<endpoint_rate> out;
    for (const std::shared_ptr<guarded_pool> &pool : allPools()) {
        const std::scoped_lock guard(pool->mutex);
        std::ranges::move(pool->scheduler.endpoints().takeRates(m_clock.now(), pool->name),
                          std::back_inserter(out));
    }
    return out;
}

void caller_pools::applyCharges(std::span<const kernel::requests::pool_charge> charges,
                                const kernel::state::table_set &tables)
{
    for (const kernel::requests::pool_charge &charge : charges) {
        const std::shared_ptr<guarded_pool> pool = find(charge.pool);
        const auto organisation = tables.organisations.find(charge.organisation);
        if (!pool || organisation == tables.organisations.end())
            continue;
        const std::scoped_lock guard(pool->mutex);
        pool->scheduler.applyRemoteCharge(charge.organisation, organisation->second.weight,
                                          charge.cost);
    }
}

std::vector<std::string> caller_pools::applyEndpointUpdates(const endpoint_updates &updates)
{
    std::vector<std::string> suspected;
    for (const placement &placed : updates.placements) {
        if (const std::shared_ptr<guarded_pool> pool = find(placed.pool)) {
            const std::scoped_lock guard(pool->mutex);
            pool->scheduler.applyRemotePlacement(m_clock.now(), placed);
        }
    }
    for (const endpoint_failure &failure : updates.failures) {
        if (const std::shared_ptr<guarded_pool> pool = find(failure.pool)) {
            const std::scoped_lock guard(pool->mutex);
            if (pool->scheduler.applyRemoteFailure(m_clock.now(), failure))
                suspected.push_back(failure.endpoint);
        }
    }
    for (const endpoint_crash &crash : updates.crashes) {
        if (const std::shared_ptr<guarded_pool> pool = find(crash.pool)) {
            const std::scoped_lock guard(pool->mutex);
            pool->scheduler.applyRemoteCrash(m_clock.now(), crash);
            refuseCrashCauses(*pool);
        }
    }
    for (const cleared_parts &cleared : updates.cleared) {
        if (const std::shared_ptr<guarded_pool> pool = find(cleared.pool)) {
            const std::scoped_lock guard(pool->mutex);
            pool->scheduler.applyRemoteCleared(cleared);
            refuseCrashCauses(*pool);
        }
    }
    for (const endpoint_leaving &leaving : updates.leaving) {
        if (const std::shared_ptr<guarded_pool> pool = find(leaving.pool)) {
            const std::scoped_lock guard(pool->mutex);
            const endpoint_notice notice{true, {}, {}};
            static_cast<void>(pool->scheduler.endpoints().applyNotice(m_clock.now(),
                                                                      leaving.endpoint, notice));
        }
    }
    for (const endpoint_limit &limit : updates.limits) {
        if (const std::shared_ptr<guarded_pool> pool = find(limit.pool)) {
            const std::scoped_lock guard(pool->mutex);
            pool->scheduler.endpoints().applyRemoteLimit(m_clock.now(), limit.endpoint,
                                                         limit.requestsPerSecond);
        }
    }
    for (const endpoint_rate &rate : updates.rates) {
        if (const std::shared_ptr<guarded_pool> pool = find(rate.pool)) {
            const std::scoped_lock guard(pool->mutex);
            const bool paced = pool->scheduler.endpoints().paced();
            pool->scheduler.applyRemoteRate(m_clock.now(), rate);
            tellPaced(*pool, paced);
        }
    }
    return suspected;
}

} // namespace yuccascale::http

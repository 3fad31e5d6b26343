#include "properties/requests_world_parts.hpp"

namespace yuccascale::fakes {

requests_world::entry::entry(requests_world &ownWorld, std::string ownName, int ownIndex,
                             int ownIncarnation)
    : world(ownWorld)
    , name(std::move(ownName))
    , index(ownIndex)
    , incarnation(ownIncarnation)
    , usage(fullName(), milliseconds(60'000), milliseconds(1'000'000))
{
    feed();
    poll();
}

void requests_world::entry::post(work what)
{
    if (!alive)
        return;
    if (world.m_now >= pausedUntil) {
        what();
        return;
    }
    world.at(pausedUntil, [this, what = std::move(what)]() mutable { post(std::move(what)); });
}

void requests_world::entry::feed()
{
    if (!alive || world.m_now > instant(endOfWorld))
        return;
    const instant asked = world.m_now;
    if (!cut) {
        world.after(world.hop(), [this, asked] {
            const auto tables = world.m_log.tables();
            const auto banned = world.m_log.bannedFingerprints();
            world.after(world.hop(), [this, asked, tables, banned] {
                post([this, asked, tables, banned] {
                    const bool newer = !view.tables || view.tables->revision < tables->revision;
                    view.tables = tables;
                    view.bannedFingerprints = banned;
                    view.freshUntil = std::max(view.freshUntil, asked + freshness);
                    for (const auto &[poolName, pool] : tables->pools) {
                        auto &scheduler = pools[poolName];
                        if (!scheduler) {
                            pool_strategies strategies{
                                    policy::router_registry::make("round_robin", 1).value(),
                                    policy::admission_registry::make("always").value(),
                                    policy::fair_queue_registry::make("first_come_first_served")
                                            .value()};
                            scheduler = std::make_unique<pool_scheduler>(std::move(strategies),
                                                                         queue_limits{});
                            scheduler->setPosition({index, world.m_plan.entries});
                        }
                        if (newer)
                            scheduler->setRows(pool);
                    }
                });
            });
        });
    }
    world.after(feedInterval, [this] { post([this] { feed(); }); });
}

void requests_world::entry::poll()
{
    if (!alive || world.m_now > instant(endOfWorld))
        return;
    for (const auto &[endpointName, endpoint] : world.m_endpoints) {
        if (endpoint->down)
            continue;
        endpoint_report report;
        report.incarnation = endpoint->incarnation;
        report.load.measuredAt = world.m_now;
        report.load.running = static_cast<int>(endpoint->open.size());
        report.load.leaving = endpoint->leaving;
        world.after(reportLag, [this, report, endpointName = endpointName] {
            post([this, report, endpointName] {
                for (auto &[poolName, pool] : pools)
                    pool->endpoints().report(endpointName, report);
            });
        });
    }
    post([this] {
        for (auto &[poolName, pool] : pools)
            giveTurns(poolName);
    });
    world.after(pollInterval, [this] { post([this] { poll(); }); });
}

void requests_world::entry::giveTurns(const std::string &pool)
{
    for (const std::uint64_t ticket : pools.at(pool)->takeUnservable())
        sessions.at(ticket)->life.handle(queue_refused{
                {kernel::error_kind::Unavailable, "no endpoint", false, milliseconds(1)}});
    for (const std::uint64_t ticket : pools.at(pool)->takeLate(world.m_now))
        sessions.at(ticket)->life.handle(queue_refused{
                {kernel::error_kind::Overloaded, "too late", false, milliseconds(1)}});
    for (endpoint_assignment &turn : pools.at(pool)->schedule(world.m_now)) {
        session &one = *sessions.at(turn.ticket);
        one.life.assignEndpoint(std::move(turn));
    }
}

void requests_world::entry::receive(request callerRequest, std::size_t send)
{
    auto made = std::make_unique<session>(*this, std::move(callerRequest), send);
    session *one = made.get();
    sessions.emplace(one->ticket, std::move(made));
    world.at(one->life.callerRequest().deadline,
             [this, one] { post([one] { one->life.handle(deadline_passed{}); }); });
    one->life.begin();
}

void requests_world::entry::commitUsage()
{
    if (usageUnderWay)
        return;
    const auto batch = usage.next(kernel::wall_time(milliseconds(1)));
    if (!batch)
        return;
    usageUnderWay = true;
    world.commit(*batch, cut, [this](auto answer) {
        const bool known = answer && answer.value().accepted;
        post([this, known] {
            usageUnderWay = false;
            if (known) {
                for (const std::uint64_t ticket : usage.committed())
                    sessions.at(ticket)->life.handle(usage_commit_finished{true});
            }
            world.after(milliseconds(known ? 0 : 20), [this] { post([this] { commitUsage(); }); });
        });
    });
}

void requests_world::entry::kill()
{
    alive = false;
    for (const auto &[ticket, one] : sessions) {
        if (one->link && one->link->open) {
            one->link->open = false;
            one->link->to->open.erase(one->link);
        }
    }
    for (std::size_t send = 0; send < world.m_sends.size(); ++send) {
        if (world.m_sends[send].entry == this && !world.m_sends[send].ended)
            world.entryDied(send);
    }
}

} // namespace yuccascale::fakes

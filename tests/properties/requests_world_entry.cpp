#include "properties/requests_world_parts.hpp"

namespace yuccascale::fakes {

requests_simulation::entry::entry(requests_simulation &ownSimulation, std::string ownName,
                                  int ownIndex, int ownIncarnation)
    : simulation(ownSimulation)
    , name(std::move(ownName))
    , index(ownIndex)
    , incarnation(ownIncarnation)
    , usage(fullName(), milliseconds(60'000), milliseconds(1'000'000))
{
    feed();
    poll();
}

void requests_simulation::entry::post(callback action)
{
    if (!alive)
        return;
    if (simulation.m_now >= pausedUntil) {
        action();
        return;
    }
    simulation.scheduleAt(
            pausedUntil, [this, action = std::move(action)]() mutable { post(std::move(action)); });
}

void requests_simulation::entry::feed()
{
    if (!alive || simulation.m_now > instant(simulationEnd))
        return;
    const instant requestedAt = simulation.m_now;
    if (!cutOff) {
        simulation.scheduleAfter(simulation.networkDelay(), [this, requestedAt] {
            const auto tables = simulation.m_log.tables();
            const auto banned = simulation.m_log.bannedFingerprints();
            simulation.scheduleAfter(
                    simulation.networkDelay(), [this, requestedAt, tables, banned] {
                        post([this, requestedAt, tables, banned] {
                            const bool tablesChanged
                                    = !view.tables || view.tables->revision < tables->revision;
                            view.tables = tables;
                            view.bannedFingerprints = banned;
                            view.freshUntil
                                    = std::max(view.freshUntil, requestedAt + freshnessLease);
                            for (const auto &[poolName, pool] : tables->pools) {
                                auto &scheduler = pools[poolName];
                                if (!scheduler) {
                                    pool_strategies strategies{
                                            policy::router_registry::make("round_robin", 1).value(),
                                            policy::admission_registry::make("always").value(),
                                            policy::fair_queue_registry::make(
                                                    "first_come_first_served")
                                                    .value()};
                                    scheduler = std::make_unique<pool_scheduler>(
                                            std::move(strategies), queue_limits{});
                                    scheduler->setPosition(simulation.m_now,
                                                           {index, simulation.m_plan.entries});
                                }
                                if (tablesChanged)
                                    scheduler->setRows(pool);
                            }
                        });
                    });
        });
    }
    simulation.scheduleAfter(feedInterval, [this] { post([this] { feed(); }); });
}

void requests_simulation::entry::poll()
{
    if (!alive || simulation.m_now > instant(simulationEnd))
        return;
    for (const auto &[endpointName, endpoint] : simulation.m_endpoints) {
        if (endpoint->down)
            continue;
        endpoint_report report;
        report.incarnation = endpoint->incarnation;
        report.load.measuredAt = simulation.m_now;
        report.load.running = static_cast<int>(endpoint->openConnections.size());
        report.load.leaving = endpoint->leaving;
        simulation.scheduleAfter(reportDelay, [this, report, endpointName = endpointName] {
            post([this, report, endpointName] {
                for (auto &[poolName, pool] : pools)
                    pool->endpoints().report(endpointName, report);
            });
        });
    }
    post([this] {
        for (auto &[poolName, pool] : pools)
            assignEndpoints(poolName);
    });
    simulation.scheduleAfter(pollInterval, [this] { post([this] { poll(); }); });
}

void requests_simulation::entry::assignEndpoints(const std::string &pool)
{
    for (const std::uint64_t ticket : pools.at(pool)->takeUnservable())
        sessions.at(ticket)->requestSession.handle(queue_refused{
                {kernel::error_kind::Unavailable, "no endpoint", false, milliseconds(1)}});
    for (const std::uint64_t ticket : pools.at(pool)->takeLate(simulation.m_now))
        sessions.at(ticket)->requestSession.handle(queue_refused{
                {kernel::error_kind::Overloaded, "too late", false, milliseconds(1)}});
    for (endpoint_assignment &assignment : pools.at(pool)->schedule(simulation.m_now)) {
        session &one = *sessions.at(assignment.ticket);
        one.requestSession.assignEndpoint(std::move(assignment));
    }
}

void requests_simulation::entry::receive(request callerRequest, std::size_t send)
{
    auto created = std::make_unique<session>(*this, std::move(callerRequest), send);
    session *one = created.get();
    sessions.emplace(one->ticket, std::move(created));
    simulation.scheduleAt(one->requestSession.callerRequest().deadline, [this, one] {
        post([one] { one->requestSession.handle(deadline_passed{}); });
    });
    one->requestSession.begin();
}

void requests_simulation::entry::commitUsage()
{
    if (usageCommitInFlight)
        return;
    const auto batch = usage.next(kernel::wall_time(milliseconds(1)));
    if (!batch)
        return;
    usageCommitInFlight = true;
    simulation.commit(*batch, cutOff, [this](auto answer) {
        const bool accepted = answer && answer.value().accepted;
        post([this, accepted] {
            usageCommitInFlight = false;
            if (accepted) {
                for (const std::uint64_t ticket : usage.committed())
                    sessions.at(ticket)->requestSession.handle(usage_commit_finished{true});
            }
            simulation.scheduleAfter(milliseconds(accepted ? 0 : 20),
                                     [this] { post([this] { commitUsage(); }); });
        });
    });
}

void requests_simulation::entry::kill()
{
    alive = false;
    for (const auto &[ticket, one] : sessions) {
        if (one->link && one->link->open) {
            one->link->open = false;
            one->link->to->openConnections.erase(one->link);
        }
    }
    for (std::size_t send = 0; send < simulation.m_sends.size(); ++send) {
        if (simulation.m_sends[send].receivedBy == this && !simulation.m_sends[send].ended)
            simulation.handleEntryFailure(send);
    }
}

} // namespace yuccascale::fakes

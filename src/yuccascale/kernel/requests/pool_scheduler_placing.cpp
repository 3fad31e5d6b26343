#include "yuccascale/kernel/requests/pool_scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

/// \file
/// \brief Endpoint selection of pool_scheduler.

namespace yuccascale::kernel::requests {

namespace {

/// \returns the prompt tokens that an engine has to compute before the next prompt.
[[nodiscard]] std::int64_t tokensAhead(const policy::endpoint_view &view)
{
    return view.speed ? std::llround(view.speed->queuedTokens)
                      : view.ownPrefillTokens + view.remotePrefillTokens;
}

} // namespace

bool pool_scheduler::mayRunOwnSuspects(const std::string &endpoint) const
{
    const auto entryCount = static_cast<std::size_t>(m_position.count);
    if (m_suspectEndpointOrder.size() < entryCount)
        return true;
    const auto found = std::ranges::find(m_suspectEndpointOrder, endpoint);
    const auto rank = static_cast<std::size_t>(found - m_suspectEndpointOrder.begin());
    return rank % entryCount == static_cast<std::size_t>(m_position.index);
}

void pool_scheduler::isolateSuspects(const queued_request &waiting,
                                     std::vector<policy::endpoint_view> &views) const
{
    if (!m_suspects.isSuspect(waiting.fingerprint))
        return;
    for (policy::endpoint_view &view : views) {
        const std::string &endpoint = view.row->name;
        if (!mayRunOwnSuspects(endpoint)
            || m_suspects.runsAnotherSuspect(endpoint, waiting.fingerprint)) {
            view.usable = false;
            view.unusableReason = "reserved to isolate other suspect requests";
        }
    }
}

/// Avoids availability zones in which an endpoint crashed while running this request, unless no
/// other zone has a usable endpoint.
void pool_scheduler::avoidZones(const queued_request &waiting,
                                std::vector<policy::endpoint_view> &views)
{
    const auto avoided = [&](const policy::endpoint_view &view) {
        return std::ranges::find(waiting.options.avoidZones, view.row->zone)
                != waiting.options.avoidZones.end();
    };
    const bool otherZoneUsable = std::ranges::any_of(
            views, [&](const auto &view) { return view.usable && !avoided(view); });
    if (!otherZoneUsable)
        return;
    for (policy::endpoint_view &view : views) {
        if (!view.usable || !avoided(view))
            continue;
        view.usable = false;
        view.unusableReason = "an endpoint in its zone crashed while running this request";
    }
}

std::vector<policy::endpoint_view> pool_scheduler::viewsFor(instant now,
                                                            const queued_request &waiting)
{
    std::vector<policy::endpoint_view> views = m_endpoints.views(
            now,
            {waiting.steadyOnly, waiting.options.avoidEndpoints, waiting.options.softwareVersion});
    isolateSuspects(waiting, views);
    avoidZones(waiting, views);
    m_window.markFull(now, views, sendingEntries());
    // a non-idempotent request cannot be retried after a lost answer, so it avoids suspected
    // endpoints; idempotent requests continue there and show when an endpoint has recovered, or
    // that it is not leaving
    if (waiting.runsOnce) {
        m_endpoints.avoidSuspected(now, views);
        m_endpoints.avoidUnheard(now, views);
    }
    m_caches.estimate(now, waiting.parts, views);
    return views;
}

policy::routing_request pool_scheduler::routingRequest(instant now,
                                                       const queued_request &waiting) const
{
    policy::routing_request routing;
    routing.id = waiting.id;
    routing.organisation = waiting.row.organisation;
    routing.route = waiting.row.route;
    routing.promptTokens = waiting.work.promptTokens;
    routing.outputTokens = waiting.work.outputTokens;
    routing.deadline = waiting.row.deadline;
    routing.firstTokenDeadline = waiting.row.firstTokenDeadline;
    routing.idempotent = !waiting.runsOnce;
    routing.avoidZones = waiting.options.avoidZones;
    routing.entries = sendingEntries();
    routing.fleetEntries = m_position.count;
    // a prefill call generates nothing, so it may be repeated for any request
    routing.kvSecondsPerToken = m_kvSecondsPerToken;
    routing.mayDisaggregatePrefill = prefillRoom(now) > 0;
    return routing;
}

endpoint_assignment
pool_scheduler::makeAssignment(instant now, const queued_request &waiting,
                               const policy::routing_choice &choice,
                               std::span<const policy::endpoint_view> views) const
{
    const policy::endpoint_view &chosen = views[choice.index];
    const policy::endpoint_view &prefillView = views[choice.prefillIndex.value_or(choice.index)];
    endpoint_assignment assignment;
    assignment.ticket = waiting.row.ticket;
    assignment.endpoint = chosen.row->name;
    assignment.zone = chosen.row->zone;
    assignment.address = chosen.row->address;
    assignment.startedMs = chosen.row->startedMs;
    assignment.softwareVersion = chosen.row->softwareVersion;
    assignment.incarnation = m_endpoints.incarnation(assignment.endpoint);
    assignment.reason = choice.reason;
    assignment.predictedFirstToken = choice.predictedFirstToken;
    if (choice.prefillIndex) {
        assignment.prefillEndpoint = prefillView.row->name;
        assignment.prefillAddress = prefillView.row->address;
        assignment.prefillStartedMs = prefillView.row->startedMs;
    }
    if (choice.fetchFrom) {
        assignment.cacheEndpoint = views[*choice.fetchFrom].row->name;
        assignment.cacheAddress = views[*choice.fetchFrom].row->address;
    }
    assignment.cachedTokens = prefillView.cachedPromptTokens;
    assignment.fetchableTokens = choice.fetchFrom ? prefillView.fetchableTokens : 0;
    assignment.prefillRoom = prefillRoom(now);
    assignment.backlogTokens = prefillView.ownPrefillTokens;
    assignment.reportedRequests = chosen.report.running + chosen.report.queued;
    assignment.listAge = m_endpoints.listAge(now);
    if (chosen.speed)
        assignment.pace = chosen.speed->pace.expected(now, 0);
    if (prefillView.speed)
        assignment.prefillTokensPerSecond = prefillView.speed->prefillTokensPerSecond;
    if (chosen.report.measuredAt != instant{})
        assignment.reportAge = now - chosen.report.measuredAt;
    return assignment;
}

std::optional<endpoint_assignment> pool_scheduler::place(instant now, queued_request &waiting)
{
    const std::vector<policy::endpoint_view> views = viewsFor(now, waiting);
    const auto choice = m_strategies.router->choose(now, routingRequest(now, waiting), views);
    if (!choice || !views[choice->index].usable)
        return std::nullopt;
    endpoint_assignment assignment = makeAssignment(now, waiting, *choice, views);
    m_queueMeter.dispatched(now, waiting.row);
    const policy::endpoint_view &prefillView = views[choice->prefillIndex.value_or(choice->index)];
    const std::int64_t cached = assignment.cachedTokens + assignment.fetchableTokens;
    recordSent(now, waiting, assignment, cached);
    const policy::endpoint_view &chosen = views[choice->index];
    running_request running{waiting,
                            assignment.endpoint,
                            assignment.zone,
                            now,
                            chosen.report.running + chosen.sentSinceReport,
                            cached,
                            tokensAhead(prefillView),
                            assignment.prefillEndpoint};
    m_versionBound.erase(assignment.ticket);
    m_waiting.erase(assignment.ticket);
    m_running.insert_or_assign(assignment.ticket, std::move(running));
    return assignment;
}

/// Records the work of an assignment at the engines that will do it.
void pool_scheduler::recordSent(instant now, const queued_request &waiting,
                                const endpoint_assignment &assignment, std::int64_t cached)
{
    const std::int64_t uncachedTokens
            = std::max<std::int64_t>(0, waiting.work.promptTokens - cached);
    endpoint_work work = waiting.work;
    work.promptTokens = uncachedTokens;
    if (!assignment.prefillEndpoint.empty()) {
        m_endpoints.requestSent(now, assignment.prefillEndpoint, assignment.ticket,
                                {uncachedTokens, 0});
        ++m_activePrefills;
        work.promptTokens = 0;
    }
    m_endpoints.requestSent(now, assignment.endpoint, assignment.ticket, work);
    m_work.sent(now, uncachedTokens, assignment.prefillEndpoint.empty() ? 1 : 2,
                waiting.steadyOnly);
    m_suspects.started(assignment.endpoint, waiting.fingerprint);
    announcePlacement(waiting, assignment, uncachedTokens);
}

/// Announces to the other entries which engine prefills a long prompt and which one will have its
/// shared parts cached.
void pool_scheduler::announcePlacement(const queued_request &waiting,
                                       const endpoint_assignment &assignment, std::int64_t tokens)
{
    if (waiting.work.promptTokens < minAnnouncedTokens)
        return;
    placement placed{waiting.row.pool,
                     assignment.endpoint,
                     assignment.prefillEndpoint.empty() ? assignment.endpoint
                                                        : assignment.prefillEndpoint,
                     tokens,
                     assignment.predictedFirstToken,
                     waiting.parts};
    if (!placed.parts.empty())
        placed.parts.pop_back(); // the last part is unique to this request
    m_updates.placements.push_back(std::move(placed));
}

void pool_scheduler::applyRemotePlacement(instant now, const placement &placed)
{
    m_endpoints.addRemotePrompt(now, placed.prefillEndpoint, placed.tokens,
                                placed.timeToFirstToken);
    m_caches.confirm(now + placed.timeToFirstToken, placed.endpoint, placed.parts);
}

} // namespace yuccascale::kernel::requests

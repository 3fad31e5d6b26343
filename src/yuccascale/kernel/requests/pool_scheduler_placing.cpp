#include "yuccascale/kernel/requests/pool_scheduler.hpp"

#include <algorithm>
#include <utility>

/// \file
/// \brief How a pool's scheduler gives a waiting request its endpoint.

namespace yuccascale::kernel::requests {

bool pool_scheduler::ownSuspectsGoTo(const std::string &endpoint) const
{
    const auto share = static_cast<std::size_t>(m_position.count);
    if (m_suspectOrder.size() < share)
        return true;
    const auto found = std::ranges::find(m_suspectOrder, endpoint);
    const auto rank = static_cast<std::size_t>(found - m_suspectOrder.begin());
    return rank % share == static_cast<std::size_t>(m_position.index);
}

void pool_scheduler::keepSuspectsApart(const waiting_entry &waiting,
                                       std::vector<policy::endpoint_view> &views) const
{
    if (!m_suspects.suspect(waiting.fingerprint))
        return;
    for (policy::endpoint_view &view : views) {
        const std::string &endpoint = view.row->name;
        if (!ownSuspectsGoTo(endpoint)
            || m_suspects.runsAnotherSuspect(endpoint, waiting.fingerprint)) {
            view.usable = false;
            view.unusableBecause = "kept apart from other suspects";
        }
    }
}

/// An availability zone in which the request's endpoint died is avoided while another has room.
void pool_scheduler::avoidZones(const waiting_entry &waiting,
                                std::vector<policy::endpoint_view> &views)
{
    const auto avoided = [&](const policy::endpoint_view &view) {
        return std::ranges::find(waiting.how.avoidZones, view.row->zone)
                != waiting.how.avoidZones.end();
    };
    const bool elsewhere = std::ranges::any_of(
            views, [&](const auto &view) { return view.usable && !avoided(view); });
    if (!elsewhere)
        return;
    for (policy::endpoint_view &view : views) {
        if (!view.usable || !avoided(view))
            continue;
        view.usable = false;
        view.unusableBecause = "an endpoint of its zone died with this request";
    }
}

std::vector<policy::endpoint_view> pool_scheduler::viewsFor(instant now,
                                                            const waiting_entry &waiting)
{
    std::vector<policy::endpoint_view> views
            = m_endpoints.views(now, {waiting.steadyOnly, waiting.how.avoidEndpoints});
    keepSuspectsApart(waiting, views);
    avoidZones(waiting, views);
    m_window.limit(now, views, sendingEntries());
    // what may run once only is lost with its answer; what may be repeated goes on and shows when
    // an endpoint is well again
    if (waiting.runsOnce)
        m_endpoints.avoidSuspected(now, views);
    m_caches.estimate(now, waiting.parts, views);
    return views;
}

policy::routing_request pool_scheduler::routingRequest(const waiting_entry &waiting) const
{
    policy::routing_request asked;
    asked.id = waiting.id;
    asked.organisation = waiting.row.organisation;
    asked.route = waiting.row.route;
    asked.promptTokens = waiting.work.promptTokens;
    asked.outputTokens = waiting.work.outputTokens;
    asked.deadline = waiting.row.deadline;
    asked.firstTokenBy = waiting.row.firstTokenBy;
    asked.idempotent = !waiting.runsOnce;
    asked.avoidZones = waiting.how.avoidZones;
    asked.entries = sendingEntries();
    asked.fleetEntries = m_position.count;
    asked.mayFillApart = asked.idempotent && m_fills < fillSlots();
    return asked;
}

scheduled_turn pool_scheduler::turnFrom(instant now, const waiting_entry &waiting,
                                        const policy::routing_choice &choice,
                                        std::span<const policy::endpoint_view> views) const
{
    const policy::endpoint_view &chosen = views[choice.index];
    const policy::endpoint_view &filler = views[choice.prefillIndex.value_or(choice.index)];
    scheduled_turn turn;
    turn.ticket = waiting.row.ticket;
    turn.endpoint = chosen.row->name;
    turn.zone = chosen.row->zone;
    turn.address = chosen.row->address;
    turn.incarnation = m_endpoints.incarnation(turn.endpoint);
    turn.reason = choice.reason;
    turn.predictedFirstToken = choice.predictedFirstToken;
    if (choice.prefillIndex) {
        turn.prefillEndpoint = filler.row->name;
        turn.prefillAddress = filler.row->address;
    }
    if (choice.fetchFrom) {
        turn.cacheEndpoint = views[*choice.fetchFrom].row->name;
        turn.cacheAddress = views[*choice.fetchFrom].row->address;
    }
    turn.cachedTokens = filler.cachedPromptTokens;
    turn.backlogTokens = filler.prefillTokensHere;
    turn.reported = chosen.report.running + chosen.report.queued;
    if (chosen.report.measuredAt != instant{})
        turn.reportAge = now - chosen.report.measuredAt;
    return turn;
}

std::optional<scheduled_turn> pool_scheduler::place(instant now, waiting_entry &waiting)
{
    const std::vector<policy::endpoint_view> views = viewsFor(now, waiting);
    const auto choice = m_strategies.router->choose(now, routingRequest(waiting), views);
    if (!choice || !views[choice->index].usable)
        return std::nullopt;
    scheduled_turn turn = turnFrom(now, waiting, *choice, views);
    m_meter.dispatched(now, waiting.row);
    const policy::endpoint_view &filler = views[choice->prefillIndex.value_or(choice->index)];
    const std::int64_t cached
            = filler.cachedPromptTokens + (choice->fetchFrom ? filler.fetchableTokens : 0);
    noteSent(now, waiting, turn, cached);
    const policy::endpoint_view &chosen = views[choice->index];
    running_entry running{waiting,
                          turn.endpoint,
                          turn.zone,
                          now,
                          chosen.report.running + chosen.sentSinceReport,
                          cached,
                          turn.prefillEndpoint};
    m_waiting.erase(turn.ticket);
    m_running.insert_or_assign(turn.ticket, std::move(running));
    return turn;
}

/// Counts a turn's work where it will be done.
void pool_scheduler::noteSent(instant now, const waiting_entry &waiting, const scheduled_turn &turn,
                              std::int64_t cached)
{
    const std::int64_t toRead = std::max<std::int64_t>(0, waiting.work.promptTokens - cached);
    endpoint_work work = waiting.work;
    work.promptTokens = toRead;
    if (!turn.prefillEndpoint.empty()) {
        m_endpoints.sent(now, turn.prefillEndpoint, turn.ticket, {toRead, 0});
        ++m_fills;
        work.promptTokens = 0;
    }
    m_endpoints.sent(now, turn.endpoint, turn.ticket, work);
    m_suspects.started(turn.endpoint, waiting.fingerprint);
    notePlaced(waiting, turn, toRead);
}

/// The other entries learn which engine reads a long prompt, and which will hold its shared parts.
void pool_scheduler::notePlaced(const waiting_entry &waiting, const scheduled_turn &turn,
                                std::int64_t tokens)
{
    if (waiting.work.promptTokens < leastToldTokens)
        return;
    placement placed{waiting.row.pool,
                     turn.endpoint,
                     turn.prefillEndpoint.empty() ? turn.endpoint : turn.prefillEndpoint,
                     tokens,
                     turn.predictedFirstToken,
                     waiting.parts};
    if (!placed.parts.empty())
        placed.parts.pop_back(); // its own part is of no use to others
    m_news.placements.push_back(std::move(placed));
}

void pool_scheduler::placedElsewhere(instant now, const placement &placed)
{
    m_endpoints.sentElsewhere(now, placed.filler, placed.tokens, placed.ready);
    m_caches.confirm(now + placed.ready, placed.endpoint, placed.parts);
}

} // namespace yuccascale::kernel::requests

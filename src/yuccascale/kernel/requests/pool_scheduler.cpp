#include "yuccascale/kernel/requests/pool_scheduler.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccascale::kernel::requests {

namespace {

/// Cost of an output token in prompt tokens.
constexpr double outputTokenCost = 5;
/// Time over which the throughput of a pool is averaged.
constexpr double throughputSeconds = 5;
/// Throughput that is assumed before anything was measured, in prompt-token equivalents a second.
constexpr double initialCostPerSecond = 4'000;
/// Advice to a caller while a pool has no endpoint that takes work.
constexpr seconds noEndpointRetryAfter{5};
/// Bounds of the advice to come back.
constexpr milliseconds shortestRetryAfter{100};
constexpr seconds longestRetryAfter{30};

[[nodiscard]] double costOf(const request &subject)
{
    return static_cast<double>(subject.promptTokens)
            + outputTokenCost * static_cast<double>(subject.outputTokens);
}

[[nodiscard]] nanoseconds boundedRetryAfter(nanoseconds time)
{
    return std::clamp<nanoseconds>(time, shortestRetryAfter, longestRetryAfter);
}

[[nodiscard]] nanoseconds secondsToNanoseconds(double time)
{
    return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(time));
}

} // namespace

pool_scheduler::pool_scheduler(pool_strategies strategies, queue_limits limits)
    : m_strategies(std::move(strategies))
    , m_limits(limits)
{ }

/// Entries share no list of suspects, so each runs its own on its part of the endpoints. The parts
/// are drawn by hash: rows often alternate between availability zones, and a part should not be
/// one.
void pool_scheduler::setRows(const state::pool &pool)
{
    m_endpoints.setRows(pool);
    m_suspectOrder.clear();
    for (const state::endpoint &row : pool.endpoints)
        m_suspectOrder.push_back(row.name);
    std::ranges::sort(m_suspectOrder, {}, [](const std::string &name) {
        return std::pair(XXH64(name.data(), name.size(), 0), name);
    });
}

std::optional<refusal> pool_scheduler::push(instant now, std::uint64_t ticket,
                                            const request &subject, double weight,
                                            const enqueue &how)
{
    if (!m_endpoints.serves(!subject.route.idempotent)) {
        return refusal{error_kind::Unavailable,
                       "no endpoint of this route takes work; come back later", false,
                       noEndpointRetryAfter};
    }
    if (how.retry) {
        if (auto refused = refuseRetry(now, subject))
            return refused;
    } else {
        m_retries[subject.route.name].firstAttempt(now);
    }
    waiting_entry waiting;
    waiting.row = {ticket,
                   subject.organisation,
                   subject.route.name,
                   subject.route.pool,
                   weight,
                   subject.route.priority,
                   costOf(subject),
                   subject.receivedAt,
                   subject.deadline,
                   subject.receivedAt + milliseconds(subject.route.firstTokenMs),
                   {}};
    waiting.id = subject.id;
    waiting.fingerprint = subject.fingerprint;
    waiting.work = {subject.promptTokens, subject.outputTokens};
    waiting.steadyOnly = !subject.route.idempotent;
    waiting.how = how;
    if (!how.retry)
        m_demand.offered(subject.promptTokens, subject.outputTokens, subject.route.idempotent);
    const policy::queue_view view = queueView(waiting.row);
    if (!how.retry && m_waiting.size() >= m_limits.maxWaiting) {
        return refusal{error_kind::Overloaded, "the queue is full; come back later", false,
                       boundedRetryAfter(view.predictedWait / 2)};
    }
    if (!how.retry) {
        if (const auto refused = m_strategies.admission->refuse(now, waiting.row, view)) {
            return refusal{error_kind::Overloaded, refused->reason + "; come back later", false,
                           boundedRetryAfter(refused->retryAfter)};
        }
    }
    auto &[activeWeight, requests] = m_activeWeights[subject.organisation];
    activeWeight = weight;
    ++requests;
    if (how.retry)
        m_parked.push_back(ticket);
    else
        m_strategies.queue->push(now, waiting.row);
    m_waiting.emplace(ticket, std::move(waiting));
    return std::nullopt;
}

std::optional<refusal> pool_scheduler::refuseRetry(instant now, const request &subject)
{
    retry_budget &budget = m_retries[subject.route.name];
    if (budget.take(now))
        return std::nullopt;
    return refusal{
            error_kind::Unavailable,
            "the endpoints of this route failed and its retries are used up; come back later",
            false, boundedRetryAfter(budget.wait())};
}

policy::queue_view pool_scheduler::queueView(const policy::waiting_request &row) const
{
    policy::queue_view view;
    view.waiting = m_waiting.size();
    view.costWaiting = m_strategies.queue->costWaiting();
    view.costWaitingOfOrganisation = m_strategies.queue->costWaiting(row.organisation);
    view.costPerSecond = m_costPerSecond > 0 ? m_costPerSecond : initialCostPerSecond;
    double weights = m_activeWeights.contains(row.organisation) ? 0 : row.weight;
    for (const auto &[name, active] : m_activeWeights)
        weights += active.first;
    view.shareOfOrganisation = row.weight / std::max(weights, row.weight);
    view.predictedWait = secondsToNanoseconds(view.costWaiting / view.costPerSecond);
    return view;
}

void pool_scheduler::remove(std::uint64_t ticket)
{
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end())
        return;
    if (!m_strategies.queue->remove(ticket))
        std::erase(m_parked, ticket);
    const auto active = m_activeWeights.find(found->second.row.organisation);
    if (active != m_activeWeights.end() && --active->second.second <= 0)
        m_activeWeights.erase(active);
    m_waiting.erase(found);
}

std::vector<std::uint64_t> pool_scheduler::takeUnservable()
{
    std::vector<std::uint64_t> tickets;
    const bool anyServes = m_endpoints.serves(false);
    const bool steadyServes = m_endpoints.serves(true);
    if (anyServes && steadyServes)
        return tickets;
    for (const auto &[ticket, waiting] : m_waiting) {
        if (!(waiting.steadyOnly ? steadyServes : anyServes))
            tickets.push_back(ticket);
    }
    for (const std::uint64_t ticket : tickets)
        remove(ticket);
    return tickets;
}

std::vector<std::uint64_t> pool_scheduler::takeFingerprint(const std::string &fingerprint)
{
    std::vector<std::uint64_t> tickets;
    for (const auto &[ticket, waiting] : m_waiting) {
        if (waiting.fingerprint == fingerprint)
            tickets.push_back(ticket);
    }
    for (const std::uint64_t ticket : tickets)
        remove(ticket);
    return tickets;
}

demand_report pool_scheduler::takeDemand(instant now)
{
    demand_report out = m_demand.take(now);
    for (const auto &[ticket, waiting] : m_waiting) {
        out.prefillBacklogTokens += static_cast<double>(waiting.work.promptTokens);
        out.decodeBacklogTokens += static_cast<double>(waiting.work.outputTokens);
    }
    return out;
}

std::vector<scheduled_turn> pool_scheduler::schedule(instant now)
{
    std::vector<scheduled_turn> turns;
    for (std::size_t index = 0; index < m_parked.size() && m_endpoints.hasRoom(now);) {
        auto turn = place(now, m_waiting.at(m_parked[index]));
        if (!turn) {
            ++index;
            continue;
        }
        m_parked.erase(m_parked.begin() + static_cast<std::ptrdiff_t>(index));
        turns.push_back(std::move(*turn));
    }
    while (m_strategies.queue->size() > 0 && m_endpoints.hasRoom(now)) {
        const auto next = m_strategies.queue->pop(now);
        if (!next)
            break;
        m_charges.add(next->organisation, next->cost);
        auto turn = place(now, m_waiting.at(next->ticket));
        if (turn)
            turns.push_back(std::move(*turn));
        else
            m_parked.push_back(next->ticket);
    }
    return turns;
}

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

std::optional<scheduled_turn> pool_scheduler::place(instant now, const waiting_entry &waiting)
{
    std::vector<policy::endpoint_view> views
            = m_endpoints.views(now, {waiting.steadyOnly, waiting.how.avoidEndpoints});
    keepSuspectsApart(waiting, views);
    avoidZones(waiting, views);
    policy::routing_request asked;
    asked.id = waiting.id;
    asked.organisation = waiting.row.organisation;
    asked.route = waiting.row.route;
    asked.promptTokens = waiting.work.promptTokens;
    asked.outputTokens = waiting.work.outputTokens;
    asked.deadline = waiting.row.deadline;
    asked.firstTokenBy = waiting.row.firstTokenBy;
    asked.idempotent = !waiting.steadyOnly;
    asked.avoidZones = waiting.how.avoidZones;
    asked.entries = m_position.count;
    const auto choice = m_strategies.router->choose(now, asked, views);
    if (!choice || !views[choice->index].usable)
        return std::nullopt;
    const policy::endpoint_view &chosen = views[choice->index];
    scheduled_turn turn;
    turn.ticket = waiting.row.ticket;
    turn.endpoint = chosen.row->name;
    turn.zone = chosen.row->zone;
    turn.address = chosen.row->address;
    turn.incarnation = m_endpoints.incarnation(turn.endpoint);
    turn.reason = choice->reason;
    turn.predictedFirstToken = choice->predictedFirstToken;
    if (choice->prefillIndex && !waiting.steadyOnly) {
        turn.prefillEndpoint = views[*choice->prefillIndex].row->name;
        turn.prefillAddress = views[*choice->prefillIndex].row->address;
    }
    m_endpoints.sent(now, turn.endpoint, turn.ticket, waiting.work);
    m_suspects.started(turn.endpoint, waiting.fingerprint);
    running_entry running{waiting, turn.endpoint, turn.zone,
                          chosen.report.running + chosen.sentSinceReport};
    m_waiting.erase(turn.ticket);
    m_running.insert_or_assign(turn.ticket, std::move(running));
    return turn;
}

void pool_scheduler::firstPiece(std::uint64_t ticket)
{
    const auto found = m_running.find(ticket);
    if (found != m_running.end())
        m_endpoints.firstPiece(found->second.endpoint, ticket);
}

finish_findings pool_scheduler::finish(instant now, std::uint64_t ticket,
                                       const attempt_result &result)
{
    finish_findings findings;
    const auto found = m_running.find(ticket);
    if (found == m_running.end())
        return findings;
    const running_entry running = std::move(found->second);
    m_running.erase(found);
    const std::string &endpoint = running.endpoint;
    const std::string &fingerprint = running.was.fingerprint;
    m_endpoints.left(endpoint, ticket);
    if (result.crashed)
        findings.guiltyFingerprint = m_suspects.crashed(now, endpoint, running.zone);
    m_suspects.finished(endpoint, fingerprint, result.answered);
    if (result.answered)
        findings.breakerClosed = m_endpoints.succeeded(endpoint);
    else if (!result.blameless)
        findings.breakerOpened = m_endpoints.failed(now, endpoint, result.crashed);
    const auto active = m_activeWeights.find(running.was.row.organisation);
    if (active != m_activeWeights.end() && --active->second.second <= 0)
        m_activeWeights.erase(active);
    if (!result.answered)
        return findings;
    const double cost = static_cast<double>(result.usage.promptTokens - result.usage.cachedTokens)
            + outputTokenCost * static_cast<double>(result.usage.completionTokens);
    m_strategies.queue->charge(running.was.row.organisation, running.was.row.weight,
                               cost - running.was.row.cost);
    countThroughput(now, cost);
    m_strategies.router->observe(now,
                                 {endpoint, result.usage.promptTokens, result.usage.cachedTokens,
                                  result.usage.completionTokens, result.firstToken, result.whole,
                                  running.runningAtDispatch, true});
    return findings;
}

void pool_scheduler::countThroughput(instant now, double cost)
{
    const std::chrono::duration<double> elapsed = now - m_countedAt;
    m_costPerSecond = m_costPerSecond * std::exp(-elapsed.count() / throughputSeconds)
            + cost / throughputSeconds;
    m_countedAt = now;
}

} // namespace yuccascale::kernel::requests

#include "yuccascale/kernel/requests/pool_scheduler.hpp"

#include "yuccascale/kernel/policy/prefix_homes.hpp"
#include "yuccascale/kernel/policy/request_cost.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccascale::kernel::requests {

namespace {

/// Advice to a caller while a pool has no endpoint that takes work.
constexpr seconds noEndpointRetryAfter{5};
/// Bounds of the advice to come back.
constexpr milliseconds shortestRetryAfter{100};
constexpr seconds longestRetryAfter{30};
/// A shared part of at least so many tokens has a home; reading a shorter one again is cheap.
constexpr std::int64_t leastHomeTokens = 1'024;
/// All entries together bring most shared parts to their homes within this.
constexpr seconds homeWarmUp{20};
/// Advice to a caller whose prompt found no prefill engine, and the step between two such callers.
constexpr milliseconds fillRetryAfter{1'200};
constexpr milliseconds fillRetrySpread{150};
/// Prompts that a prefill engine has before it; more only wait there, unseen by the other entries.
constexpr double fillsPerEngine = 1.5;
/// Prompts that may wait for a slot of this entry; the next ones would push them out of time.
constexpr std::size_t awaitingPerSlot = 2;
/// Part of the retry burst that the entries share out; the rest is for entries that come and go.
constexpr double sharedBurst = 0.8;

/// Engines that only fill prompts have no shared parts of their own: their memory turns over with
/// every prompt that passes through them.
[[nodiscard]] double homeShare(const policy::endpoint_view &view) noexcept
{
    return view.row->role == state::engine_role::Prefill ? 0.0 : 1.0;
}

[[nodiscard]] nanoseconds boundedRetryAfter(nanoseconds time)
{
    return std::clamp<nanoseconds>(time, shortestRetryAfter, longestRetryAfter);
}

} // namespace

pool_scheduler::pool_scheduler(pool_strategies strategies, queue_limits limits)
    : m_strategies(std::move(strategies))
    , m_limits(limits)
    , m_retries(limits.retries)
    , m_window(limits.window)
{ }

void pool_scheduler::setPosition(entry_position position)
{
    m_position = position;
    if (position.count > 1)
        m_retries.setBurst(m_limits.retries.burst * sharedBurst / position.count);
    m_endpoints.setEntries(position.count);
}

int pool_scheduler::sendingEntries() const noexcept
{
    return m_limits.assumeOthers ? m_position.count : 1;
}

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
        if (auto refused = refuseRetry(now))
            return refused;
    } else {
        m_retries.firstAttempt(now);
    }
    waiting_entry waiting;
    waiting.row
            = {ticket,
               subject.organisation,
               subject.route.name,
               subject.route.pool,
               weight,
               subject.route.priority,
               policy::requestCost(subject.promptTokens, 0, subject.outputTokens),
               subject.receivedAt,
               subject.deadline,
               subject.receivedAt + milliseconds(subject.route.firstTokenMs),
               m_services[subject.route.name].predict(subject.promptTokens, subject.outputTokens)};
    waiting.id = subject.id;
    waiting.fingerprint = subject.fingerprint;
    waiting.work = {subject.promptTokens, subject.outputTokens};
    waiting.parts = subject.parts;
    waiting.steadyOnly = !subject.route.idempotent;
    waiting.how = how;
    if (!how.retry) {
        m_demand.offered(subject.promptTokens, subject.outputTokens, subject.route.idempotent);
        m_meter.arrived(now, waiting.row);
        if (auto refused = refuseAdmission(now, waiting.row))
            return refused;
    }
    if (how.retry)
        m_parked.push_back(ticket);
    else
        m_strategies.queue->push(now, waiting.row);
    m_waiting.emplace(ticket, std::move(waiting));
    return std::nullopt;
}

std::optional<refusal> pool_scheduler::refuseRetry(instant now)
{
    if (m_retries.take(now))
        return std::nullopt;
    return refusal{
            error_kind::Unavailable,
            "the endpoints of this route failed and its retries are used up; come back later",
            false, boundedRetryAfter(m_retries.wait())};
}

std::optional<refusal> pool_scheduler::refuseAdmission(instant now,
                                                       const policy::waiting_request &row)
{
    if (m_waiting.size() >= m_limits.maxWaiting) {
        return refusal{error_kind::Overloaded, "the queue is full; come back later", false,
                       retryAfter(now)};
    }
    const policy::queue_view view = m_meter.view(now, row, *m_strategies.queue);
    const auto refused = m_strategies.admission->refuse(now, row, view);
    if (!refused)
        return std::nullopt;
    return refusal{error_kind::Overloaded, refused->reason + "; come back later", false,
                   boundedRetryAfter(refused->retryAfter)};
}

nanoseconds pool_scheduler::retryAfter(instant now)
{
    // who comes back at once meets the same prompts; apart they find a slot sooner
    if (m_fills >= fillSlots()) {
        constexpr std::uint64_t spreadSteps = 8;
        return fillRetryAfter + fillRetrySpread * (m_refusals++ % spreadSteps);
    }
    return boundedRetryAfter(m_meter.view(now, {}, *m_strategies.queue).predictedWait / 2);
}

void pool_scheduler::remove(std::uint64_t ticket)
{
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end())
        return;
    if (!m_strategies.queue->remove(ticket))
        std::erase(m_parked, ticket);
    m_waiting.erase(found);
}

std::vector<std::uint64_t> pool_scheduler::takeLate(instant now)
{
    std::vector<std::uint64_t> tickets;
    for (const policy::waiting_request &late : m_strategies.queue->takeLate(now)) {
        tickets.push_back(late.ticket);
        m_waiting.erase(late.ticket);
    }
    takeAwaitingFill(now, tickets);
    return tickets;
}

/// Prompts that wait for a prefill engine go newest first, so that those which are served are in
/// time. The oldest are refused once their time is over or more wait than can be served in it.
void pool_scheduler::takeAwaitingFill(instant now, std::vector<std::uint64_t> &tickets)
{
    const auto awaits = [&](std::uint64_t ticket) { return m_waiting.at(ticket).awaitsFill; };
    auto awaiting = static_cast<std::size_t>(std::ranges::count_if(m_parked, awaits));
    std::vector<std::uint64_t> refused;
    for (const std::uint64_t ticket : m_parked) {
        if (!awaits(ticket))
            continue;
        const bool late = m_waiting.at(ticket).row.firstTokenBy < now;
        if (!late && awaiting <= awaitingPerSlot * fillSlots())
            break;
        refused.push_back(ticket);
        --awaiting;
    }
    for (const std::uint64_t ticket : refused) {
        remove(ticket);
        tickets.push_back(ticket);
    }
}

/// Prefill engines take one prompt after another and the entries share them without asking each
/// other, so each entry sends only as many at once as keep the engines busy.
std::size_t pool_scheduler::fillSlots() const noexcept
{
    const double share = fillsPerEngine * m_endpoints.prefillEngines() / m_position.count;
    return static_cast<std::size_t>(std::max(std::lround(share), 1L));
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
    for (std::size_t index = m_parked.size(); index > 0 && windowOpen(now);) {
        --index;
        auto turn = place(now, m_waiting.at(m_parked[index]));
        if (!turn)
            continue;
        m_parked.erase(m_parked.begin() + static_cast<std::ptrdiff_t>(index));
        turns.push_back(std::move(*turn));
    }
    while (m_strategies.queue->size() > 0 && windowOpen(now)) {
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

/// Work beyond the window waits in the fair queue, where it can still be put in order.
bool pool_scheduler::windowOpen(instant now)
{
    std::vector<policy::endpoint_view> views = m_endpoints.views(now, {});
    m_window.limit(now, views, sendingEntries());
    return std::ranges::any_of(views, &policy::endpoint_view::usable);
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

std::optional<scheduled_turn> pool_scheduler::place(instant now, waiting_entry &waiting)
{
    std::vector<policy::endpoint_view> views
            = m_endpoints.views(now, {waiting.steadyOnly, waiting.how.avoidEndpoints});
    keepSuspectsApart(waiting, views);
    avoidZones(waiting, views);
    m_window.limit(now, views, sendingEntries());
    estimateCached(now, waiting, views);
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
    asked.entries = sendingEntries();
    asked.fleetEntries = m_position.count;
    const auto choice = m_strategies.router->choose(now, asked, views);
    if (!choice || !views[choice->index].usable)
        return std::nullopt;
    waiting.awaitsFill = choice->prefillIndex && m_fills >= fillSlots();
    if (waiting.awaitsFill)
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
    std::int64_t cached = chosen.cachedPromptTokens;
    const policy::endpoint_view &filler
            = turn.prefillEndpoint.empty() ? chosen : views[*choice->prefillIndex];
    turn.cachedTokens = filler.cachedPromptTokens;
    turn.backlogTokens = filler.prefillTokensHere;
    turn.reported = chosen.report.running + chosen.report.queued;
    if (chosen.report.measuredAt != instant{})
        turn.reportAge = now - chosen.report.measuredAt;
    m_meter.dispatched(now, waiting.row);
    endpoint_work work = waiting.work;
    if (!turn.prefillEndpoint.empty()) {
        cached = views[*choice->prefillIndex].cachedPromptTokens;
        const std::int64_t rest = std::max<std::int64_t>(0, work.promptTokens - cached);
        m_endpoints.sent(now, turn.prefillEndpoint, turn.ticket, {rest, 0});
        ++m_fills;
        work.promptTokens = 0;
    }
    work.promptTokens = std::max<std::int64_t>(0, work.promptTokens - cached);
    m_endpoints.sent(now, turn.endpoint, turn.ticket, work);
    m_suspects.started(turn.endpoint, waiting.fingerprint);
    running_entry running{waiting,   turn.endpoint,
                          turn.zone, chosen.report.running + chosen.sentSinceReport,
                          cached,    turn.prefillEndpoint};
    m_waiting.erase(turn.ticket);
    m_running.insert_or_assign(turn.ticket, std::move(running));
    return turn;
}

/// What an engine is believed to hold of the prompt. A long shared part is taken to be at its home
/// once all entries have had the time to bring it there.
void pool_scheduler::estimateCached(instant now, const waiting_entry &waiting,
                                    std::span<policy::endpoint_view> views) const
{
    if (waiting.parts.empty() || views.empty())
        return;
    const prompt_part &first = waiting.parts.front();
    const bool hasHome = waiting.parts.size() > 1 && first.tokens >= leastHomeTokens;
    policy::endpoint_view *home = nullptr;
    double greatest = 0;
    for (policy::endpoint_view &view : views) {
        for (const prompt_part &part : waiting.parts) {
            const std::int64_t held = m_prefixes.tokensAt(now, view.row->name, part.id);
            view.cachedPromptTokens += std::min(held, part.tokens);
            if (held < part.tokens)
                break;
        }
        const bool mayBeHome = hasHome && view.unusableBecause != "leaving"
                && view.unusableBecause != "draining";
        const double score
                = mayBeHome ? policy::homeScore(first.id, view.row->name, homeShare(view)) : 0;
        if (score > greatest) {
            greatest = score;
            home = &view;
        }
    }
    if (home == nullptr)
        return;
    home->home = true;
    if (home->usedFor >= homeWarmUp)
        home->cachedPromptTokens = std::max(home->cachedPromptTokens, first.tokens);
}

void pool_scheduler::firstPiece(instant now, std::uint64_t ticket)
{
    const auto found = m_running.find(ticket);
    if (found == m_running.end())
        return;
    m_endpoints.firstPiece(found->second.endpoint, ticket);
    for (const prompt_part &part : found->second.was.parts)
        m_prefixes.confirm(now, found->second.endpoint, part.id, part.tokens);
}

void pool_scheduler::filled(instant now, std::uint64_t ticket, fill_end how, nanoseconds took)
{
    const auto found = m_running.find(ticket);
    if (found == m_running.end() || found->second.fillEndpoint.empty())
        return;
    running_entry &running = found->second;
    const std::string endpoint = std::exchange(running.fillEndpoint, {});
    m_endpoints.left(endpoint, ticket);
    --m_fills;
    if (how == fill_end::Failed) {
        // an engine that is silent for so long is gone
        static_cast<void>(m_endpoints.failed(now, endpoint, true));
        return;
    }
    static_cast<void>(m_endpoints.succeeded(endpoint));
    if (how == fill_end::Refused)
        return;
    for (const prompt_part &part : running.was.parts)
        m_prefixes.confirm(now, endpoint, part.id, part.tokens);
    m_strategies.router->observe(now,
                                 {endpoint, running.was.work.promptTokens, running.cachedTokens, 0,
                                  took, took, 0, true});
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
    if (!running.fillEndpoint.empty()) {
        m_endpoints.left(running.fillEndpoint, ticket);
        --m_fills;
    }
    if (result.crashed)
        m_prefixes.forget(endpoint);
    if (result.crashed)
        findings.guiltyFingerprint = m_suspects.crashed(now, endpoint, running.zone);
    m_suspects.finished(endpoint, fingerprint, result.answered);
    if (result.answered)
        findings.breakerClosed = m_endpoints.succeeded(endpoint);
    else if (!result.blameless)
        findings.breakerOpened
                = m_endpoints.failed(now, endpoint, result.crashed || result.unreachable);
    if (!result.answered)
        return findings;
    // an endpoint that tells no usage is taken to have done what was expected of it
    token_usage usage = result.usage;
    if (usage.promptTokens == 0) {
        usage = {running.was.work.promptTokens, running.cachedTokens,
                 running.was.work.outputTokens};
    }
    const double cost
            = policy::requestCost(usage.promptTokens, usage.cachedTokens, usage.completionTokens);
    m_strategies.queue->charge(running.was.row.organisation, running.was.row.weight,
                               cost - running.was.row.cost);
    const policy::routing_outcome outcome{endpoint,
                                          usage.promptTokens,
                                          usage.cachedTokens,
                                          usage.completionTokens,
                                          result.firstToken,
                                          result.whole,
                                          running.runningAtDispatch,
                                          true};
    m_strategies.router->observe(now, outcome);
    m_window.observe(outcome);
    m_services[running.was.row.route].observe(outcome);
    return findings;
}

} // namespace yuccascale::kernel::requests

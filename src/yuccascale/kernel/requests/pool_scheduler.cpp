#include "yuccascale/kernel/requests/pool_scheduler.hpp"

#include "yuccascale/kernel/policy/request_cost.hpp"
#include "yuccascale/kernel/requests/key_check.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccascale::kernel::requests {

namespace {

/// Retry delay advised while a pool has no endpoint that accepts work.
constexpr seconds noEndpointRetryAfter{5};
/// Bounds of the advised retry delay.
constexpr milliseconds minRetryAfter{100};
constexpr seconds maxRetryAfter{30};
/// Retry delay advised while all prefill slots are in use, and the step between two such callers.
constexpr milliseconds prefillRetryAfter{1'200};
constexpr milliseconds prefillRetryStep{150};
/// Concurrent prompts per slot of the prefill engines; further prompts are prefilled at their
/// decoding engine.
constexpr double prefillsPerSlot = 0.25;
/// Smallest share of the prompts at prefill engines that is divided among the entries. Below it an
/// entry's own prompts vary too much for a fixed share, so the prompts of all entries are counted.
constexpr double minDividedShare = 2;
/// Fraction of the retry burst that is divided among the entries; the rest is a reserve for changes
/// in the number of entries.
constexpr double sharedBurstFraction = 0.8;

[[nodiscard]] nanoseconds boundedRetryAfter(nanoseconds time)
{
    return std::clamp<nanoseconds>(time, minRetryAfter, maxRetryAfter);
}

/// \returns how many more fit, when \a taken of the places are in use.
[[nodiscard]] std::size_t roomLeft(double places, std::size_t taken) noexcept
{
    const auto most = static_cast<std::size_t>(std::max(std::lround(places), 0L));
    return most - std::min(most, taken);
}

} // namespace

pool_scheduler::pool_scheduler(pool_strategies strategies, queue_limits limits)
    : m_strategies(std::move(strategies))
    , m_limits(limits)
    , m_retries(limits.retries)
    , m_window(limits.window)
{
    m_endpoints.setDrainNotice(limits.drainNotice);
    m_endpoints.setPaceUsed(m_strategies.router->usesPace());
}

void pool_scheduler::setPosition(instant now, entry_position position)
{
    m_position = position;
    if (position.count > 1)
        m_retries.setBurst(m_limits.retries.burst * sharedBurstFraction / position.count);
    m_endpoints.setPosition(now, position);
}

int pool_scheduler::sendingEntries() const noexcept
{
    return m_limits.assumeOthers ? m_position.count : 1;
}

/// \returns the transfer time of a token's KV cache in seconds; 0 when not known.
double pool_scheduler::kvSecondsPerToken(const state::pool &pool) noexcept
{
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMegabit = 1e6;
    if (pool.kvTokenBytes <= 0 || pool.linkMbps <= 0)
        return 0;
    return static_cast<double>(pool.kvTokenBytes) * bitsPerByte / (pool.linkMbps * bitsPerMegabit);
}

/// Entries do not share their lists of suspects, so each runs its suspects on its own subset of the
/// endpoints. The subsets are chosen by hash, because rows often alternate between availability
/// zones and a subset should not coincide with a zone.
void pool_scheduler::setRows(const state::pool &pool)
{
    m_endpoints.setRows(pool);
    m_measuresWork = m_limits.measureWork && !pool.scaling.empty();
    m_kvSecondsPerToken = kvSecondsPerToken(pool);
    m_suspectEndpointOrder.clear();
    for (const state::endpoint &row : pool.endpoints)
        m_suspectEndpointOrder.push_back(row.name);
    std::ranges::sort(m_suspectEndpointOrder, {}, [](const std::string &name) {
        return std::pair(XXH64(name.data(), name.size(), 0), name);
    });
}

std::optional<refusal> pool_scheduler::push(instant now, std::uint64_t ticket,
                                            const request &callerRequest, double weight,
                                            const enqueue &options)
{
    auto refused = refuseOrQueue(now, ticket, callerRequest, weight, options);
    if (!options.retry)
        m_work.offered(refused.has_value());
    return refused;
}

std::optional<refusal> pool_scheduler::refuseOrQueue(instant now, std::uint64_t ticket,
                                                     const request &callerRequest, double weight,
                                                     const enqueue &options)
{
    const std::optional<nanoseconds> service = m_services[callerRequest.route.name].predict(
            callerRequest.promptTokens, callerRequest.outputTokens);
    const bool endsWithinNotice = service && *service < m_limits.cheapNotice;
    const bool steadyOnly = !callerRequest.route.idempotent && !endsWithinNotice;
    if (!m_endpoints.canServe({steadyOnly, {}, options.softwareVersion})) {
        return refusal{error_kind::Unavailable,
                       "no endpoint of this route accepts work; retry later", false,
                       noEndpointRetryAfter};
    }
    if (m_partSuspects.isBanned(now, callerRequest.parts))
        return bannedRefusal();
    const nanoseconds left = callerRequest.answerBy() - now;
    if (auto refused = refuseLimited(now, steadyOnly, left - service.value_or(nanoseconds::zero())))
        return refused;
    if (options.retry && options.endpointReached) {
        if (auto refused = refuseRetry(now))
            return refused;
    }
    if (!options.retry)
        m_retries.recordFirstAttempt(now);
    queued_request waiting;
    waiting.row = {ticket,
                   callerRequest.organisation,
                   callerRequest.route.name,
                   callerRequest.route.pool,
                   weight,
                   callerRequest.route.priority,
                   policy::requestCost(callerRequest.promptTokens, 0, callerRequest.outputTokens),
                   callerRequest.receivedAt,
                   callerRequest.answerBy(),
                   callerRequest.receivedAt + milliseconds(callerRequest.route.firstTokenMs),
                   service.value_or(nanoseconds::zero())};
    waiting.id = callerRequest.id;
    waiting.fingerprint = callerRequest.fingerprint;
    waiting.work = {callerRequest.promptTokens, callerRequest.outputTokens};
    waiting.parts = callerRequest.parts;
    waiting.steadyOnly = steadyOnly;
    waiting.runsOnce = !callerRequest.route.idempotent;
    waiting.options = options;
    if (!options.retry) {
        m_demand.offered(callerRequest.promptTokens, callerRequest.outputTokens,
                         callerRequest.route.idempotent);
        m_queueMeter.arrived(now, waiting.row);
        if (auto refused = refuseAdmission(now, waiting.row))
            return refused;
    }
    if (options.retry)
        m_unplaced.push_back(ticket);
    else
        m_strategies.queue->push(now, waiting.row);
    if (options.softwareVersion)
        m_versionBound.insert(ticket);
    m_waiting.emplace(ticket, std::move(waiting));
    return std::nullopt;
}

/// \param maxWait after which the request could not be answered in time
std::optional<refusal> pool_scheduler::refuseLimited(instant now, bool steadyOnly,
                                                     nanoseconds maxWait) const
{
    const auto wait = m_endpoints.limitedWait(now, steadyOnly, m_waiting.size());
    if (!wait || *wait <= maxWait)
        return std::nullopt;
    return refusal{error_kind::Overloaded,
                   "all endpoints of this route have limited their requests; retry later", false,
                   boundedRetryAfter(*wait)};
}

std::optional<refusal> pool_scheduler::refuseRetry(instant now)
{
    if (m_retries.tryAcquire(now))
        return std::nullopt;
    return refusal{
            error_kind::Unavailable,
            "the endpoints of this route failed and its retry budget is exhausted; retry later",
            false, boundedRetryAfter(m_retries.timeUntilRetry())};
}

std::optional<refusal> pool_scheduler::refuseAdmission(instant now,
                                                       const policy::waiting_request &row)
{
    if (m_waiting.size() >= m_limits.maxWaiting) {
        return refusal{error_kind::Overloaded,
                       "the queue is full with " + std::to_string(m_waiting.size())
                               + " requests; retry later",
                       false, retryAfter(now)};
    }
    const policy::queue_view view = m_queueMeter.view(now, row, *m_strategies.queue);
    const auto refused = m_strategies.admission->refuse(now, row, view);
    if (!refused)
        return std::nullopt;
    return refusal{error_kind::Overloaded, refused->reason + "; retry later", false,
                   boundedRetryAfter(refused->retryAfter)};
}

nanoseconds pool_scheduler::retryAfter(instant now)
{
    // callers that retry at the same time compete for the same slots, so their delays are spread
    if (prefillRoom(now) == 0) {
        constexpr std::uint64_t spreadSteps = 8;
        return prefillRetryAfter + prefillRetryStep * (m_retrySpreadCounter++ % spreadSteps);
    }
    return boundedRetryAfter(m_queueMeter.view(now, {}, *m_strategies.queue).predictedWait / 2);
}

void pool_scheduler::remove(std::uint64_t ticket)
{
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end())
        return;
    if (!m_strategies.queue->remove(ticket))
        std::erase(m_unplaced, ticket);
    m_versionBound.erase(ticket);
    m_waiting.erase(found);
}

std::vector<std::uint64_t> pool_scheduler::takeLate(instant now)
{
    std::vector<std::uint64_t> tickets;
    for (const policy::waiting_request &late : m_strategies.queue->takeLate(now)) {
        tickets.push_back(late.ticket);
        m_versionBound.erase(late.ticket);
        m_waiting.erase(late.ticket);
    }
    m_work.refusedLater(tickets.size());
    return tickets;
}

/// \returns how many more prompts this entry may have at prefill engines; it may always have one.
std::size_t pool_scheduler::prefillRoom(instant now) const
{
    const double places = prefillsPerSlot * m_endpoints.prefillEngineSlots();
    const double share = places / m_position.count;
    if (share >= minDividedShare)
        return roomLeft(share, m_activePrefills);
    if (m_activePrefills == 0)
        return std::max<std::size_t>(roomLeft(places, m_endpoints.announcedPrefills(now)), 1);
    return roomLeft(places, m_activePrefills + m_endpoints.announcedPrefills(now));
}

std::vector<std::uint64_t> pool_scheduler::takeUnservable()
{
    std::vector<std::uint64_t> tickets;
    const bool anyServes = m_endpoints.canServe({false, {}, {}});
    const bool steadyServes = m_endpoints.canServe({true, {}, {}});
    if (anyServes && steadyServes && m_versionBound.empty())
        return tickets;
    for (const auto &[ticket, waiting] : m_waiting) {
        const auto &version = waiting.options.softwareVersion;
        const bool versionServes
                = !version || m_endpoints.canServe({waiting.steadyOnly, {}, version});
        if (!(waiting.steadyOnly ? steadyServes : anyServes) || !versionServes)
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

std::vector<std::uint64_t> pool_scheduler::takeBanned(instant now)
{
    std::vector<std::uint64_t> tickets;
    for (const auto &[ticket, waiting] : m_waiting) {
        if (m_partSuspects.isBanned(now, waiting.parts))
            tickets.push_back(ticket);
    }
    for (const std::uint64_t ticket : tickets)
        remove(ticket);
    return tickets;
}

/// Every prompt that the endpoint worked on is a suspect, not only the one whose failure was
/// noticed first.
void pool_scheduler::recordCrash(instant now, const running_request &crashed)
{
    part_set parts = sharedParts(crashed.queued.parts);
    for (const auto &[ticket, running] : m_running) {
        if (running.endpoint == crashed.endpoint)
            parts.merge(sharedParts(running.queued.parts));
    }
    if (m_partSuspects.crashed(now, crashed.endpoint, parts, 1))
        m_updates.crashes.push_back(
                {crashed.queued.row.pool, crashed.endpoint, {parts.begin(), parts.end()}});
}

void pool_scheduler::recordAnswered(instant now, const queued_request &answered)
{
    const part_set cleared = m_partSuspects.answered(now, sharedParts(answered.parts));
    if (!cleared.empty())
        m_updates.cleared.push_back({answered.row.pool, {cleared.begin(), cleared.end()}});
}

void pool_scheduler::applyRemoteCrash(instant now, const endpoint_crash &crash)
{
    m_partSuspects.crashed(now, crash.endpoint, {crash.parts.begin(), crash.parts.end()}, 0);
}

void pool_scheduler::applyRemoteCleared(const cleared_parts &cleared)
{
    m_partSuspects.clear({cleared.parts.begin(), cleared.parts.end()});
}

std::optional<nanoseconds> pool_scheduler::longestAnswer(instant now,
                                                         const std::string &route) const
{
    const auto times = m_answerTimes.find(route);
    if (times == m_answerTimes.end())
        return std::nullopt;
    std::optional<nanoseconds> longest = times->second.longest(now);
    for (const auto &[ticket, running] : m_running) {
        if (longest && running.queued.row.route == route)
            longest = std::max(*longest, now - running.sentAt);
    }
    return longest;
}

demand_report pool_scheduler::takeDemand(instant now)
{
    demand_report out = m_demand.takeReport(now);
    for (const auto &[ticket, waiting] : m_waiting) {
        out.prefillBacklogTokens += static_cast<double>(waiting.work.promptTokens);
        out.decodeBacklogTokens += static_cast<double>(waiting.work.outputTokens);
    }
    work_report work = m_work.takeReport(now, m_waiting.size());
    if (m_measuresWork)
        out.work = std::move(work);
    return out;
}

std::vector<endpoint_assignment> pool_scheduler::schedule(instant now)
{
    std::vector<endpoint_assignment> assignments;
    for (std::size_t index = m_unplaced.size(); index > 0 && hasDispatchRoom(now);) {
        --index;
        auto assignment = place(now, m_waiting.at(m_unplaced[index]));
        if (!assignment)
            continue;
        m_unplaced.erase(m_unplaced.begin() + static_cast<std::ptrdiff_t>(index));
        assignments.push_back(std::move(*assignment));
    }
    while (m_strategies.queue->size() > 0 && hasDispatchRoom(now)) {
        const auto next = m_strategies.queue->pop(now);
        if (!next)
            break;
        m_charges.add(next->organisation, next->cost);
        auto assignment = place(now, m_waiting.at(next->ticket));
        if (assignment)
            assignments.push_back(std::move(*assignment));
        else
            m_unplaced.push_back(next->ticket);
    }
    return assignments;
}

/// Work beyond the dispatch window stays in the fair queue, where it can still be reordered.
bool pool_scheduler::hasDispatchRoom(instant now)
{
    std::vector<policy::endpoint_view> views = m_endpoints.views(now, {});
    m_window.markFull(now, views, sendingEntries());
    return std::ranges::any_of(views, &policy::endpoint_view::usable);
}

endpoint_standing pool_scheduler::standing(const endpoint_assignment &assignment,
                                           bool withPrefill) const
{
    const endpoint_standing found
            = m_endpoints.standing({assignment.endpoint, assignment.address, assignment.startedMs});
    if (found != endpoint_standing::Serving || !withPrefill || assignment.prefillEndpoint.empty())
        return found;
    return m_endpoints.standing(
            {assignment.prefillEndpoint, assignment.prefillAddress, assignment.prefillStartedMs});
}

void pool_scheduler::firstPieceArrived(instant now, std::uint64_t ticket)
{
    const auto found = m_running.find(ticket);
    if (found == m_running.end())
        return;
    m_endpoints.firstPieceArrived(now, found->second.endpoint, ticket);
    m_caches.confirm(now, found->second.endpoint, found->second.queued.parts);
}

void pool_scheduler::prefillFinished(instant now, std::uint64_t ticket, prefill_outcome outcome,
                                     nanoseconds prefillTime)
{
    const auto found = m_running.find(ticket);
    if (found == m_running.end() || found->second.prefillEndpoint.empty())
        return;
    running_request &running = found->second;
    const std::string endpoint = std::exchange(running.prefillEndpoint, {});
    m_endpoints.requestEnded(endpoint, ticket);
    m_work.ended(now, 1, running.queued.steadyOnly);
    --m_activePrefills;
    if (outcome == prefill_outcome::Failed) {
        // an engine without an answer within the prefill timeout is treated as crashed
        recordFailure(now, running.queued.row.pool, endpoint, true);
        return;
    }
    static_cast<void>(m_endpoints.succeeded(now, endpoint, running.sentAt));
    if (outcome == prefill_outcome::Refused)
        return;
    running.prefilledElsewhere = true;
    m_work.prefilled(running.queued.work.promptTokens - running.cachedTokens, running.tokensAhead,
                     prefillTime);
    const policy::routing_outcome prefill{endpoint,
                                          running.queued.work.promptTokens,
                                          running.cachedTokens,
                                          0,
                                          prefillTime,
                                          prefillTime,
                                          0,
                                          true,
                                          true,
                                          running.tokensAhead};
    m_strategies.router->observe(now, prefill);
    m_endpoints.observe(now, running.sentAt, prefill);
}

notice_effect pool_scheduler::applyNotice(instant now, const std::string &pool,
                                          const std::string &endpoint,
                                          const endpoint_notice &notice)
{
    const notice_effect effect = m_endpoints.applyNotice(now, endpoint, notice);
    if (effect.leaving)
        m_updates.leaving.push_back({pool, endpoint});
    if (const auto limit = m_endpoints.takeLimitToAnnounce(now, endpoint))
        m_updates.limits.push_back({pool, endpoint, *limit});
    return effect;
}

/// \returns true when this opened the endpoint's circuit breaker.
bool pool_scheduler::recordFailure(instant now, const std::string &pool,
                                   const std::string &endpoint, bool crashed)
{
    m_updates.failures.push_back({pool, endpoint, crashed});
    return m_endpoints.failed(now, endpoint, crashed);
}

void pool_scheduler::measureAnswer(instant now, const running_request &answered,
                                   const token_usage &usage, const attempt_result &result)
{
    const policy::waiting_request &row = answered.queued.row;
    const bool late = answered.sentAt + result.timeToFirstToken > row.firstTokenDeadline;
    std::int64_t moreTokens = 0;
    if (!answered.prefilledElsewhere) {
        moreTokens = answered.cachedTokens - usage.cachedTokens;
        m_work.prefilled(usage.promptTokens - usage.cachedTokens, answered.tokensAhead,
                         result.timeToFirstToken);
    }
    m_work.answered(now, moreTokens, answered.queued.steadyOnly, late);
}

finish_findings pool_scheduler::finish(instant now, std::uint64_t ticket,
                                       const attempt_result &result)
{
    finish_findings findings;
    const auto found = m_running.find(ticket);
    if (found == m_running.end())
        return findings;
    const running_request running = std::move(found->second);
    m_running.erase(found);
    const std::string &endpoint = running.endpoint;
    const std::string &fingerprint = running.queued.fingerprint;
    m_endpoints.requestEnded(endpoint, ticket);
    if (!running.prefillEndpoint.empty()) {
        m_endpoints.requestEnded(running.prefillEndpoint, ticket);
        --m_activePrefills;
    }
    m_work.ended(now, running.prefillEndpoint.empty() ? 1 : 2, running.queued.steadyOnly);
    if (result.rejected)
        m_work.rejected();
    if (result.crashed || result.replaced)
        m_caches.removeEngine(endpoint);
    if (result.crashed) {
        findings.crashingFingerprint = m_suspects.crashed(now, endpoint, running.zone);
        recordCrash(now, running);
    }
    if (result.answered)
        recordAnswered(now, running.queued);
    m_suspects.finished(endpoint, fingerprint, result.answered);
    if (result.answered)
        findings.breakerClosed = m_endpoints.succeeded(now, endpoint, running.sentAt);
    else if (!result.excludedFromHealth)
        findings.breakerOpened
                = recordFailure(now, running.queued.row.pool, endpoint,
                                result.crashed || result.unreachable || result.replaced);
    if (!result.answered)
        return findings;
    m_answerTimes[running.queued.row.route].answered(now, now - running.sentAt);
    // without reported usage, assume that the expected tokens were processed
    token_usage usage = result.usage;
    if (usage.promptTokens == 0) {
        usage = {running.queued.work.promptTokens, running.cachedTokens,
                 running.queued.work.outputTokens};
    }
    const double cost
            = policy::requestCost(usage.promptTokens, usage.cachedTokens, usage.completionTokens);
    m_strategies.queue->charge(running.queued.row.organisation, running.queued.row.weight,
                               cost - running.queued.row.cost);
    measureAnswer(now, running, usage, result);
    if (running.prefilledElsewhere)
        usage.cachedTokens = usage.promptTokens;
    const policy::routing_outcome outcome{endpoint,
                                          usage.promptTokens,
                                          usage.cachedTokens,
                                          usage.completionTokens,
                                          result.timeToFirstToken,
                                          result.totalTime,
                                          running.runningAtDispatch,
                                          true,
                                          false,
                                          running.tokensAhead};
    m_strategies.router->observe(now, outcome);
    m_endpoints.observe(now, running.sentAt, outcome);
    m_window.observe(outcome);
    m_services[running.queued.row.route].observe(outcome);
    return findings;
}

} // namespace yuccascale::kernel::requests

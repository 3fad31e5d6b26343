#include "yuccascale/kernel/requests/endpoint_table.hpp"

#include "yuccascale/kernel/requests/placement.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccascale::kernel::requests {

namespace {

/// Requests per slot that may queue inside an endpoint, while its next load report is in transit.
constexpr double queuedPerSlot = 0.25;
/// How long a failed request counts against its endpoint, at all entries.
constexpr seconds failureRetention{3};
/// Weight of recent failures at which an endpoint is suspected. A crash has this weight, any other
/// failure weight 1.
constexpr int suspicionThreshold = 2;
/// An older report is not used to estimate the requests in an endpoint's batch.
constexpr seconds maxReportAge{3};
/// A prompt of another entry is counted for this many times the predicted time to its first token,
/// because a prediction that is too early must not remove a prompt that still waits, and for this
/// long at least.
constexpr int predictionMargin = 4;
constexpr seconds minRemoteLifetime{4};

/// Other entries do not tell that a prompt failed, so it expires.
[[nodiscard]] nanoseconds remoteLifetime(nanoseconds timeToFirstToken) noexcept
{
    constexpr nanoseconds longest = policy::prefill_queue::maxLifetime;
    if (timeToFirstToken >= longest / predictionMargin)
        return longest;
    return std::max<nanoseconds>(predictionMargin * timeToFirstToken, minRemoteLifetime);
}

} // namespace

int endpoint_table::slotCapacity(const endpoint_state &endpoint) const noexcept
{
    const int slots = slotsOf(endpoint);
    return slots + static_cast<int>(slots * queuedPerSlot);
}

int endpoint_table::capacityOf(const endpoint_state &endpoint) const noexcept
{
    const int room = slotCapacity(endpoint);
    if (m_maxConnections == 0)
        return room;
    return std::min(room, std::max(m_maxConnections / std::max(m_position.count, 1), 1));
}

endpoint_table::endpoint_state *endpoint_table::find(const std::string &endpoint)
{
    const auto found = std::ranges::find(m_rows, endpoint,
                                         [](const endpoint_state &one) { return one.row.name; });
    return found == m_rows.end() ? nullptr : &*found;
}

const endpoint_table::endpoint_state *endpoint_table::find(const std::string &endpoint) const
{
    return const_cast<endpoint_table *>(this)->find(endpoint);
}

void endpoint_table::setRows(const state::pool &pool)
{
    m_maxConnections = pool.maxConnections;
    m_listed = pool.discovered;
    m_plainService = pool.kind == state::backend_kind::Service;
    std::vector<endpoint_state> next;
    next.reserve(pool.endpoints.size());
    for (const state::endpoint &row : pool.endpoints) {
        endpoint_state *known = find(row.name);
        const bool kept = known && known->row.address == row.address
                && known->row.startedMs == row.startedMs;
        next.push_back(kept ? std::move(*known) : endpoint_state{});
        next.back().row = row;
        if (!kept)
            next.back().report.load.role = row.role;
    }
    m_rows = std::move(next);
}

bool endpoint_table::report(const std::string &endpoint, const endpoint_report &report)
{
    endpoint_state *known = find(endpoint);
    if (!known || report.load.measuredAt < known->report.load.measuredAt)
        return false;
    const bool notice = report.load.leaving && !known->report.load.leaving;
    if (report.incarnation != known->report.incarnation) {
        known->rates = {};
        known->untold = {};
    }
    known->report = report;
    known->heardAt = std::max(known->heardAt, report.load.measuredAt);
    known->reportUntold = true;
    recordPace(*known);
    return notice;
}

notice_effect endpoint_table::applyNotice(instant now, const std::string &endpoint,
                                          const endpoint_notice &notice)
{
    notice_effect effect;
    endpoint_state *known = find(endpoint);
    if (!known)
        return effect;
    known->heardAt = std::max(known->heardAt, now);
    known->pausedUntil = std::max(known->pausedUntil, now + notice.pause);
    effect.leaving = notice.leaving && !leaving(*known);
    known->announcedLeaving = known->announcedLeaving || notice.leaving;
    if (notice.requestLimit)
        effect.limitChanged = setLimit(now, *known, *notice.requestLimit);
    return effect;
}

bool endpoint_table::leaving(const endpoint_state &endpoint) noexcept
{
    return endpoint.report.load.leaving || endpoint.listedLeaving || endpoint.announcedLeaving;
}

int endpoint_table::prefillEngineSlots() const noexcept
{
    int slots = 0;
    for (const endpoint_state &one : m_rows) {
        if (one.row.role == state::engine_role::Prefill && acceptsWork(one, false))
            slots += one.row.slots;
    }
    return slots;
}

std::size_t endpoint_table::announcedPrefills(instant now) const
{
    std::ptrdiff_t prompts = 0;
    for (const endpoint_state &one : m_rows) {
        if (one.row.role == state::engine_role::Prefill)
            prompts += std::ranges::count_if(
                    one.remotePrompts, [now](const auto &each) { return each.firstTokenAt > now; });
    }
    return static_cast<std::size_t>(prompts);
}

void endpoint_table::setLeaving(const std::string &endpoint, bool leaving)
{
    if (endpoint_state *known = find(endpoint))
        known->listedLeaving = leaving;
}

void endpoint_table::requestSent(instant now, const std::string &endpoint, std::uint64_t ticket,
                                 const endpoint_work &work)
{
    endpoint_state *known = find(endpoint);
    if (!known)
        return;
    if (known->firstSentAt == instant{})
        known->firstSentAt = now;
    known->running.push_back({ticket, now, work, false});
    queuePrompt(now, *known, work.promptTokens, policy::prefill_queue::maxLifetime, ticket);
    if (known->limit)
        known->limit->sent(now);
}

void endpoint_table::addRemotePrompt(instant now, const std::string &endpoint, std::int64_t tokens,
                                     nanoseconds timeToFirstToken)
{
    endpoint_state *known = find(endpoint);
    if (!known)
        return;
    std::erase_if(known->remotePrompts, [now](const auto &one) { return one.firstTokenAt <= now; });
    known->remotePrompts.push_back({tokens, now, now + timeToFirstToken});
    queuePrompt(now, *known, tokens, remoteLifetime(timeToFirstToken), std::nullopt);
}

endpoint_table::running_request *endpoint_table::findRunning(const std::string &endpoint,
                                                             std::uint64_t ticket)
{
    endpoint_state *known = find(endpoint);
    if (!known)
        return nullptr;
    const auto found = std::ranges::find(known->running, ticket, &running_request::ticket);
    return found == known->running.end() ? nullptr : &*found;
}

void endpoint_table::firstPieceArrived(instant now, const std::string &endpoint,
                                       std::uint64_t ticket)
{
    running_request *running = findRunning(endpoint, ticket);
    if (running == nullptr)
        return;
    running->prefilled = true;
    if (paced() && running->work.promptTokens >= minAnnouncedTokens)
        recordPrefilled(now, *find(endpoint), *running);
}

void endpoint_table::requestEnded(const std::string &endpoint, std::uint64_t ticket)
{
    endpoint_state *known = find(endpoint);
    if (!known)
        return;
    const running_request *running = findRunning(endpoint, ticket);
    if (running != nullptr && !running->prefilled)
        known->queue.remove(ticket);
    std::erase_if(known->running, [&](const auto &one) { return one.ticket == ticket; });
}

int endpoint_table::endpoint_state::sentSinceReport() const noexcept
{
    return static_cast<int>(std::ranges::count_if(running, [&](const running_request &one) {
        return one.sentAt > report.load.measuredAt;
    }));
}

bool endpoint_table::succeeded(instant now, const std::string &endpoint, instant sentAt)
{
    endpoint_state *known = find(endpoint);
    return known && known->breaker.succeeded(now, sentAt);
}

bool endpoint_table::failed(instant now, const std::string &endpoint, bool crashed)
{
    endpoint_state *known = find(endpoint);
    if (!known)
        return false;
    addFailure(now, *known, crashed);
    return known->breaker.failed(now, crashed);
}

bool endpoint_table::applyRemoteFailure(instant now, const std::string &endpoint, bool crashed)
{
    endpoint_state *known = find(endpoint);
    if (!known)
        return false;
    const bool wasSuspected = suspected(now, *known);
    addFailure(now, *known, crashed);
    return !wasSuspected && suspected(now, *known);
}

void endpoint_table::addFailure(instant now, endpoint_state &endpoint, bool crashed)
{
    std::erase_if(endpoint.failures,
                  [now](const auto &one) { return one.at + failureRetention <= now; });
    endpoint.failures.push_back({now, crashed ? suspicionThreshold : 1});
}

bool endpoint_table::suspected(instant now, const endpoint_state &endpoint)
{
    int weight = 0;
    for (const failure_record &one : endpoint.failures)
        weight += one.at + failureRetention > now ? one.weight : 0;
    return endpoint.breaker.open() || weight >= suspicionThreshold;
}

void endpoint_table::avoidSuspected(instant now, std::span<policy::endpoint_view> all) const
{
    const auto healthy = [&](std::size_t index) {
        const bool generates = all[index].row->role != state::engine_role::Prefill;
        return generates && all[index].usable && !suspected(now, m_rows[index]);
    };
    bool any = false;
    for (std::size_t index = 0; index < all.size() && !any; ++index)
        any = healthy(index);
    if (!any)
        return;
    for (std::size_t index = 0; index < all.size(); ++index) {
        if (!all[index].usable || !suspected(now, m_rows[index]))
            continue;
        all[index].usable = false;
        all[index].unusableReason = "suspected";
    }
}

std::optional<nanoseconds> endpoint_table::listAge(instant now) const noexcept
{
    if (!m_listed || !m_listAskedAt)
        return std::nullopt;
    return now - *m_listAskedAt;
}

bool endpoint_table::listTooOld(instant now) const noexcept
{
    if (!m_listed || m_drainNotice == nanoseconds::zero())
        return false;
    return !m_listAskedAt || now - *m_listAskedAt > m_drainNotice;
}

void endpoint_table::avoidUnheard(instant now, std::span<policy::endpoint_view> all) const
{
    if (!listTooOld(now))
        return;
    const auto heard = [&](std::size_t index) {
        const instant heardAt = m_rows[index].heardAt;
        return heardAt != instant{} && now - heardAt <= m_drainNotice;
    };
    bool any = false;
    for (std::size_t index = 0; index < all.size() && !any; ++index) {
        const bool generates = all[index].row->role != state::engine_role::Prefill;
        any = generates && all[index].usable && heard(index);
    }
    for (std::size_t index = 0; any && index < all.size(); ++index) {
        if (!all[index].usable || heard(index))
            continue;
        all[index].usable = false;
        all[index].unusableReason = "not heard from, and the list is old";
    }
}

endpoint_standing endpoint_table::standing(const assigned_endpoint &assigned) const
{
    const endpoint_state *known = find(assigned.name);
    if (!known)
        return endpoint_standing::Gone;
    if (known->row.address != assigned.address || known->row.startedMs != assigned.startedMs)
        return endpoint_standing::Replaced;
    if (known->row.draining)
        return endpoint_standing::Draining;
    return leaving(*known) ? endpoint_standing::Leaving : endpoint_standing::Serving;
}

bool endpoint_table::acceptsWork(const endpoint_state &endpoint, bool steadyOnly)
{
    const bool reclaimable = steadyOnly && endpoint.row.tenure == state::endpoint_tenure::Cheap;
    const bool closed = endpoint.limit && endpoint.limit->ownRate() == 0;
    return !endpoint.row.draining && !leaving(endpoint) && !reclaimable && !closed;
}

bool endpoint_table::hasVersion(const endpoint_state &endpoint,
                                const endpoint_requirements &requirements)
{
    return !requirements.softwareVersion
            || *requirements.softwareVersion == endpoint.row.softwareVersion;
}

bool endpoint_table::canServe(const endpoint_requirements &requirements) const
{
    return std::ranges::any_of(m_rows, [&](const endpoint_state &one) {
        return acceptsWork(one, requirements.steadyOnly) && hasVersion(one, requirements);
    });
}

std::string_view endpoint_table::unavailableReason(instant now,
                                                   const endpoint_state &endpoint) const
{
    if (endpoint.row.draining)
        return "draining";
    if (leaving(endpoint))
        return "leaving";
    if (now < endpoint.pausedUntil)
        return "asked for a pause";
    if (endpoint.limit && !endpoint.limit->allows(now))
        return "over its limit of requests";
    if (!endpoint.breaker.allows(now, endpoint.outstanding()))
        return "sick";
    if (endpoint.outstanding() >= capacityOf(endpoint))
        return "full";
    return reportedFull(now, endpoint) ? "full according to its load report" : std::string_view();
}

bool endpoint_table::reportedFull(instant now, const endpoint_state &endpoint) const
{
    if (paced()) // dispatch_window decides, by the age of the report
        return false;
    const policy::load_report &load = endpoint.report.load;
    const bool recent = load.measuredAt != instant{} && now - load.measuredAt < maxReportAge;
    return recent
            && load.running + load.queued + endpoint.sentSinceReport() >= slotCapacity(endpoint);
}

std::string_view endpoint_table::unusableReason(instant now, const endpoint_state &endpoint,
                                                const endpoint_requirements &requirements) const
{
    if (!hasVersion(endpoint, requirements))
        return "another software version than the stream's";
    const std::string_view reason = unavailableReason(now, endpoint);
    if (!reason.empty())
        return reason;
    const bool reclaimable
            = requirements.steadyOnly && endpoint.row.tenure == state::endpoint_tenure::Cheap;
    return reclaimable ? "cheap" : std::string_view();
}

void endpoint_table::countRunning(const endpoint_state &endpoint, policy::endpoint_view &view)
{
    view.ownOutstandingRequests = endpoint.outstanding();
    for (const running_request &one : endpoint.running) {
        const bool sinceReport = one.sentAt > endpoint.report.load.measuredAt;
        if (sinceReport)
            ++view.sentSinceReport;
        if (!one.prefilled)
            view.ownPrefillTokens += one.work.promptTokens;
        if (!one.prefilled && one.work.promptTokens < minAnnouncedTokens)
            view.ownUnannouncedTokens += one.work.promptTokens;
        if (!one.prefilled && sinceReport)
            view.prefillTokensSinceReport += one.work.promptTokens;
        view.ownDecodeTokens += one.work.outputTokens;
    }
}

/// Assumes that a prompt is prefilled at a constant rate until its first token.
std::int64_t endpoint_table::remotePromptTokens(instant now, const endpoint_state &endpoint)
{
    double tokens = 0;
    for (const remote_prompt &one : endpoint.remotePrompts) {
        if (now >= one.firstTokenAt)
            continue;
        const double remaining = std::chrono::duration<double>(one.firstTokenAt - now)
                / std::chrono::duration<double>(one.firstTokenAt - one.announcedAt);
        tokens += static_cast<double>(one.tokens) * remaining;
    }
    return std::llround(tokens);
}

std::vector<policy::endpoint_view>
endpoint_table::views(instant now, const endpoint_requirements &requirements) const
{
    const auto avoided = [&](const endpoint_state &one) {
        return std::ranges::find(requirements.avoidEndpoints, one.row.name)
                != requirements.avoidEndpoints.end();
    };
    const bool otherAccepts = std::ranges::any_of(m_rows, [&](const endpoint_state &one) {
        return acceptsWork(one, requirements.steadyOnly) && hasVersion(one, requirements)
                && !avoided(one);
    });
    std::vector<policy::endpoint_view> all;
    all.reserve(m_rows.size());
    for (const endpoint_state &one : m_rows) {
        policy::endpoint_view view;
        view.row = &one.row;
        view.unusableReason = unusableReason(now, one, requirements);
        if (view.unusableReason.empty() && otherAccepts && avoided(one))
            view.unusableReason = "failed this request";
        view.usable = view.unusableReason.empty();
        view.report = one.report.load;
        if (one.firstSentAt != instant{})
            view.timeSinceFirstUse = now - one.firstSentAt;
        countRunning(one, view);
        view.remotePrefillTokens = remotePromptTokens(now, one);
        if (paced())
            view.speed = speedOf(now, one);
        all.push_back(view);
    }
    return all;
}

const state::endpoint *endpoint_table::row(const std::string &endpoint) const
{
    const endpoint_state *known = find(endpoint);
    return known ? &known->row : nullptr;
}

std::uint64_t endpoint_table::incarnation(const std::string &endpoint) const
{
    const endpoint_state *known = find(endpoint);
    return known ? known->report.incarnation : 0;
}

} // namespace yuccascale::kernel::requests

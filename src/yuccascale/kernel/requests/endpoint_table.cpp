#include "yuccascale/kernel/requests/endpoint_table.hpp"

#include "yuccascale/kernel/requests/placement.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccascale::kernel::requests {

namespace {

/// Requests that may wait inside an endpoint, per slot, while a report is on its way.
constexpr double slotSlack = 0.25;
/// A failed request counts against its endpoint for so long, at all entries.
constexpr seconds failureLife{3};
/// Failures at which an endpoint is suspected; a crash has this weight alone.
constexpr int weightToSuspect = 2;
/// A report older than this says nothing about the requests in the batch.
constexpr seconds reportLife{3};

[[nodiscard]] int slotRoom(const state::endpoint &row)
{
    return row.slots + static_cast<int>(row.slots * slotSlack);
}

} // namespace

int endpoint_table::roomOf(const entry &entry) const noexcept
{
    const int room = slotRoom(entry.row);
    if (m_maxConnections == 0)
        return room;
    return std::min(room, std::max(m_maxConnections / m_entries, 1));
}

endpoint_table::entry *endpoint_table::find(const std::string &endpoint)
{
    const auto found
            = std::ranges::find(m_rows, endpoint, [](const entry &one) { return one.row.name; });
    return found == m_rows.end() ? nullptr : &*found;
}

const endpoint_table::entry *endpoint_table::find(const std::string &endpoint) const
{
    return const_cast<endpoint_table *>(this)->find(endpoint);
}

void endpoint_table::setRows(const state::pool &pool)
{
    m_maxConnections = pool.maxConnections;
    std::vector<entry> next;
    next.reserve(pool.endpoints.size());
    for (const state::endpoint &row : pool.endpoints) {
        entry *known = find(row.name);
        const bool kept = known && known->row.address == row.address
                && known->row.startedMs == row.startedMs;
        next.push_back(kept ? std::move(*known) : entry{});
        next.back().row = row;
        if (!kept)
            next.back().report.load.role = row.role;
    }
    m_rows = std::move(next);
}

bool endpoint_table::report(const std::string &endpoint, const endpoint_report &report)
{
    entry *known = find(endpoint);
    if (!known || report.load.measuredAt < known->report.load.measuredAt)
        return false;
    const bool notice = report.load.leaving && !known->report.load.leaving;
    known->report = report;
    return notice;
}

int endpoint_table::prefillEngines() const noexcept
{
    return static_cast<int>(std::ranges::count_if(m_rows, [](const entry &one) {
        return one.row.role == state::engine_role::Prefill && takesWork(one, false);
    }));
}

void endpoint_table::setLeaving(const std::string &endpoint, bool leaving)
{
    if (entry *known = find(endpoint))
        known->listedLeaving = leaving;
}

void endpoint_table::sent(instant now, const std::string &endpoint, std::uint64_t ticket,
                          const endpoint_work &work)
{
    entry *known = find(endpoint);
    if (!known)
        return;
    if (known->firstSentAt == instant{})
        known->firstSentAt = now;
    known->running.push_back({ticket, now, work, false});
}

void endpoint_table::sentElsewhere(instant now, const std::string &endpoint, std::int64_t tokens,
                                   nanoseconds ready)
{
    entry *known = find(endpoint);
    if (!known)
        return;
    std::erase_if(known->elsewhere, [now](const auto &one) { return one.until <= now; });
    known->elsewhere.push_back({tokens, now, now + ready});
}

endpoint_table::running_request *endpoint_table::findRunning(const std::string &endpoint,
                                                             std::uint64_t ticket)
{
    entry *known = find(endpoint);
    if (!known)
        return nullptr;
    const auto found = std::ranges::find(known->running, ticket, &running_request::ticket);
    return found == known->running.end() ? nullptr : &*found;
}

void endpoint_table::firstPiece(const std::string &endpoint, std::uint64_t ticket)
{
    if (running_request *running = findRunning(endpoint, ticket))
        running->prefilled = true;
}

void endpoint_table::left(const std::string &endpoint, std::uint64_t ticket)
{
    if (entry *known = find(endpoint))
        std::erase_if(known->running, [&](const auto &one) { return one.ticket == ticket; });
}

int endpoint_table::entry::sentSinceReport() const noexcept
{
    return static_cast<int>(std::ranges::count_if(running, [&](const running_request &one) {
        return one.sentAt > report.load.measuredAt;
    }));
}

bool endpoint_table::succeeded(instant now, const std::string &endpoint, instant sentAt)
{
    entry *known = find(endpoint);
    return known && known->breaker.succeeded(now, sentAt);
}

bool endpoint_table::failed(instant now, const std::string &endpoint, bool crashed)
{
    entry *known = find(endpoint);
    if (!known)
        return false;
    noteFailure(now, *known, crashed);
    return known->breaker.failed(now, crashed);
}

bool endpoint_table::failedElsewhere(instant now, const std::string &endpoint, bool crashed)
{
    entry *known = find(endpoint);
    if (!known)
        return false;
    const bool before = suspected(now, *known);
    noteFailure(now, *known, crashed);
    return !before && suspected(now, *known);
}

void endpoint_table::noteFailure(instant now, entry &entry, bool crashed)
{
    std::erase_if(entry.failures, [now](const auto &one) { return one.at + failureLife <= now; });
    entry.failures.push_back({now, crashed ? weightToSuspect : 1});
}

bool endpoint_table::suspected(instant now, const entry &entry)
{
    int weight = 0;
    for (const seen_failure &one : entry.failures)
        weight += one.at + failureLife > now ? one.weight : 0;
    return entry.breaker.open() || weight >= weightToSuspect;
}

void endpoint_table::avoidSuspected(instant now, std::span<policy::endpoint_view> all) const
{
    const auto sound = [&](std::size_t index) {
        const bool generates = all[index].row->role != state::engine_role::Prefill;
        return generates && all[index].usable && !suspected(now, m_rows[index]);
    };
    bool any = false;
    for (std::size_t index = 0; index < all.size() && !any; ++index)
        any = sound(index);
    if (!any)
        return;
    for (std::size_t index = 0; index < all.size(); ++index) {
        if (!all[index].usable || !suspected(now, m_rows[index]))
            continue;
        all[index].usable = false;
        all[index].unusableBecause = "suspected";
    }
}

bool endpoint_table::takesWork(const entry &entry, bool steadyOnly)
{
    const bool leaving = entry.report.load.leaving || entry.listedLeaving;
    const bool tooCheap = steadyOnly && entry.row.tenure == state::endpoint_tenure::Cheap;
    return !entry.row.draining && !leaving && !tooCheap;
}

bool endpoint_table::serves(bool steadyOnly) const
{
    return std::ranges::any_of(m_rows,
                               [&](const entry &one) { return takesWork(one, steadyOnly); });
}

std::string_view endpoint_table::closedBecause(instant now, const entry &entry) const
{
    if (entry.row.draining)
        return "draining";
    if (entry.report.load.leaving || entry.listedLeaving)
        return "leaving";
    if (!entry.breaker.allows(now, entry.outstanding()))
        return "sick";
    if (entry.outstanding() >= roomOf(entry))
        return "full";
    const policy::load_report &load = entry.report.load;
    const bool recent = load.measuredAt != instant{} && now - load.measuredAt < reportLife;
    if (recent && load.running + load.queued + entry.sentSinceReport() >= slotRoom(entry.row))
        return "full by its report";
    return {};
}

std::string_view endpoint_table::unusableBecause(instant now, const entry &entry,
                                                 bool steadyOnly) const
{
    const std::string_view closed = closedBecause(now, entry);
    if (!closed.empty())
        return closed;
    return takesWork(entry, steadyOnly) ? std::string_view() : "cheap";
}

void endpoint_table::countRunning(const entry &entry, policy::endpoint_view &view)
{
    view.outstandingHere = entry.outstanding();
    for (const running_request &one : entry.running) {
        const bool sinceReport = one.sentAt > entry.report.load.measuredAt;
        if (sinceReport)
            ++view.sentSinceReport;
        if (!one.prefilled)
            view.prefillTokensHere += one.work.promptTokens;
        if (!one.prefilled && one.work.promptTokens < leastToldTokens)
            view.untoldTokensHere += one.work.promptTokens;
        if (!one.prefilled && sinceReport)
            view.prefillTokensSinceReport += one.work.promptTokens;
        view.decodeTokensHere += one.work.outputTokens;
    }
}

/// A prompt is taken to be read evenly until its first token.
std::int64_t endpoint_table::tokensElsewhere(instant now, const entry &entry)
{
    double tokens = 0;
    for (const prompt_elsewhere &one : entry.elsewhere) {
        if (now >= one.until)
            continue;
        const double left = std::chrono::duration<double>(one.until - now)
                / std::chrono::duration<double>(one.until - one.from);
        tokens += static_cast<double>(one.tokens) * left;
    }
    return std::llround(tokens);
}

std::vector<policy::endpoint_view> endpoint_table::views(instant now,
                                                         const endpoint_needs &needs) const
{
    const auto avoided = [&](const entry &one) {
        return std::ranges::find(needs.avoidEndpoints, one.row.name) != needs.avoidEndpoints.end();
    };
    const bool others = std::ranges::any_of(m_rows, [&](const entry &one) {
        return takesWork(one, needs.steadyOnly) && !avoided(one);
    });
    std::vector<policy::endpoint_view> all;
    all.reserve(m_rows.size());
    for (const entry &one : m_rows) {
        policy::endpoint_view view;
        view.row = &one.row;
        view.unusableBecause = unusableBecause(now, one, needs.steadyOnly);
        if (view.unusableBecause.empty() && others && avoided(one))
            view.unusableBecause = "failed this request";
        view.usable = view.unusableBecause.empty();
        view.report = one.report.load;
        if (one.firstSentAt != instant{})
            view.usedFor = now - one.firstSentAt;
        countRunning(one, view);
        view.prefillTokensElsewhere = tokensElsewhere(now, one);
        all.push_back(view);
    }
    return all;
}

const state::endpoint *endpoint_table::row(const std::string &endpoint) const
{
    const entry *known = find(endpoint);
    return known ? &known->row : nullptr;
}

std::uint64_t endpoint_table::incarnation(const std::string &endpoint) const
{
    const entry *known = find(endpoint);
    return known ? known->report.incarnation : 0;
}

} // namespace yuccascale::kernel::requests

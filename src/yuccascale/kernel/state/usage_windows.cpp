#include "yuccascale/kernel/state/usage_windows.hpp"

#include "yuccascale/kernel/json_text.hpp"
#include "yuccascale/kernel/state/answers.hpp"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace yuccascale::kernel::state {

namespace {

constexpr std::int64_t millisecondsPerHour = 3'600'000;

json usageJson(const usage_line &line)
{
    return {{"organisation", line.organisation},
            {"route", line.route},
            {"answers", line.answers},
            {"prompt_tokens", line.promptTokens},
            {"cached_tokens", line.cachedTokens},
            {"output_tokens", line.outputTokens}};
}

json costJson(const cost_group &group, std::int64_t ranMs)
{
    return {{"pool", group.pool},
            {"zone", group.zone},
            {"tenure", group.tenure},
            {"micro_per_hour", group.microPerHour},
            {"endpoint_ms", ranMs}};
}

void add(usage_line &sum, const usage_line &line)
{
    sum.organisation = line.organisation;
    sum.route = line.route;
    sum.windowStartMs = line.windowStartMs;
    sum.answers += line.answers;
    sum.promptTokens += line.promptTokens;
    sum.cachedTokens += line.cachedTokens;
    sum.outputTokens += line.outputTokens;
}

} // namespace

command_result usage_windows::record(const record_usage &batch)
{
    if (auto refusal = validateBatch(batch))
        return *refusal;
    entry_record &entry = m_entries[batch.entry];
    entry.entry = batch.entry;
    if (batch.sequence <= entry.sequence || entry.beyond.contains(batch.sequence))
        return accepted({{"state", "repeated"}});
    for (const usage_line &line : batch.lines)
        addLine(line);
    advanceSequence(entry, batch);
    return accepted({{"state", "counted"}});
}

std::optional<command_result> usage_windows::validateBatch(const record_usage &batch) const
{
    const auto found = m_entries.find(batch.entry);
    if (batch.entry.empty() || batch.sequence == 0) {
        return refused(error_kind::InvalidArgument,
                       "a usage batch needs an entry and a sequence of at least 1; set both");
    }
    if (found == m_entries.end() && m_entries.size() >= m_bounds.entries) {
        return refused(error_kind::Overloaded,
                       "the limit of " + std::to_string(m_bounds.entries)
                               + " entries with counted usage is reached; retire entries that have "
                                 "stopped and send the batch again");
    }
    if (found != m_entries.end() && found->second.beyond.size() >= m_bounds.pendingBatches
        && batch.sequence > found->second.sequence + 1) {
        return refused(error_kind::Conflict,
                       "batch " + std::to_string(found->second.sequence + 1) + " of " + batch.entry
                               + " is missing; send it first");
    }
    return std::nullopt;
}

void usage_windows::addLine(const usage_line &line)
{
    const std::int64_t targetStartMs = windowFor(line.windowStartMs);
    open_window &window = m_openWindows[targetStartMs];
    window.startMs = targetStartMs;
    usage_line stored = line;
    stored.windowStartMs = std::min(line.windowStartMs, targetStartMs);
    add(window.lines[{stored.windowStartMs, line.organisation, line.route}], stored);
}

/// \returns the start of the window that counts lines of the window at \a startMs. Lines of a
///          frozen window go to the next one; at the limit of open windows, the nearest open one
///          takes them.
std::int64_t usage_windows::windowFor(std::int64_t startMs) const
{
    const std::int64_t wanted = std::max(startMs, m_frozenUntilMs);
    if (m_openWindows.contains(wanted) || m_openWindows.size() < m_bounds.openWindows)
        return wanted;
    const auto later = m_openWindows.upper_bound(wanted);
    return later == m_openWindows.begin() ? later->first : std::prev(later)->first;
}

void usage_windows::advanceSequence(entry_record &entry, const record_usage &batch)
{
    entry.beyond[batch.sequence] = batch.markMs;
    for (auto next = entry.beyond.begin();
         next != entry.beyond.end() && next->first == entry.sequence + 1;
         next = entry.beyond.erase(next)) {
        entry.sequence = next->first;
        entry.markMs = std::max(entry.markMs, next->second);
    }
    m_highestWatermarkMs = std::max(m_highestWatermarkMs, entry.markMs);
}

void usage_windows::retire(const std::string &entry)
{
    entry_record &record = m_entries[entry];
    record.entry = entry;
    if (record.retired)
        return;
    record.retired = true;
    m_retiredOldestFirst.push_back(entry);
    dropOldestRetired();
}

/// Keeps the sequences of retired entries up to half of the limit, latest first, so that their late
/// batches are still counted once.
void usage_windows::dropOldestRetired()
{
    while (m_retiredOldestFirst.size() > m_bounds.entries / 2) {
        m_entries.erase(m_retiredOldestFirst.front());
        m_retiredOldestFirst.pop_front();
    }
}

bool usage_windows::retired(const std::string &entry) const
{
    const auto found = m_entries.find(entry);
    return found != m_entries.end() && found->second.retired;
}

void usage_windows::updateEndpoints(const std::map<std::string, pool> &pools, std::int64_t atMs)
{
    m_meter.update(pools, atMs != 0 ? atMs : m_highestWatermarkMs);
}

command_result usage_windows::freeze(const freeze_window &freeze, std::uint64_t index)
{
    const auto found = m_frozenWindows.find(freeze.windowStartMs);
    if (found != m_frozenWindows.end())
        return accepted({{"state", "frozen"}, {"figures", found->second.figures}});
    if (auto refusal = validateFreeze(freeze))
        return *refusal;
    m_highestFence = freeze.fence;
    frozen_window window{freeze.windowStartMs, buildFigures(freeze), index};
    m_frozenUntilMs = freeze.windowStartMs + freeze.lengthMs;
    m_openWindows.erase(m_openWindows.begin(), m_openWindows.lower_bound(m_frozenUntilMs));
    json detail{{"state", "frozen"}, {"figures", window.figures}};
    m_frozenWindows.emplace(freeze.windowStartMs, std::move(window));
    return accepted(std::move(detail));
}

std::optional<command_result> usage_windows::validateFreeze(const freeze_window &freeze) const
{
    if (freeze.lengthMs <= 0)
        return refused(error_kind::InvalidArgument,
                       "a usage window needs a length above 0; set lengthMs");
    if (freeze.fence < m_highestFence) {
        return refused(error_kind::Forbidden,
                       "the reporter has fence " + std::to_string(freeze.fence)
                               + ", but a reporter with the higher fence "
                               + std::to_string(m_highestFence)
                               + " has frozen a window; this reporter must stop");
    }
    if (freeze.windowStartMs < m_frozenUntilMs) {
        return refused(error_kind::Conflict,
                       "the window that starts at " + std::to_string(freeze.windowStartMs)
                               + " is already frozen; the next window to freeze starts at "
                               + std::to_string(m_frozenUntilMs));
    }
    if (m_frozenUntilMs != 0 && freeze.windowStartMs != m_frozenUntilMs) {
        return refused(error_kind::Conflict,
                       "windows must be frozen in order; the next window to freeze starts at "
                               + std::to_string(m_frozenUntilMs));
    }
    if (!m_openWindows.empty() && m_openWindows.begin()->first < freeze.windowStartMs) {
        return refused(error_kind::Conflict,
                       "freeze the window that starts at "
                               + std::to_string(m_openWindows.begin()->first) + " first");
    }
    if (lowestWatermarkMs() < freeze.windowStartMs + freeze.lengthMs) {
        std::string waiting;
        for (const std::string &entry : view().laggingEntries)
            waiting += " " + entry;
        return refused(error_kind::NotReady,
                       "the usage watermarks of these entries have not reached the window's end; "
                       "wait for them, or retire entries that have stopped:"
                               + waiting);
    }
    return std::nullopt;
}

std::string usage_windows::buildFigures(const freeze_window &freeze)
{
    const std::int64_t endMs = freeze.windowStartMs + freeze.lengthMs;
    std::map<line_key, usage_line> current;
    std::map<line_key, usage_line> late;
    for (auto open = m_openWindows.begin(); open != m_openWindows.end() && open->first < endMs;
         ++open) {
        for (const auto &[key, line] : open->second.lines) {
            if (line.windowStartMs >= freeze.windowStartMs)
                add(current[{0, line.organisation, line.route}], line);
            else
                add(late[key], line);
        }
    }
    json usage = json::array();
    for (const auto &[key, line] : current)
        usage.push_back(usageJson(line));
    json lateUsage = json::array();
    for (const auto &[key, line] : late) {
        lateUsage.push_back(usageJson(line));
        lateUsage.back()["window_start_ms"] = line.windowStartMs;
    }
    json endpoints = json::array();
    for (const auto &[group, ranMs] : m_meter.closeWindow(freeze.windowStartMs, endMs)) {
        endpoints.push_back(costJson(group, ranMs));
        m_costRemainder += group.microPerHour * ranMs;
    }
    const std::int64_t cost = m_costRemainder / millisecondsPerHour;
    m_costRemainder %= millisecondsPerHour;
    return toText({{"window_start_ms", freeze.windowStartMs},
                   {"window_length_ms", freeze.lengthMs},
                   {"usage", std::move(usage)},
                   {"late", std::move(lateUsage)},
                   {"endpoints", std::move(endpoints)},
                   {"cost_micro", cost}});
}

command_result usage_windows::settle(const settle_window &settlement)
{
    const auto found = m_frozenWindows.find(settlement.windowStartMs);
    if (found != m_frozenWindows.end()) {
        const std::string &figures = found->second.figures;
        m_reportedWindows.push_back({settlement.windowStartMs,
                                     XXH3_64bits(figures.data(), figures.size()),
                                     settlement.differs});
        m_frozenWindows.erase(found);
        if (m_reportedWindows.size() > m_bounds.reportedWindows)
            m_reportedWindows.pop_front();
        return accepted({{"state", "reported"}});
    }
    if (settlement.windowStartMs < m_frozenUntilMs)
        return accepted({{"state", "reported"}});
    return refused(error_kind::NotFound,
                   "the window that starts at " + std::to_string(settlement.windowStartMs)
                           + " is not frozen; freeze it before reporting it");
}

std::int64_t usage_windows::lowestWatermarkMs() const noexcept
{
    std::int64_t lowest = std::numeric_limits<std::int64_t>::max();
    for (const auto &[name, entry] : m_entries) {
        if (!entry.retired)
            lowest = std::min(lowest, entry.markMs);
    }
    return lowest;
}

std::int64_t usage_windows::nextWindowStart() const noexcept
{
    if (m_frozenUntilMs != 0)
        return m_frozenUntilMs;
    const std::int64_t meteredFromMs = m_meter.earliestMs();
    if (m_openWindows.empty())
        return meteredFromMs;
    return meteredFromMs == 0 ? m_openWindows.begin()->first
                              : std::min(meteredFromMs, m_openWindows.begin()->first);
}

usage_view usage_windows::view() const
{
    usage_view summary;
    summary.nextStartMs = nextWindowStart();
    summary.hasFrozenWindow = m_frozenUntilMs != 0;
    summary.watermarkMs = lowestWatermarkMs();
    for (const auto &[name, entry] : m_entries) {
        if (!entry.retired && entry.markMs == summary.watermarkMs)
            summary.laggingEntries.push_back(name);
    }
    if (!m_frozenWindows.empty())
        summary.unreported = m_frozenWindows.begin()->second;
    summary.unreportedCount = m_frozenWindows.size();
    return summary;
}

std::vector<std::string> usage_windows::liveEntries() const
{
    std::vector<std::string> live;
    for (const auto &[name, entry] : m_entries) {
        if (!entry.retired)
            live.push_back(name);
    }
    return live;
}

void usage_windows::save(snapshot_writer &out) const
{
    out.put(m_frozenUntilMs);
    out.put(m_highestFence);
    out.put(m_highestWatermarkMs);
    out.put(m_costRemainder);
    out.put(m_entries.size());
    for (const auto &[name, entry] : m_entries)
        out.put(entry);
    out.putAll(m_retiredOldestFirst);
    out.put(m_openWindows.size());
    for (const auto &[startMs, window] : m_openWindows) {
        out.put(startMs);
        out.put(window.lines.size());
        for (const auto &[key, line] : window.lines)
            out.put(line);
    }
    out.put(m_frozenWindows.size());
    for (const auto &[startMs, window] : m_frozenWindows)
        out.put(window);
    out.putAll(m_reportedWindows);
    m_meter.save(out);
}

void usage_windows::load(snapshot_reader &in)
{
    m_frozenUntilMs = in.get<std::int64_t>();
    m_highestFence = in.get<std::uint64_t>();
    m_highestWatermarkMs = in.get<std::int64_t>();
    m_costRemainder = in.get<std::int64_t>();
    in.getAll<entry_record>([&](const entry_record &entry) { m_entries[entry.entry] = entry; });
    in.getAll<std::string>(
            [&](std::string entry) { m_retiredOldestFirst.push_back(std::move(entry)); });
    in.getAll<std::int64_t>([&](std::int64_t startMs) {
        open_window &window = m_openWindows[startMs];
        window.startMs = startMs;
        in.getAll<usage_line>([&](const usage_line &line) {
            window.lines[{line.windowStartMs, line.organisation, line.route}] = line;
        });
    });
    in.getAll<frozen_window>(
            [&](const frozen_window &window) { m_frozenWindows[window.windowStartMs] = window; });
    in.getAll<reported_window>(
            [&](const reported_window &window) { m_reportedWindows.push_back(window); });
    m_meter.load(in);
}

} // namespace yuccascale::kernel::state

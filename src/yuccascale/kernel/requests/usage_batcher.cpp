#include "yuccascale/kernel/requests/usage_batcher.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::kernel::requests {

usage_batcher::usage_batcher(std::string entry, milliseconds window, milliseconds maxMarkInterval)
    : m_entry(std::move(entry))
    , m_window(window)
    , m_maxMarkInterval(maxMarkInterval)
{ }

std::int64_t usage_batcher::monotonicMs(wall_time now)
{
    m_latestMs = std::max<std::int64_t>(m_latestMs, now.time_since_epoch().count());
    return m_latestMs;
}

void usage_batcher::add(wall_time now, std::uint64_t ticket, const std::string &organisation,
                        const std::string &route, const token_usage &usage)
{
    const std::int64_t endedMs = monotonicMs(now);
    const std::int64_t windowStart = endedMs - endedMs % m_window.count();
    state::usage_line &line = m_lines[{windowStart, organisation, route}];
    line.organisation = organisation;
    line.route = route;
    line.windowStartMs = windowStart;
    ++line.answers;
    line.promptTokens += static_cast<std::uint64_t>(std::max<std::int64_t>(0, usage.promptTokens));
    line.cachedTokens += static_cast<std::uint64_t>(std::max<std::int64_t>(0, usage.cachedTokens));
    line.outputTokens
            += static_cast<std::uint64_t>(std::max<std::int64_t>(0, usage.completionTokens));
    m_tickets.push_back(ticket);
}

std::optional<state::command> usage_batcher::next(wall_time now)
{
    if (m_pendingBatch)
        return m_pendingBatch;
    const std::int64_t nowMs = monotonicMs(now);
    if (m_lines.empty() && nowMs - m_lastMarkMs < m_maxMarkInterval.count())
        return std::nullopt;
    state::record_usage batch;
    batch.entry = m_entry;
    batch.sequence = ++m_sequence;
    batch.markMs = nowMs;
    m_lastMarkMs = nowMs;
    for (auto &[key, line] : m_lines)
        batch.lines.push_back(std::move(line));
    m_lines.clear();
    m_pendingTickets = std::exchange(m_tickets, {});
    m_pendingBatch = state::command{"usage/" + m_entry + "/" + std::to_string(batch.sequence),
                                    std::move(batch)};
    return m_pendingBatch;
}

std::vector<std::uint64_t> usage_batcher::committed()
{
    m_pendingBatch.reset();
    return std::exchange(m_pendingTickets, {});
}

} // namespace yuccascale::kernel::requests

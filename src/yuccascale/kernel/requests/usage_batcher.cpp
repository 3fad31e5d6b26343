#include "yuccascale/kernel/requests/usage_batcher.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::kernel::requests {

usage_batcher::usage_batcher(std::string entry, milliseconds window, milliseconds longestSilence)
    : m_entry(std::move(entry))
    , m_window(window)
    , m_longestSilence(longestSilence)
{ }

std::int64_t usage_batcher::forwardOnly(wall_time now)
{
    m_latestMs = std::max<std::int64_t>(m_latestMs, now.time_since_epoch().count());
    return m_latestMs;
}

void usage_batcher::add(wall_time now, std::uint64_t ticket, const std::string &organisation,
                        const std::string &route, const token_usage &usage)
{
    const std::int64_t endedMs = forwardOnly(now);
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
    if (m_underWay)
        return m_underWay;
    const std::int64_t nowMs = forwardOnly(now);
    if (m_lines.empty() && nowMs - m_markMs < m_longestSilence.count())
        return std::nullopt;
    state::record_usage batch;
    batch.entry = m_entry;
    batch.sequence = ++m_sequence;
    batch.markMs = nowMs;
    m_markMs = nowMs;
    for (auto &[key, line] : m_lines)
        batch.lines.push_back(std::move(line));
    m_lines.clear();
    m_ticketsUnderWay = std::exchange(m_tickets, {});
    m_underWay = state::command{"usage/" + m_entry + "/" + std::to_string(batch.sequence),
                                std::move(batch)};
    return m_underWay;
}

std::vector<std::uint64_t> usage_batcher::committed()
{
    m_underWay.reset();
    return std::exchange(m_ticketsUnderWay, {});
}

} // namespace yuccascale::kernel::requests

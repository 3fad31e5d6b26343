#include "yuccascale/kernel/state/endpoint_meter.hpp"

#include <algorithm>
#include <cmath>

namespace yuccascale::kernel::state {

namespace {

constexpr double microsPerUnit = 1e6;

std::map<std::string, cost_group> costGroupsByEndpoint(const std::map<std::string, pool> &pools)
{
    std::map<std::string, cost_group> groups;
    for (const auto &[poolName, pool] : pools) {
        for (const endpoint &row : pool.endpoints) {
            groups[row.name] = {poolName, row.zone, row.tenure,
                                std::llround(row.pricePerHour * microsPerUnit)};
        }
    }
    return groups;
}

std::int64_t overlapMs(std::int64_t fromMs, std::int64_t untilMs, std::int64_t startMs,
                       std::int64_t endMs)
{
    return std::max<std::int64_t>(0, std::min(untilMs, endMs) - std::max(fromMs, startMs));
}

} // namespace

void endpoint_meter::update(const std::map<std::string, pool> &pools, std::int64_t atMs)
{
    const std::int64_t effectiveMs = std::max(atMs, m_closedUntilMs);
    auto groups = costGroupsByEndpoint(pools);
    for (auto run = m_running.begin(); run != m_running.end();) {
        const auto current = groups.find(run->first);
        if (current != groups.end() && current->second == run->second.group) {
            groups.erase(current);
            ++run;
            continue;
        }
        endRun(std::move(run->second), effectiveMs);
        run = m_running.erase(run);
    }
    for (auto &[name, group] : groups)
        m_running[name] = {name, std::move(group), effectiveMs, 0};
}

void endpoint_meter::endRun(endpoint_run run, std::int64_t atMs)
{
    run.untilMs = atMs;
    if (run.untilMs > run.fromMs)
        m_ended.push_back(std::move(run));
}

std::map<cost_group, std::int64_t> endpoint_meter::closeWindow(std::int64_t startMs,
                                                               std::int64_t endMs)
{
    std::map<cost_group, std::int64_t> sums;
    for (const auto &[name, run] : m_running)
        sums[run.group] += overlapMs(run.fromMs, endMs, startMs, endMs);
    for (const endpoint_run &run : m_ended)
        sums[run.group] += overlapMs(run.fromMs, run.untilMs, startMs, endMs);
    std::erase_if(sums, [](const auto &sum) { return sum.second == 0; });
    std::erase_if(m_ended, [&](const endpoint_run &run) { return run.untilMs <= endMs; });
    m_closedUntilMs = endMs;
    return sums;
}

std::int64_t endpoint_meter::earliestMs() const noexcept
{
    if (m_closedUntilMs != 0)
        return m_closedUntilMs;
    std::int64_t earliest = 0;
    const auto updateEarliest = [&](const endpoint_run &run) {
        if (run.fromMs != 0 && (earliest == 0 || run.fromMs < earliest))
            earliest = run.fromMs;
    };
    for (const auto &[name, run] : m_running)
        updateEarliest(run);
    for (const endpoint_run &run : m_ended)
        updateEarliest(run);
    return earliest;
}

void endpoint_meter::save(snapshot_writer &out) const
{
    out.put(m_closedUntilMs);
    out.put(m_running.size());
    for (const auto &[name, run] : m_running)
        out.put(run);
    out.putAll(m_ended);
}

void endpoint_meter::load(snapshot_reader &in)
{
    m_closedUntilMs = in.get<std::int64_t>();
    in.getAll<endpoint_run>([&](endpoint_run run) {
        std::string name = run.name;
        m_running.emplace(std::move(name), std::move(run));
    });
    in.getAll<endpoint_run>([&](endpoint_run run) { m_ended.push_back(std::move(run)); });
}

} // namespace yuccascale::kernel::state

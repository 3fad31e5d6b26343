#include "yuccascale/kernel/feed/table_leases.hpp"

#include <algorithm>
#include <functional>

namespace yuccascale::kernel::feed {

nanoseconds leaseWait(nanoseconds freshness, nanoseconds propagation) noexcept
{
    if (propagation == nanoseconds::zero())
        return nanoseconds::zero();
    return std::max(freshness - propagation, nanoseconds::zero());
}

bool table_leases::reported(const node_report &report, instant askedAt)
{
    const auto [found, isNew] = m_holders.try_emplace({report.node, report.incarnation});
    holder &known = found->second;
    const bool higher = isNew || report.revision > known.report.revision;
    if (higher)
        known.report = report;
    known.askedAt = std::max(known.askedAt, askedAt);
    return higher && !isNew;
}

void table_leases::installed(instant now, const state::table_set &tables)
{
    if (m_revisions.empty() || tables.revision > m_revisions.back().revision)
        m_revisions.push_back({tables.revision, tables.documentVersion, now});
    forgetEnded(now);
}

void table_leases::learn(std::uint64_t settled)
{
    m_settled = std::max(m_settled, settled);
}

void table_leases::forgetEnded(instant now)
{
    std::erase_if(m_holders,
                  [&](const auto &known) { return known.second.askedAt + m_longestWait <= now; });
    while (m_revisions.size() > 1 && m_revisions[1].since + m_longestWait <= now)
        m_revisions.pop_front();
}

std::uint64_t table_leases::settled(instant now, std::optional<instant> leadingSince)
{
    forgetEnded(now);
    if (m_revisions.empty())
        return m_settled;
    const in_force &oldest = m_revisions.front();
    if (oldest.since + m_longestWait <= now)
        learn(oldest.revision);
    if (!leadingSince || now < *leadingSince + m_longestWait)
        return m_settled;
    const holder *last = slowest();
    const std::uint64_t own = m_revisions.back().revision;
    learn(last == nullptr ? own : std::min(own, last->report.revision));
    return m_settled;
}

std::optional<std::uint64_t> table_leases::revisionOf(std::uint64_t documentVersion) const
{
    // a lower version follows only on one that the document before it does not name
    const auto comparable
            = std::ranges::is_sorted_until(m_revisions.rbegin(), m_revisions.rend(),
                                           std::ranges::greater(), &in_force::documentVersion)
                      .base();
    const auto found
            = std::ranges::find_if(comparable, m_revisions.end(), [&](const in_force &revision) {
                  return revision.documentVersion >= documentVersion;
              });
    if (found == m_revisions.end())
        return std::nullopt;
    return found->revision;
}

const table_leases::holder *table_leases::slowest() const
{
    const auto last = std::ranges::min_element(
            m_holders, {}, [](const auto &known) { return known.second.report.revision; });
    return last == m_holders.end() ? nullptr : &last->second;
}

std::vector<node_report> table_leases::replaced(instant now, const node_directory &directory) const
{
    std::vector<node_report> out;
    for (const auto &[process, known] : m_holders) {
        const auto current = directory.nodes().find(process.first);
        const bool isCurrent = current != directory.nodes().end()
                && current->second.report.incarnation == process.second;
        if (isCurrent || known.askedAt + m_longestWait <= now)
            continue;
        node_report report = known.report;
        report.ageMs = std::chrono::duration_cast<milliseconds>(now - known.askedAt).count();
        out.push_back(report);
    }
    return out;
}

} // namespace yuccascale::kernel::feed

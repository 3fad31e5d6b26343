#include "yuccascale/kernel/consensus/entry_log.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::kernel::consensus {

namespace {

/// \returns an empty membership when the payload cannot be decoded, so that no replica can be
///          elected by it.
membership decodeMembership(const std::string &payload)
{
    membership members;
    error ignored;
    const auto decode = [&]() -> result<void> {
        BOOST_LEAF_ASSIGN(members, fromCbor<membership>(payload, "membership entry"));
        return {};
    };
    if (!succeeded(decode, ignored))
        return {};
    return members;
}

} // namespace

entry_log::entry_log(const durable_state &recovered)
{
    m_memberships.push_back({});
    if (recovered.snapshot)
        reset(*recovered.snapshot);
    for (const log_entry &entry : recovered.entries)
        append(entry);
    m_unstableFrom = lastIndex() + 1;
}

term_number entry_log::lastTerm() const noexcept
{
    return m_entries.empty() ? m_baseTerm : m_entries.back().term;
}

std::optional<term_number> entry_log::termAt(log_index index) const noexcept
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < m_baseIndex || index > lastIndex())
        return std::nullopt;
    return m_entries[index - m_baseIndex - 1].term;
}

const log_entry &entry_log::at(log_index index) const
{
    return m_entries.at(index - m_baseIndex - 1);
}

std::vector<log_entry> entry_log::slice(log_index from, std::size_t maxEntries,
                                        std::size_t maxBytes) const
{
    std::vector<log_entry> entries;
    std::size_t bytes = 0;
    for (log_index index = from; index <= lastIndex() && entries.size() < maxEntries; ++index) {
        const log_entry &entry = at(index);
        bytes += entry.payload.size();
        if (!entries.empty() && bytes > maxBytes)
            break;
        entries.push_back(entry);
    }
    return entries;
}

void entry_log::append(log_entry entry)
{
    if (entry.kind == entry_kind::Membership)
        m_memberships.push_back({entry.index, decodeMembership(entry.payload)});
    m_entries.push_back(std::move(entry));
}

void entry_log::merge(std::span<const log_entry> entries)
{
    for (const log_entry &entry : entries) {
        if (entry.index <= m_baseIndex || termAt(entry.index) == entry.term)
            continue;
        if (entry.index <= lastIndex())
            truncateAfter(entry.index - 1);
        append(entry);
    }
}

void entry_log::truncateAfter(log_index index)
{
    m_entries.resize(index - m_baseIndex);
    while (m_memberships.size() > 1 && m_memberships.back().index > index)
        m_memberships.pop_back();
    m_unstableFrom = std::min(m_unstableFrom, index + 1);
}

void entry_log::compact(snapshot_data snapshot, log_index keepFrom)
{
    if (m_snapshot && snapshot.index <= m_snapshot->index)
        return;
    const log_index base = std::min(keepFrom, snapshot.index + 1) - 1;
    m_snapshot = std::move(snapshot);
    if (base <= m_baseIndex)
        return;
    m_baseTerm = termAt(base).value_or(m_baseTerm);
    m_entries.erase(m_entries.begin(),
                    m_entries.begin() + static_cast<std::ptrdiff_t>(base - m_baseIndex));
    m_baseIndex = base;
    while (m_memberships.size() > 1 && m_memberships[1].index <= base)
        m_memberships.pop_front();
}

void entry_log::reset(snapshot_data snapshot)
{
    m_entries.clear();
    m_baseIndex = snapshot.index;
    m_baseTerm = snapshot.term;
    m_memberships.clear();
    m_memberships.push_back({snapshot.index, snapshot.members});
    m_unstableFrom = snapshot.index + 1;
    m_snapshot = std::move(snapshot);
}

const membership &entry_log::membersAt(log_index index) const noexcept
{
    const indexed_membership *inForce = &m_memberships.front();
    for (const indexed_membership &candidate : m_memberships) {
        if (candidate.index <= index)
            inForce = &candidate;
    }
    return inForce->value;
}

std::vector<log_entry> entry_log::takeUnstable()
{
    std::vector<log_entry> entries;
    for (log_index index = m_unstableFrom; index <= lastIndex(); ++index)
        entries.push_back(at(index));
    m_unstableFrom = lastIndex() + 1;
    return entries;
}

} // namespace yuccascale::kernel::consensus

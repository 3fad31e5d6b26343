#include "yuccascale/kernel/feed/table_history.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace yuccascale::kernel::feed {

namespace {

template<typename Row>
void compareTables(const std::map<std::string, Row> &from, const std::map<std::string, Row> &to,
                   std::vector<Row> &put, std::vector<std::string> &removed)
{
    for (const auto &[name, row] : to) {
        const auto old = from.find(name);
        if (old == from.end() || !(old->second == row))
            put.push_back(row);
    }
    for (const auto &[name, row] : from) {
        if (!to.contains(name))
            removed.push_back(name);
    }
}

template<typename Row, typename NameOf>
void applyTable(std::map<std::string, Row> &table, const std::vector<Row> &put,
                const std::vector<std::string> &removed, NameOf nameOf)
{
    for (const std::string &name : removed)
        table.erase(name);
    for (const Row &row : put)
        table[nameOf(row)] = row;
}

const std::string &rowName(const auto &row)
{
    return row.name;
}

std::size_t rowCount(const state::edit_tables &edit)
{
    return edit.putRoutes.size() + edit.removeRoutes.size() + edit.putPools.size()
            + edit.removePools.size() + edit.putOrganisations.size()
            + edit.removeOrganisations.size() + edit.putKeys.size() + edit.removeKeys.size();
}

} // namespace

state::edit_tables difference(const state::table_set &from, const state::table_set &to)
{
    state::edit_tables edit;
    edit.fromRevision = from.revision;
    compareTables(from.routes, to.routes, edit.putRoutes, edit.removeRoutes);
    compareTables(from.pools, to.pools, edit.putPools, edit.removePools);
    compareTables(from.organisations, to.organisations, edit.putOrganisations,
                  edit.removeOrganisations);
    compareTables(from.keys, to.keys, edit.putKeys, edit.removeKeys);
    if (from.limits != to.limits)
        edit.putLimits = to.limits;
    edit.removeLimits = !from.limits.empty() && to.limits.empty();
    edit.documentVersion = to.documentVersion;
    return edit;
}

void applyRows(state::table_set &tables, const state::edit_tables &edit, std::uint64_t revision)
{
    applyTable(tables.routes, edit.putRoutes, edit.removeRoutes, rowName<state::route>);
    applyTable(tables.pools, edit.putPools, edit.removePools, rowName<state::pool>);
    applyTable(tables.organisations, edit.putOrganisations, edit.removeOrganisations,
               rowName<state::organisation>);
    applyTable(tables.keys, edit.putKeys, edit.removeKeys,
               [](const state::key_record &key) { return key.id; });
    if (!edit.putLimits.empty() || edit.removeLimits)
        tables.limits = edit.putLimits;
    if (edit.documentVersion != 0) // a lower one replaces one that its document does not name
        tables.documentVersion = edit.documentVersion;
    tables.revision = revision;
}

bool table_history::advance(const table_pointer &tables)
{
    if (!tables || (m_newest && tables->revision <= m_newest->revision))
        return false;
    if (m_newest) {
        state::edit_tables edit = difference(*m_newest, *tables);
        const std::size_t rows = rowCount(edit);
        m_rows += rows;
        m_steps.push_back(
                {m_newest->revision, tables->revision, makeEncoded(std::move(edit)), rows});
        removeOldSteps();
    }
    m_newest = tables;
    m_encodedNewest = std::make_shared<const encoded_value<state::table_set>>(tables);
    return true;
}

/// Each step holds its rows twice, encoded too, so large edits are kept for fewer revisions.
void table_history::removeOldSteps()
{
    while (m_steps.size() > m_maxSteps || (m_steps.size() > 1 && m_rows > m_maxRows)) {
        m_rows -= m_steps.front().rows;
        m_steps.pop_front();
    }
}

std::optional<std::vector<encoded_pointer<state::edit_tables>>>
table_history::editsSince(std::uint64_t revision) const
{
    std::vector<encoded_pointer<state::edit_tables>> edits;
    if (m_newest && m_newest->revision == revision)
        return edits;
    const auto first = std::ranges::find(m_steps, revision, &revision_step::fromRevision);
    if (first == m_steps.end())
        return std::nullopt;
    for (auto next = first; next != m_steps.end(); ++next)
        edits.push_back(next->edit);
    return edits;
}

} // namespace yuccascale::kernel::feed

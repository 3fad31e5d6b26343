#include "yuccascale/kernel/state/table_store.hpp"

#include "yuccascale/kernel/state/answers.hpp"
#include "yuccascale/kernel/state/table_rules.hpp"

#include <algorithm>

namespace yuccascale::kernel::state {

namespace {

template<typename Row>
void putRows(std::map<std::string, Row> &table, const std::vector<Row> &rows)
{
    for (const Row &row : rows)
        table[row.name] = row;
}

template<typename Table>
void removeRows(Table &table, const std::vector<std::string> &names)
{
    for (const std::string &name : names)
        table.erase(name);
}

bool drainsEndpoint(order_kind kind)
{
    return kind == order_kind::LoadModel || kind == order_kind::ChangeRole
            || kind == order_kind::Drain || kind == order_kind::StopEndpoint;
}

endpoint *findEndpointIn(std::map<std::string, pool> &pools, const std::string &name)
{
    for (auto &[poolName, row] : pools) {
        const auto found = std::ranges::find(row.endpoints, name, &endpoint::name);
        if (found != row.endpoints.end())
            return &*found;
    }
    return nullptr;
}

void drainForOrder(endpoint &row, std::uint64_t orderId)
{
    if (row.draining && row.drainingForOrder == 0)
        return;
    row.draining = true;
    row.drainingForOrder = orderId;
}

void clearOrderDrain(endpoint &row)
{
    if (row.drainingForOrder == 0)
        return;
    row.draining = false;
    row.drainingForOrder = 0;
}

/// Sets draining by the open orders, since the operator's copy of a row may be older than the
/// opening or settlement of an order.
void refreshDraining(pool &row, const order_ledger &orders)
{
    for (endpoint &listed : row.endpoints) {
        const order_record *open = orders.openOrderFor(listed.name);
        if (open == nullptr || !drainsEndpoint(open->kind))
            clearOrderDrain(listed);
        else
            drainForOrder(listed, open->id);
    }
}

void removeEndpoint(std::map<std::string, pool> &pools, const std::string &name)
{
    for (auto &[poolName, row] : pools)
        std::erase_if(row.endpoints, [&](const endpoint &listed) { return listed.name == name; });
}

command_result conflict(std::uint64_t revision)
{
    command_result answer = refused(error_kind::Conflict,
                                    "the tables are at revision " + std::to_string(revision)
                                            + "; read them and edit again");
    answer.revision = revision;
    return answer;
}

} // namespace

command_result table_store::edit(const edit_tables &edit, const order_ledger &orders)
{
    if (edit.fromRevision < m_tables->editableFrom || edit.fromRevision > m_tables->revision)
        return conflict(m_tables->revision);
    std::optional<std::string> problem = problemInEdit(edit);
    if (!problem)
        problem = problemInRemovals(*m_tables, edit);
    auto next = std::make_shared<table_set>(*m_tables);
    if (!problem) {
        putRows(next->routes, edit.putRoutes);
        putRows(next->pools, edit.putPools);
        putRows(next->organisations, edit.putOrganisations);
        for (const key_record &key : edit.putKeys)
            next->keys[key.id] = key;
        removeRows(next->routes, edit.removeRoutes);
        removeRows(next->pools, edit.removePools);
        removeRows(next->organisations, edit.removeOrganisations);
        removeRows(next->keys, edit.removeKeys);
        for (const pool &row : edit.putPools)
            refreshDraining(next->pools[row.name], orders);
        problem = problemInReferences(*next);
    }
    if (problem)
        return refusedEdit(std::move(*problem));
    publish(std::move(next), earlier_edits::Conflict);
    command_result answer = accepted();
    answer.revision = m_tables->revision;
    return answer;
}

command_result table_store::refusedEdit(std::string problem) const
{
    command_result answer = refused(error_kind::InvalidArgument, std::move(problem));
    answer.revision = m_tables->revision;
    return answer;
}

bool table_store::isReplacedBy(const put_document &document) const
{
    const std::vector<std::uint64_t> &revisions = document.replacesRevision;
    return document.version > m_tables->documentVersion
            || std::ranges::find(revisions, m_tables->revision) != revisions.end();
}

command_result table_store::putDocument(const put_document &document, const order_ledger &orders)
{
    const edit_tables &rows = document.tables;
    std::optional<std::string> problem = problemInEdit(rows);
    auto next = std::make_shared<table_set>();
    putRows(next->routes, rows.putRoutes);
    putRows(next->pools, rows.putPools);
    putRows(next->organisations, rows.putOrganisations);
    for (const key_record &key : rows.putKeys)
        next->keys[key.id] = key;
    next->limits = rows.putLimits;
    next->documentVersion = document.version;
    next->revision = m_tables->revision;
    for (auto &[name, row] : next->pools)
        refreshDraining(row, orders);
    if (!problem)
        problem = problemInReferences(*next);
    if (problem)
        return refusedEdit(std::move(*problem));
    const bool newer = isReplacedBy(document);
    if (newer) {
        m_document = std::make_shared<std::string>(document.bytes);
        publish(std::move(next), earlier_edits::Conflict);
    }
    command_result answer = accepted({{"changed", newer}});
    answer.revision = m_tables->revision;
    return answer;
}

command_result table_store::markLeaving(const mark_leaving &notice)
{
    auto next = std::make_shared<table_set>(*m_tables);
    bool changed = false;
    for (const std::string &name : notice.endpoints) {
        endpoint *row = findEndpointIn(next->pools, name);
        if (row == nullptr || (row->draining && row->drainingForOrder == 0))
            continue;
        row->draining = true;
        row->drainingForOrder = 0;
        changed = true;
    }
    if (changed)
        publish(std::move(next), earlier_edits::Conflict);
    command_result answer = accepted({{"changed", changed}});
    answer.revision = m_tables->revision;
    return answer;
}

void table_store::orderOpened(const order_record &order)
{
    if (!drainsEndpoint(order.kind))
        return;
    auto next = std::make_shared<table_set>(*m_tables);
    endpoint *row = findEndpointIn(next->pools, order.target);
    if (row == nullptr)
        return;
    drainForOrder(*row, order.id);
    publish(std::move(next), earlier_edits::StayValid);
}

void table_store::orderSettled(const order_record &order, const settle_order &settlement)
{
    const bool done = order.end == order_outcome::Done;
    auto next = std::make_shared<table_set>(*m_tables);
    if (order.kind == order_kind::StopEndpoint && done) {
        removeEndpoint(next->pools, order.target);
        publish(std::move(next), earlier_edits::Conflict);
        return;
    }
    if (order.kind == order_kind::StartEndpoint) {
        const auto pool = next->pools.find(order.pool);
        if (!done || pool == next->pools.end() || settlement.started.empty())
            return;
        for (const endpoint &row : settlement.started) {
            if (findEndpointIn(next->pools, row.name) == nullptr)
                pool->second.endpoints.push_back(row);
        }
        publish(std::move(next), earlier_edits::Conflict);
        return;
    }
    endpoint *row = findEndpointIn(next->pools, order.target);
    if (row != nullptr && order.kind == order_kind::Resume && done) {
        row->draining = false;
        publish(std::move(next), earlier_edits::Conflict);
        return;
    }
    if (row == nullptr || row->drainingForOrder != order.id)
        return;
    const bool remainsDraining = order.kind == order_kind::Drain && done;
    if (remainsDraining)
        row->drainingForOrder = 0;
    else
        clearOrderDrain(*row);
    publish(std::move(next), earlier_edits::StayValid);
}

const endpoint *table_store::findEndpoint(const std::string &name) const noexcept
{
    for (const auto &[poolName, row] : m_tables->pools) {
        const auto found = std::ranges::find(row.endpoints, name, &endpoint::name);
        if (found != row.endpoints.end())
            return &*found;
    }
    return nullptr;
}

void table_store::publish(std::shared_ptr<table_set> next, earlier_edits earlier)
{
    ++next->revision;
    if (earlier == earlier_edits::Conflict)
        next->editableFrom = next->revision;
    m_tables = std::move(next);
}

void table_store::save(snapshot_writer &out) const
{
    out.put(*m_tables);
    out.put(*m_document);
}

void table_store::load(snapshot_reader &in)
{
    m_tables = std::make_shared<table_set>(in.get<table_set>());
    m_document = std::make_shared<std::string>(in.get<std::string>());
}

} // namespace yuccascale::kernel::state

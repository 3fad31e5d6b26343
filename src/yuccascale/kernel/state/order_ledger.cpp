#include "yuccascale/kernel/state/order_ledger.hpp"

#include "yuccascale/kernel/state/answers.hpp"

#include <algorithm>

namespace yuccascale::kernel::state {

namespace {

command_result acceptedOrder(const order_record &order)
{
    command_result answer = accepted({{"orderId", order.id}});
    answer.index = order.id;
    return answer;
}

bool startsNewEndpoint(order_kind kind)
{
    return kind == order_kind::StartEndpoint;
}

} // namespace

command_result order_ledger::open(const std::string &operationId, const open_order &order,
                                  std::uint64_t index, const endpoint *row)
{
    if (auto earlier = earlierAnswer(operationId))
        return *earlier;
    if (auto refusal = validateOpen(order, row))
        return *refusal;
    order_record record;
    record.id = index;
    record.operationId = operationId;
    record.target = order.target;
    record.kind = order.kind;
    record.argument = order.argument;
    record.fence = order.fence;
    record.reason = order.reason;
    record.pool = order.pool;
    if (row != nullptr) {
        record.address = row->address;
        record.fencesOrders = row->fencesOrders;
    }
    m_highestFence = std::max(m_highestFence, order.fence);
    m_openByTarget[order.target] = index;
    if (!operationId.empty())
        m_byOperation[operationId] = index;
    return acceptedOrder(m_orders.emplace(index, std::move(record)).first->second);
}

std::optional<command_result> order_ledger::earlierAnswer(const std::string &operationId) const
{
    const auto found = m_byOperation.find(operationId);
    if (found == m_byOperation.end())
        return std::nullopt;
    return acceptedOrder(m_orders.at(found->second));
}

std::optional<command_result> order_ledger::validateOpen(const open_order &order,
                                                         const endpoint *row) const
{
    if (order.fence < m_highestFence) {
        return refused(error_kind::Forbidden,
                       "the order has fence " + std::to_string(order.fence)
                               + ", but an order with the higher fence "
                               + std::to_string(m_highestFence)
                               + " is recorded, so this node is no longer the leader; it must stop "
                                 "giving orders");
    }
    if (order.target.empty())
        return refused(error_kind::InvalidArgument, "an order needs a target; name the endpoint");
    if (row == nullptr && !startsNewEndpoint(order.kind)) {
        return refused(error_kind::NotFound,
                       "endpoint " + order.target + " is in no pool; add it to one first");
    }
    const order_record *open = openOrderFor(order.target);
    if (open == nullptr)
        return std::nullopt;
    return refused(error_kind::Conflict,
                   "order " + std::to_string(open->id) + " is still open for " + order.target
                           + "; wait until it is settled",
                   {{"orderId", open->id}});
}

command_result order_ledger::settle(const settle_order &settlement, std::uint64_t index)
{
    const auto found = m_orders.find(settlement.orderId);
    if (found == m_orders.end()) {
        return refused(error_kind::NotFound,
                       "order " + std::to_string(settlement.orderId)
                               + " does not exist or is no longer kept; nothing to settle");
    }
    order_record &order = found->second;
    if (order.settled) {
        if (order.end == settlement.end)
            return accepted({{"orderId", order.id}, {"state", "repeated"}});
        return refused(error_kind::Conflict,
                       "the order was already settled with a different outcome; the first outcome "
                       "is kept");
    }
    order.settled = true;
    order.end = settlement.end;
    order.detail = settlement.detail;
    order.settledIndex = index;
    order.settledWallMs = settlement.wallMs;
    m_openByTarget.erase(order.target);
    m_settledOldestFirst.push_back(order.id);
    dropSettled();
    return accepted({{"orderId", settlement.orderId}, {"state", "settled"}});
}

void order_ledger::dropSettled()
{
    while (m_settledOldestFirst.size() > m_bounds.settledOrders) {
        const auto oldest = m_orders.find(m_settledOldestFirst.front());
        m_byOperation.erase(oldest->second.operationId);
        m_orders.erase(oldest);
        m_settledOldestFirst.pop_front();
    }
}

const order_record *order_ledger::find(std::uint64_t orderId) const
{
    const auto found = m_orders.find(orderId);
    return found == m_orders.end() ? nullptr : &found->second;
}

const order_record *order_ledger::openOrderFor(const std::string &target) const
{
    const auto found = m_openByTarget.find(target);
    return found == m_openByTarget.end() ? nullptr : find(found->second);
}

std::vector<order_record> order_ledger::openOrders() const
{
    std::vector<order_record> open;
    for (const auto &[target, id] : m_openByTarget)
        open.push_back(m_orders.at(id));
    std::ranges::sort(open, {}, &order_record::id);
    return open;
}

void order_ledger::save(snapshot_writer &out) const
{
    out.put(m_highestFence);
    out.putAll(m_settledOldestFirst);
    out.put(m_orders.size());
    for (const auto &[id, order] : m_orders)
        out.put(order);
}

void order_ledger::load(snapshot_reader &in)
{
    m_highestFence = in.get<std::uint64_t>();
    in.getAll<std::uint64_t>([&](std::uint64_t id) { m_settledOldestFirst.push_back(id); });
    in.getAll<order_record>([&](order_record order) {
        if (!order.operationId.empty())
            m_byOperation[order.operationId] = order.id;
        if (!order.settled)
            m_openByTarget[order.target] = order.id;
        const std::uint64_t id = order.id;
        m_orders.emplace(id, std::move(order));
    });
}

} // namespace yuccascale::kernel::state

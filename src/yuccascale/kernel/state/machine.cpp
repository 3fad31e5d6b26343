#include "yuccascale/kernel/state/machine.hpp"

#include "yuccascale/kernel/state/answers.hpp"
#include "yuccascale/kernel/state/bans.hpp"
#include "yuccascale/kernel/state/claims.hpp"
#include "yuccascale/kernel/state/operation_answers.hpp"
#include "yuccascale/kernel/state/table_store.hpp"

#include <algorithm>
#include <limits>

namespace yuccascale::kernel::state {

namespace {

constexpr std::uint64_t banCheckInterval = 64; ///< log entries between checks for ended bans

} // namespace

struct machine::parts
{
    explicit parts(const limits &bounds)
        : operations(bounds)
        , claimed(bounds)
        , usage(bounds)
        , orders(bounds)
        , banned(bounds)
    { }

    std::uint64_t appliedIndex = 0;
    table_store store;
    operation_answers operations;
    claims claimed;
    usage_windows usage;
    order_ledger orders;
    bans banned;
    std::int64_t fetchesHeldUntilMs = 0;

    [[nodiscard]] command_result apply(const std::string &operationId, const edit_tables &edit)
    {
        if (auto first = operations.find(operationId, edit))
            return *first;
        command_result answer = store.edit(edit, orders);
        answer.index = appliedIndex;
        if (answer.accepted && (!edit.putPools.empty() || !edit.removePools.empty()))
            usage.endpointsChanged(store.tables()->pools, edit.wallMs);
        if (!operationId.empty())
            operations.remember(operationId, edit, answer);
        return answer;
    }

    [[nodiscard]] command_result apply(const std::string &, const put_document &document)
    {
        command_result answer = store.putDocument(document, orders);
        if (answer.accepted)
            usage.endpointsChanged(store.tables()->pools, document.wallMs);
        return answer;
    }

    [[nodiscard]] command_result apply(const std::string &operationId, const claim_request &request)
    {
        if (usage.retired(request.entry)) {
            return refused(error_kind::Unavailable,
                           "entry " + request.entry
                                   + " was silent for too long and must be restarted; use another",
                           {{"state", "refused"}});
        }
        return claimed.claim(operationId, request);
    }

    [[nodiscard]] command_result apply(const std::string &, const settle_claim &settlement)
    {
        return claimed.settle(settlement);
    }

    [[nodiscard]] command_result apply(const std::string &, const record_usage &batch)
    {
        return usage.record(batch);
    }

    [[nodiscard]] command_result apply(const std::string &, const freeze_window &freeze)
    {
        return usage.freeze(freeze, appliedIndex);
    }

    [[nodiscard]] command_result apply(const std::string &, const settle_window &settlement)
    {
        return usage.settle(settlement);
    }

    [[nodiscard]] command_result apply(const std::string &operationId, const open_order &order)
    {
        const endpoint *row = store.findEndpoint(order.target);
        command_result answer = orders.open(operationId, order, appliedIndex, row);
        if (answer.accepted && answer.index == appliedIndex)
            store.orderOpened(*orders.find(appliedIndex));
        return answer;
    }

    [[nodiscard]] command_result apply(const std::string &, const settle_order &settlement)
    {
        command_result answer = orders.settle(settlement, appliedIndex);
        const order_record *order = orders.find(settlement.orderId);
        if (!answer.accepted || order == nullptr || order->settledIndex != appliedIndex)
            return answer;
        store.orderSettled(*order, settlement);
        usage.endpointsChanged(store.tables()->pools, settlement.wallMs);
        return answer;
    }

    [[nodiscard]] command_result apply(const std::string &, const ban_fingerprint &ban)
    {
        return banned.ban(ban);
    }

    [[nodiscard]] command_result apply(const std::string &, const retire_entry &retirement)
    {
        usage.retire(retirement.entry);
        return accepted({{"unknownClaims", claimed.retire(retirement.entry)}});
    }

    [[nodiscard]] command_result apply(const std::string &, const hold_fetches &hold)
    {
        fetchesHeldUntilMs = std::max(fetchesHeldUntilMs, hold.untilWallMs);
        return accepted();
    }

    [[nodiscard]] command_result apply(const std::string &, const mark_leaving &notice)
    {
        return store.markLeaving(notice);
    }

    void expireBans()
    {
        const std::int64_t marks = usage.lowestMark();
        if (appliedIndex % banCheckInterval == 0
            && marks != std::numeric_limits<std::int64_t>::max())
            banned.expire(marks);
    }
};

machine::machine(const limits &bounds)
    : m_bounds(bounds)
    , m_parts(std::make_unique<parts>(m_bounds))
{ }
machine::~machine() = default;

std::shared_ptr<const table_set> machine::tables() const noexcept
{
    return m_parts->store.tables();
}

std::shared_ptr<const std::string> machine::document() const noexcept
{
    return m_parts->store.document();
}

std::shared_ptr<const std::set<std::string>> machine::bannedFingerprints() const noexcept
{
    return m_parts->banned.fingerprints();
}

std::uint64_t machine::bansVersion() const noexcept
{
    return m_parts->banned.version();
}

std::uint64_t machine::appliedIndex() const noexcept
{
    return m_parts->appliedIndex;
}

leader_view machine::leaderView() const
{
    leader_view seen;
    seen.appliedIndex = m_parts->appliedIndex;
    seen.tables = m_parts->store.tables();
    seen.openOrders = m_parts->orders.openOrders();
    seen.highestFence = m_parts->orders.highestFence();
    seen.usage = m_parts->usage.view();
    seen.liveEntries = m_parts->usage.liveEntries();
    seen.fetchesHeldUntilMs = m_parts->fetchesHeldUntilMs;
    return seen;
}

std::optional<order_record> machine::order(std::uint64_t orderId) const
{
    const order_record *found = m_parts->orders.find(orderId);
    if (found == nullptr)
        return std::nullopt;
    return *found;
}

command_result machine::apply(std::uint64_t index, const command &command)
{
    m_parts->appliedIndex = index;
    m_parts->expireBans();
    command_result answer = std::visit(
            [&](const auto &body) { return m_parts->apply(command.operationId, body); },
            command.body);
    if (answer.index == 0)
        answer.index = index;
    if (answer.revision == 0)
        answer.revision = m_parts->store.tables()->revision;
    return answer;
}

std::string machine::snapshot() const
{
    snapshot_writer out;
    out.put(m_parts->appliedIndex);
    m_parts->store.save(out);
    m_parts->operations.save(out);
    m_parts->claimed.save(out);
    m_parts->usage.save(out);
    m_parts->orders.save(out);
    m_parts->banned.save(out);
    out.put(m_parts->fetchesHeldUntilMs);
    return out.take();
}

result<void> machine::restore(std::string_view bytes)
{
    try {
        auto next = std::make_unique<parts>(m_bounds);
        snapshot_reader in(bytes);
        next->appliedIndex = in.get<std::uint64_t>();
        next->store.load(in);
        next->operations.load(in);
        next->claimed.load(in);
        next->usage.load(in);
        next->orders.load(in);
        next->banned.load(in);
        next->fetchesHeldUntilMs = in.get<std::int64_t>();
        if (!in.atEnd())
            return fail(error_kind::Corrupt, "snapshot", "bytes follow it; restore from a replica");
        m_parts = std::move(next);
    } catch (const json::exception &problem) {
        return fail(error_kind::Corrupt, "snapshot",
                    std::string(problem.what()) + "; restore from another replica");
    }
    return {};
}

} // namespace yuccascale::kernel::state

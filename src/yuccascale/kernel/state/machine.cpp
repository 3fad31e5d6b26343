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

/// log entries between checks for expired bans
constexpr std::uint64_t banCheckIntervalEntries = 64;

} // namespace

struct machine::components
{
    explicit components(const limits &bounds)
        : editAnswers(bounds)
        , requestClaims(bounds)
        , usage(bounds)
        , orders(bounds)
        , activeBans(bounds)
    { }

    std::uint64_t appliedIndex = 0;
    table_store store;
    operation_answers editAnswers;
    claims requestClaims;
    usage_windows usage;
    order_ledger orders;
    bans activeBans;
    std::int64_t fetchesHeldUntilMs = 0;

    [[nodiscard]] command_result apply(const std::string &operationId, const edit_tables &edit)
    {
        if (auto first = editAnswers.find(operationId, edit))
            return *first;
        command_result answer = store.edit(edit, orders);
        answer.index = appliedIndex;
        if (answer.accepted && (!edit.putPools.empty() || !edit.removePools.empty()))
            usage.updateEndpoints(store.tables()->pools, edit.wallMs);
        if (!operationId.empty())
            editAnswers.recordFirst(operationId, edit, answer);
        return answer;
    }

    [[nodiscard]] command_result apply(const std::string &, const put_document &document)
    {
        command_result answer = store.putDocument(document, orders);
        if (answer.accepted)
            usage.updateEndpoints(store.tables()->pools, document.wallMs);
        return answer;
    }

    [[nodiscard]] command_result apply(const std::string &operationId, const claim_request &request)
    {
        if (usage.retired(request.entry)) {
            return refused(error_kind::Unavailable,
                           "entry " + request.entry
                                   + " was retired because it was silent for too long; restart it "
                                     "and send the request to another entry",
                           {{"state", "refused"}});
        }
        return requestClaims.claim(operationId, request);
    }

    [[nodiscard]] command_result apply(const std::string &, const settle_claim &settlement)
    {
        return requestClaims.settle(settlement);
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
        usage.updateEndpoints(store.tables()->pools, settlement.wallMs);
        return answer;
    }

    [[nodiscard]] command_result apply(const std::string &, const ban_fingerprint &ban)
    {
        return activeBans.ban(ban);
    }

    [[nodiscard]] command_result apply(const std::string &, const retire_entry &retirement)
    {
        usage.retire(retirement.entry);
        return accepted({{"unknownClaims", requestClaims.retire(retirement.entry)}});
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
        const std::int64_t watermarkMs = usage.lowestWatermarkMs();
        if (appliedIndex % banCheckIntervalEntries == 0
            && watermarkMs != std::numeric_limits<std::int64_t>::max())
            activeBans.expire(watermarkMs);
    }
};

machine::machine(const limits &bounds)
    : m_bounds(bounds)
    , m_components(std::make_unique<components>(m_bounds))
{ }
machine::~machine() = default;

std::shared_ptr<const table_set> machine::tables() const noexcept
{
    return m_components->store.tables();
}

std::shared_ptr<const std::string> machine::document() const noexcept
{
    return m_components->store.document();
}

std::shared_ptr<const std::set<std::string>> machine::bannedFingerprints() const noexcept
{
    return m_components->activeBans.fingerprints();
}

std::uint64_t machine::bansVersion() const noexcept
{
    return m_components->activeBans.version();
}

std::uint64_t machine::appliedIndex() const noexcept
{
    return m_components->appliedIndex;
}

leader_view machine::leaderView() const
{
    leader_view copy;
    copy.appliedIndex = m_components->appliedIndex;
    copy.tables = m_components->store.tables();
    copy.openOrders = m_components->orders.openOrders();
    copy.highestFence = m_components->orders.highestFence();
    copy.usage = m_components->usage.view();
    copy.liveEntries = m_components->usage.liveEntries();
    copy.fetchesHeldUntilMs = m_components->fetchesHeldUntilMs;
    return copy;
}

std::optional<order_record> machine::order(std::uint64_t orderId) const
{
    const order_record *found = m_components->orders.find(orderId);
    if (found == nullptr)
        return std::nullopt;
    return *found;
}

command_result machine::apply(std::uint64_t index, const command &command)
{
    m_components->appliedIndex = index;
    m_components->expireBans();
    command_result answer = std::visit(
            [&](const auto &body) { return m_components->apply(command.operationId, body); },
            command.body);
    if (answer.index == 0)
        answer.index = index;
    if (answer.revision == 0)
        answer.revision = m_components->store.tables()->revision;
    return answer;
}

std::string machine::snapshot() const
{
    snapshot_writer out;
    out.put(m_components->appliedIndex);
    m_components->store.save(out);
    m_components->editAnswers.save(out);
    m_components->requestClaims.save(out);
    m_components->usage.save(out);
    m_components->orders.save(out);
    m_components->activeBans.save(out);
    out.put(m_components->fetchesHeldUntilMs);
    return out.take();
}

result<void> machine::restore(std::string_view bytes)
{
    try {
        auto next = std::make_unique<components>(m_bounds);
        snapshot_reader in(bytes);
        next->appliedIndex = in.get<std::uint64_t>();
        next->store.load(in);
        next->editAnswers.load(in);
        next->requestClaims.load(in);
        next->usage.load(in);
        next->orders.load(in);
        next->activeBans.load(in);
        next->fetchesHeldUntilMs = in.get<std::int64_t>();
        if (!in.atEnd())
            return fail(error_kind::Corrupt, "snapshot",
                        "it is followed by unexpected bytes; restore from another replica");
        m_components = std::move(next);
    } catch (const json::exception &problem) {
        return fail(error_kind::Corrupt, "snapshot",
                    std::string(problem.what()) + "; restore from another replica");
    }
    return {};
}

} // namespace yuccascale::kernel::state

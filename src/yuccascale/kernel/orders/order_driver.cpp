#include "yuccascale/kernel/orders/order_driver.hpp"

#include "yuccascale/kernel/orders/events.hpp"
#include "yuccascale/kernel/orders/permit.hpp"

#include <algorithm>
#include <array>

namespace yuccascale::kernel::orders {

namespace {

bool waitsForDrain(state::order_kind kind)
{
    return kind == state::order_kind::ChangeRole || kind == state::order_kind::LoadModel
            || kind == state::order_kind::StopEndpoint;
}

bool needsWeights(state::order_kind kind)
{
    return kind == state::order_kind::LoadModel || kind == state::order_kind::LoadAdapter;
}

bool isListed(const state::table_set &tables, const state::order_record &order)
{
    for (const auto &[name, pool] : tables.pools) {
        for (const state::endpoint &row : pool.endpoints) {
            if (row.name == order.target)
                return row.address == order.address;
        }
    }
    return false;
}

std::string endName(state::order_outcome end)
{
    return json(end).get<std::string>();
}

} // namespace

order_driver::order_driver(const order_times &times, event_sink &events)
    : m_times(times)
    , m_events(events)
{ }

std::vector<order_action> order_driver::step(instant now, std::int64_t wallMs,
                                             const std::optional<leadership> &authority,
                                             const state::leader_view &view)
{
    if (!authority || now >= authority->leaseEnd) {
        handleAuthorityLoss(now);
        return {};
    }
    if (authority->fence != m_fence)
        handleAuthorityLoss(now);
    m_fence = authority->fence;
    m_ordersAllowedFrom = authority->ordersAllowedFrom;
    const step_context context{now, wallMs, *authority, view};
    syncWithLog(context);

    std::vector<order_action> actions;
    if (m_uncommittedFetchHoldUntilMs && m_holdTicket == 0) {
        m_holdTicket = ++m_lastTicket;
        actions.emplace_back(
                submit_command{m_holdTicket,
                               {"hold-fetches/" + std::to_string(*m_uncommittedFetchHoldUntilMs),
                                state::hold_fetches{*m_uncommittedFetchHoldUntilMs}}});
    }
    for (auto &[id, order] : m_openOrders) {
        if (auto action = advance(context, order))
            actions.push_back(std::move(*action));
    }
    return actions;
}

/// A lease may be renewed after it expired, under the same fence. Open orders then count as
/// inherited, and their targets are queried.
void order_driver::handleAuthorityLoss(instant now)
{
    if (m_fence != 0) {
        m_expiredFence = m_fence;
        if (!m_openOrders.empty())
            m_events.record(ordersSuspended, {{"fence", m_fence}, {"open", m_openOrders.size()}});
    }
    for (const auto &[id, order] : m_openOrders) {
        if (order.currentPhase == phase::Send && order.ticket != 0)
            m_noResendUntil[order.record.target] = now + permitLifetime + m_times.orderLifetime;
    }
    m_fence = 0;
    m_openOrders.clear();
    m_tickets.clear();
    m_fetchTicket = 0;
    m_holdTicket = 0;
}

void order_driver::syncWithLog(const step_context &context)
{
    m_fetchesHeldUntilMs = std::max(m_fetchesHeldUntilMs, context.view.fetchesHeldUntilMs);
    if (m_uncommittedFetchHoldUntilMs
        && context.view.fetchesHeldUntilMs >= *m_uncommittedFetchHoldUntilMs)
        m_uncommittedFetchHoldUntilMs.reset();
    std::erase_if(m_noResendUntil, [&](const auto &entry) {
        const bool open = std::ranges::any_of(context.view.openOrders, [&](const auto &order) {
            return order.target == entry.first;
        });
        return !open && entry.second <= context.now;
    });
    std::erase_if(m_openOrders, [&](const auto &entry) {
        return !std::ranges::binary_search(context.view.openOrders, entry.first, {},
                                           &state::order_record::id);
    });
    for (const state::order_record &record : context.view.openOrders) {
        const auto [tracked, added] = m_openOrders.try_emplace(record.id);
        if (!added)
            continue;
        tracked_order &order = tracked->second;
        const bool inherited = record.fence != m_fence || m_fence == m_expiredFence;
        order.record = record;
        order.neverSent = !inherited;
        order.currentPhase = inherited ? phase::Query : phase::Drain;
        order.firstSeenAt = context.now;
        m_events.record(orderTakenUp,
                        {{"order", record.id},
                         {"target", record.target},
                         {"kind", orderKindName(record.kind)},
                         {"argument", record.argument},
                         {"fence", record.fence},
                         {"inherited", inherited ? "yes" : "no"},
                         {"reason", record.reason}});
    }
}

std::optional<order_action> order_driver::advance(const step_context &context, tracked_order &order)
{
    static constexpr std::array<step_function, 5> steps{
            &order_driver::queryStep, &order_driver::drainStep, &order_driver::fetchStep,
            &order_driver::sendStep, &order_driver::settleStep};
    if (order.ticket != 0 || context.now < order.notBefore)
        return std::nullopt;
    if (order.currentPhase != phase::Settle && abandonIfUndeliverable(context, order))
        return settleStep(context, order);
    const phase previousPhase = order.currentPhase;
    auto action = (this->*steps[static_cast<std::size_t>(previousPhase)])(context, order);
    if (!action && order.currentPhase != previousPhase)
        return advance(context, order);
    return action;
}

bool order_driver::abandonIfUndeliverable(const step_context &context, tracked_order &order)
{
    const bool removed
            = !goesToPlatform(order.record.kind) && !isListed(*context.view.tables, order.record);
    if (removed && !copyMayBeInFlight(context.now, order)) {
        settle(order, state::order_outcome::Abandoned,
               order.neverSent ? "not sent: its endpoint was removed from the tables"
                               : "outcome unknown: its endpoint was removed from the tables");
        return true;
    }
    if (!order.neverSent || context.now - order.firstSeenAt < m_times.abandonAfter)
        return false;
    settle(order, state::order_outcome::Abandoned,
           "not sent: the target could not be reached; check that it runs and that its address is "
           "right");
    return true;
}

std::optional<order_action> order_driver::queryStep(const step_context &context,
                                                    tracked_order &order)
{
    return query_order{issueTicket(context.now, order), order.record.id, order.record.address};
}

std::optional<order_action> order_driver::drainStep(const step_context &context,
                                                    tracked_order &order)
{
    if (!waitsForDrain(order.record.kind)) {
        order.currentPhase = phase::Fetch;
        return std::nullopt;
    }
    if (context.now < drainInForceFrom(order)) {
        m_events.record(orderWaitsForDrain,
                        {{"order", order.record.id}, {"target", order.record.target}});
        order.notBefore = drainInForceFrom(order);
        return std::nullopt;
    }
    return inspect_target{issueTicket(context.now, order), order.record.id, order.record.address};
}

std::optional<order_action> order_driver::fetchStep(const step_context &context,
                                                    tracked_order &order)
{
    if (!needsWeights(order.record.kind)) {
        order.currentPhase = phase::Send;
        return std::nullopt;
    }
    const bool fetchesHeld = m_uncommittedFetchHoldUntilMs || context.wallMs < m_fetchesHeldUntilMs;
    if (m_fetchTicket != 0 || fetchesHeld || leaseEndsBeforeASend(context)
        || context.now < context.authority.ordersAllowedFrom)
        return std::nullopt;
    m_fetchTicket = issueTicket(context.now, order);
    return fetch_weights{m_fetchTicket,         m_fence,
                         context.now,           order.record.id,
                         order.record.argument, order.record.target};
}

std::optional<order_action> order_driver::sendStep(const step_context &context,
                                                   tracked_order &order)
{
    if (leaseEndsBeforeASend(context) || copyMayBeInFlight(context.now, order))
        return std::nullopt;
    order.neverSent = false;
    m_events.record(orderSent,
                    {{"order", order.record.id},
                     {"target", order.record.target},
                     {"kind", orderKindName(order.record.kind)},
                     {"fence", m_fence}});
    return send_order{issueTicket(context.now, order), m_fence, context.now,
                      messageOf(order.record)};
}

std::optional<order_action> order_driver::settleStep(const step_context &context,
                                                     tracked_order &order)
{
    order.settlement.wallMs = context.wallMs;
    return submit_command{issueTicket(context.now, order),
                          {"settle-" + std::to_string(order.record.id), order.settlement}};
}

bool order_driver::leaseEndsBeforeASend(const step_context &context) const
{
    return context.now + m_times.sendTimeout > context.authority.leaseEnd;
}

instant order_driver::drainInForceFrom(const tracked_order &order) const
{
    return order.firstSeenAt + m_times.drainPropagationTime;
}

instant order_driver::noCopyInFlightFrom(const tracked_order &order) const
{
    const auto noResendUntil = m_noResendUntil.find(order.record.target);
    if (noResendUntil == m_noResendUntil.end())
        return m_ordersAllowedFrom;
    return std::max(m_ordersAllowedFrom, noResendUntil->second);
}

bool order_driver::copyMayBeInFlight(instant now, const tracked_order &order) const
{
    return now < noCopyInFlightFrom(order);
}

std::uint64_t order_driver::issueTicket(instant now, tracked_order &order)
{
    order.issuedAt = now;
    order.ticket = ++m_lastTicket;
    m_tickets[order.ticket] = order.record.id;
    return order.ticket;
}

order_driver::tracked_order *order_driver::takeTicket(std::uint64_t ticket)
{
    if (ticket == m_fetchTicket)
        m_fetchTicket = 0;
    const auto issued = m_tickets.find(ticket);
    if (issued == m_tickets.end())
        return nullptr;
    const auto found = m_openOrders.find(issued->second);
    m_tickets.erase(issued);
    if (found == m_openOrders.end())
        return nullptr;
    found->second.ticket = 0;
    return &found->second;
}

void order_driver::scheduleRetry(instant now, tracked_order &order) const
{
    order.retryDelay
            = std::clamp(2 * order.retryDelay, m_times.queryInterval, m_times.maxRetryDelay);
    order.notBefore = now + order.retryDelay;
}

void order_driver::onQueryReply(instant now, std::uint64_t ticket,
                                const std::optional<target_reply> &reply)
{
    tracked_order *order = takeTicket(ticket);
    if (order == nullptr)
        return;
    if (!reply) {
        scheduleRetry(now, *order);
        return;
    }
    order->retryDelay = {};
    applyReply(now, *order, *reply);
}

void order_driver::applyReply(instant now, tracked_order &order, const target_reply &reply)
{
    switch (reply.state) {
    case target_state::Done:
        settle(order, state::order_outcome::Done, reply.detail, reply.started);
        return;
    case target_state::Refused:
        settle(order, state::order_outcome::Refused, reply.detail);
        return;
    case target_state::Running:
        order.currentPhase = phase::Query;
        order.notBefore = now + m_times.queryInterval;
        return;
    case target_state::Busy:
        order.currentPhase = phase::Send;
        order.neverSent = true;
        scheduleRetry(now, order);
        return;
    case target_state::Unknown:
        handleUnknownOrder(order);
        return;
    }
}

/// Called when the target had no record of the order at the time of the query. If a copy may have
/// been in flight at that time, the target is queried again, because this node may have been paused
/// since.
void order_driver::handleUnknownOrder(tracked_order &order)
{
    if (copyMayBeInFlight(order.issuedAt, order)) {
        order.currentPhase = phase::Query;
        order.notBefore = noCopyInFlightFrom(order);
        return;
    }
    order.neverSent = true;
    order.currentPhase = phase::Drain;
}

void order_driver::onLoadReport(instant now, std::uint64_t ticket,
                                const std::optional<target_report> &report)
{
    tracked_order *order = takeTicket(ticket);
    if (order == nullptr)
        return;
    if (report && report->running + report->queued == 0
        && order->issuedAt - report->age >= drainInForceFrom(*order)) {
        order->retryDelay = {};
        order->currentPhase = phase::Fetch;
        return;
    }
    scheduleRetry(now, *order);
    if (now - order->firstSeenAt < m_times.drainTimeout)
        return;
    if (!report && order->record.kind == state::order_kind::StopEndpoint)
        order->currentPhase = phase::Fetch;
    else if (order->neverSent)
        settle(*order, state::order_outcome::Abandoned,
               "not sent: the endpoint still ran requests when the drain timeout ended; give the "
               "order again later");
}

void order_driver::onFetchReply(instant now, std::int64_t wallMs, std::uint64_t ticket,
                                const std::optional<fetch_reply> &reply)
{
    tracked_order *order = takeTicket(ticket);
    if (reply && !reply->granted) {
        m_uncommittedFetchHoldUntilMs = wallMs + reply->retryAfter.count();
        m_fetchesHeldUntilMs = std::max(m_fetchesHeldUntilMs, *m_uncommittedFetchHoldUntilMs);
        m_events.record(fetchHeld, {{"until_wall_ms", m_fetchesHeldUntilMs}});
    }
    if (order == nullptr)
        return;
    if (reply && reply->granted) {
        order->retryDelay = {};
        order->currentPhase = phase::Send;
    } else if (!reply) {
        scheduleRetry(now, *order);
    }
}

void order_driver::onSendResult(instant now, std::uint64_t ticket, send_end end,
                                const std::optional<target_reply> &reply)
{
    tracked_order *order = takeTicket(ticket);
    if (order == nullptr)
        return;
    if (end == send_end::NotSent) {
        order->neverSent = true;
        scheduleRetry(now, *order);
        return;
    }
    if (end == send_end::Answered && reply) {
        order->retryDelay = {};
        applyReply(now, *order, *reply);
        return;
    }
    m_noResendUntil[order->record.target] = now + m_times.orderLifetime;
    m_events.record(orderAnswerLost,
                    {{"order", order->record.id}, {"target", order->record.target}});
    order->currentPhase = phase::Query;
}

void order_driver::onSubmitResult(instant now, std::uint64_t ticket)
{
    if (ticket == m_holdTicket)
        m_holdTicket = 0;
    tracked_order *order = takeTicket(ticket);
    if (order != nullptr)
        scheduleRetry(now, *order);
}

void order_driver::settle(tracked_order &order, state::order_outcome end, std::string detail,
                          std::vector<state::endpoint> started)
{
    const event_kind &kind = end == state::order_outcome::Abandoned ? orderAbandoned : orderOutcome;
    m_events.record(kind,
                    {{"order", order.record.id},
                     {"target", order.record.target},
                     {"end", endName(end)},
                     {"detail", detail}});
    order.settlement = {order.record.id, end, std::move(detail), 0, std::move(started)};
    order.currentPhase = phase::Settle;
    order.notBefore = {};
    order.retryDelay = {};
}

} // namespace yuccascale::kernel::orders

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
    if (!authority || now >= authority->until) {
        loseAuthority(now);
        return {};
    }
    if (authority->fence != m_fence)
        loseAuthority(now);
    m_fence = authority->fence;
    m_ordersFrom = authority->ordersFrom;
    const situation seen{now, wallMs, *authority, view};
    followLog(seen);

    std::vector<order_action> actions;
    if (m_holdFetchesUntilMs && m_holdTicket == 0) {
        m_holdTicket = ++m_lastTicket;
        actions.emplace_back(
                submit_command{m_holdTicket,
                               {"hold-fetches/" + std::to_string(*m_holdFetchesUntilMs),
                                state::hold_fetches{*m_holdFetchesUntilMs}}});
    }
    for (auto &[id, order] : m_tracks) {
        if (auto action = advance(seen, order))
            actions.push_back(std::move(*action));
    }
    return actions;
}

/// A lease may be renewed after it ran out, under the same fence: what was sent is then asked for.
void order_driver::loseAuthority(instant now)
{
    if (m_fence != 0) {
        m_lapsedFence = m_fence;
        if (!m_tracks.empty())
            m_events.record(ordersSuspended, {{"fence", m_fence}, {"open", m_tracks.size()}});
    }
    for (const auto &[id, order] : m_tracks) {
        if (order.at == phase::Send && order.ticket != 0)
            m_quietUntil[order.order.target] = now + permitLife + m_times.orderLife;
    }
    m_fence = 0;
    m_tracks.clear();
    m_tickets.clear();
    m_fetchTicket = 0;
    m_holdTicket = 0;
}

void order_driver::followLog(const situation &seen)
{
    m_fetchesHeldUntilMs = std::max(m_fetchesHeldUntilMs, seen.view.fetchesHeldUntilMs);
    if (m_holdFetchesUntilMs && seen.view.fetchesHeldUntilMs >= *m_holdFetchesUntilMs)
        m_holdFetchesUntilMs.reset();
    std::erase_if(m_quietUntil, [&](const auto &entry) {
        const bool open = std::ranges::any_of(seen.view.openOrders, [&](const auto &order) {
            return order.target == entry.first;
        });
        return !open && entry.second <= seen.now;
    });
    std::erase_if(m_tracks, [&](const auto &entry) {
        return !std::ranges::binary_search(seen.view.openOrders, entry.first, {},
                                           &state::order_record::id);
    });
    for (const state::order_record &record : seen.view.openOrders) {
        const auto [place, added] = m_tracks.try_emplace(record.id);
        if (!added)
            continue;
        track &order = place->second;
        const bool inherited = record.fence != m_fence || m_fence == m_lapsedFence;
        order.order = record;
        order.neverSent = !inherited;
        order.at = inherited ? phase::Ask : phase::Drain;
        order.firstSeen = seen.now;
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

std::optional<order_action> order_driver::advance(const situation &seen, track &order)
{
    static constexpr std::array<step_function, 5> steps{
            &order_driver::askStep, &order_driver::drainStep, &order_driver::fetchStep,
            &order_driver::sendStep, &order_driver::settleStep};
    if (order.ticket != 0 || seen.now < order.notBefore)
        return std::nullopt;
    if (order.at != phase::Settle && abandonIfHopeless(seen, order))
        return settleStep(seen, order);
    const phase before = order.at;
    auto action = (this->*steps[static_cast<std::size_t>(before)])(seen, order);
    if (!action && order.at != before)
        return advance(seen, order);
    return action;
}

bool order_driver::abandonIfHopeless(const situation &seen, track &order)
{
    const bool removed
            = !goesToPlatform(order.order.kind) && !isListed(*seen.view.tables, order.order);
    if (removed && !copyMayBeUnderWay(seen.now, order)) {
        settle(order, state::order_outcome::Abandoned,
               order.neverSent ? "not sent: its endpoint was removed from the tables"
                               : "outcome unknown: its endpoint was removed from the tables");
        return true;
    }
    if (!order.neverSent || seen.now - order.firstSeen < m_times.giveUpAfter)
        return false;
    settle(order, state::order_outcome::Abandoned,
           "not sent: the target could not be reached; check it and its address");
    return true;
}

std::optional<order_action> order_driver::askStep(const situation &seen, track &order)
{
    return ask_target{issueTicket(seen.now, order), order.order.id, order.order.address};
}

std::optional<order_action> order_driver::drainStep(const situation &seen, track &order)
{
    if (!waitsForDrain(order.order.kind)) {
        order.at = phase::Fetch;
        return std::nullopt;
    }
    const instant inForce = order.firstSeen + m_times.inForceWithin;
    if (seen.now < inForce) {
        m_events.record(orderWaitsForDrain,
                        {{"order", order.order.id}, {"target", order.order.target}});
        order.notBefore = inForce;
        return std::nullopt;
    }
    return inspect_target{issueTicket(seen.now, order), order.order.id, order.order.address};
}

std::optional<order_action> order_driver::fetchStep(const situation &seen, track &order)
{
    if (!needsWeights(order.order.kind)) {
        order.at = phase::Send;
        return std::nullopt;
    }
    const bool held = m_holdFetchesUntilMs || seen.wallMs < m_fetchesHeldUntilMs;
    const bool leaseEnds = seen.now + m_times.sendTime > seen.authority.until;
    if (m_fetchTicket != 0 || held || leaseEnds || seen.now < seen.authority.ordersFrom)
        return std::nullopt;
    m_fetchTicket = issueTicket(seen.now, order);
    return fetch_weights{m_fetchTicket,        m_fence,           seen.now, order.order.id,
                         order.order.argument, order.order.target};
}

std::optional<order_action> order_driver::sendStep(const situation &seen, track &order)
{
    const bool leaseEnds = seen.now + m_times.sendTime > seen.authority.until;
    if (leaseEnds || copyMayBeUnderWay(seen.now, order))
        return std::nullopt;
    order.neverSent = false;
    m_events.record(orderSent,
                    {{"order", order.order.id},
                     {"target", order.order.target},
                     {"kind", orderKindName(order.order.kind)},
                     {"fence", m_fence}});
    return send_order{issueTicket(seen.now, order), m_fence, seen.now, messageOf(order.order)};
}

std::optional<order_action> order_driver::settleStep(const situation &seen, track &order)
{
    order.settlement.wallMs = seen.wallMs;
    return submit_command{issueTicket(seen.now, order),
                          {"settle-" + std::to_string(order.order.id), order.settlement}};
}

bool order_driver::copyMayBeUnderWay(instant now, const track &order) const
{
    const auto quiet = m_quietUntil.find(order.order.target);
    return now < m_ordersFrom || (quiet != m_quietUntil.end() && now < quiet->second);
}

std::uint64_t order_driver::issueTicket(instant now, track &order)
{
    order.issuedAt = now;
    order.ticket = ++m_lastTicket;
    m_tickets[order.ticket] = order.order.id;
    return order.ticket;
}

order_driver::track *order_driver::takeTicket(std::uint64_t ticket)
{
    if (ticket == m_fetchTicket)
        m_fetchTicket = 0;
    const auto issued = m_tickets.find(ticket);
    if (issued == m_tickets.end())
        return nullptr;
    const auto found = m_tracks.find(issued->second);
    m_tickets.erase(issued);
    if (found == m_tracks.end())
        return nullptr;
    found->second.ticket = 0;
    return &found->second;
}

void order_driver::retryLater(instant now, track &order) const
{
    order.interval = std::clamp(2 * order.interval, m_times.askInterval, m_times.longestInterval);
    order.notBefore = now + order.interval;
}

void order_driver::asked(instant now, std::uint64_t ticket,
                         const std::optional<target_reply> &reply)
{
    track *order = takeTicket(ticket);
    if (order == nullptr)
        return;
    if (!reply) {
        retryLater(now, *order);
        return;
    }
    order->interval = {};
    applyReply(now, *order, *reply);
}

void order_driver::applyReply(instant now, track &order, const target_reply &reply)
{
    switch (reply.state) {
    case target_state::Done:
        settle(order, state::order_outcome::Done, reply.detail, reply.started);
        return;
    case target_state::Refused:
        settle(order, state::order_outcome::Refused, reply.detail);
        return;
    case target_state::Running:
        order.at = phase::Ask;
        order.notBefore = now + m_times.askInterval;
        return;
    case target_state::Busy:
        order.at = phase::Send;
        order.neverSent = true;
        retryLater(now, order);
        return;
    case target_state::Unknown:
        notDelivered(order);
        return;
    }
}

/// The target did not know the order when it was asked. If a copy may have been under way then, it
/// is asked again; this node may have been paused since.
void order_driver::notDelivered(track &order)
{
    if (copyMayBeUnderWay(order.issuedAt, order)) {
        order.at = phase::Ask;
        const auto quiet = m_quietUntil.find(order.order.target);
        order.notBefore = m_ordersFrom;
        if (quiet != m_quietUntil.end())
            order.notBefore = std::max(order.notBefore, quiet->second);
        return;
    }
    order.neverSent = true;
    order.at = phase::Drain;
}

void order_driver::inspected(instant now, std::uint64_t ticket,
                             const std::optional<target_report> &report)
{
    track *order = takeTicket(ticket);
    if (order == nullptr)
        return;
    const instant inForce = order->firstSeen + m_times.inForceWithin;
    if (report && report->running + report->queued == 0
        && order->issuedAt - report->age >= inForce) {
        order->interval = {};
        order->at = phase::Fetch;
        return;
    }
    retryLater(now, *order);
    if (now - order->firstSeen < m_times.drainLimit)
        return;
    if (!report && order->order.kind == state::order_kind::StopEndpoint)
        order->at = phase::Fetch;
    else if (order->neverSent)
        settle(*order, state::order_outcome::Abandoned,
               "not sent: the endpoint still ran requests at the drain limit; give it again later");
}

void order_driver::fetched(instant now, std::int64_t wallMs, std::uint64_t ticket,
                           const std::optional<fetch_reply> &reply)
{
    track *order = takeTicket(ticket);
    if (reply && !reply->granted) {
        m_holdFetchesUntilMs = wallMs + reply->retryAfter.count();
        m_fetchesHeldUntilMs = std::max(m_fetchesHeldUntilMs, *m_holdFetchesUntilMs);
        m_events.record(fetchHeld, {{"until_wall_ms", m_fetchesHeldUntilMs}});
    }
    if (order == nullptr)
        return;
    if (reply && reply->granted) {
        order->interval = {};
        order->at = phase::Send;
    } else if (!reply) {
        retryLater(now, *order);
    }
}

void order_driver::sent(instant now, std::uint64_t ticket, send_end end,
                        const std::optional<target_reply> &reply)
{
    track *order = takeTicket(ticket);
    if (order == nullptr)
        return;
    if (end == send_end::NotSent) {
        order->neverSent = true;
        retryLater(now, *order);
        return;
    }
    if (end == send_end::Answered && reply) {
        order->interval = {};
        applyReply(now, *order, *reply);
        return;
    }
    m_quietUntil[order->order.target] = now + m_times.orderLife;
    m_events.record(orderAnswerLost, {{"order", order->order.id}, {"target", order->order.target}});
    order->at = phase::Ask;
}

void order_driver::submitted(instant now, std::uint64_t ticket)
{
    if (ticket == m_holdTicket)
        m_holdTicket = 0;
    track *order = takeTicket(ticket);
    if (order != nullptr)
        retryLater(now, *order);
}

void order_driver::settle(track &order, state::order_outcome end, std::string detail,
                          std::vector<state::endpoint> started)
{
    const event_kind &kind = end == state::order_outcome::Abandoned ? orderAbandoned : orderOutcome;
    m_events.record(kind,
                    {{"order", order.order.id},
                     {"target", order.order.target},
                     {"end", endName(end)},
                     {"detail", detail}});
    order.settlement = {order.order.id, end, std::move(detail), 0, std::move(started)};
    order.at = phase::Settle;
    order.notBefore = {};
    order.interval = {};
}

} // namespace yuccascale::kernel::orders

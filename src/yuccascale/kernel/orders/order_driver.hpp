#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/events.hpp"
#include "yuccascale/kernel/leadership.hpp"
#include "yuccascale/kernel/orders/drivers.hpp"
#include "yuccascale/kernel/orders/order_actions.hpp"
#include "yuccascale/kernel/state/leader_view.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Decides how to carry out the open orders of the log, one step at a time. Does no I/O.

namespace yuccascale::kernel::orders {

/// \brief Timeouts and intervals of the order driver.
struct order_times
{
    nanoseconds sendTimeout = milliseconds(500); ///< bytes are delivered or dropped within this
    nanoseconds orderLifetime = seconds(3);      ///< longest time an order can be in flight
    nanoseconds drainPropagationTime = milliseconds(2'500); ///< after this no entry sends requests
                                                            ///< to a draining endpoint
    nanoseconds queryInterval = milliseconds(200);
    nanoseconds maxRetryDelay = seconds(5); ///< between attempts at a target that doesn't answer
    nanoseconds drainTimeout = seconds(120);
    nanoseconds abandonAfter = seconds(300); ///< for an order that was certainly not sent
};

/// \brief How a send ended.
enum class send_end {
    NotSent,  ///< nothing was sent
    Lost,     ///< the order may have arrived
    Answered, ///< the target replied
};

/// \brief Decides the next step of every open order of the log.
///
/// An order is sent only after it is committed to the log, under a lease that outlasts the send,
/// and not before leadership.ordersAllowedFrom, when no order of an earlier leader can be in
/// flight. A target that did not answer is queried. The identical bytes are sent again only when
/// the target has no record of the order and no copy can be in flight.
///
/// Not thread-safe. The owner calls step() periodically, carries the actions out in any order and
/// returns each result with the ticket of its action.
class order_driver
{
public:
    order_driver(const order_times &times, event_sink &events);

    /// \param authority this node's leadership, or nothing
    /// \param wallMs current wall-clock time in milliseconds
    /// \returns the actions to carry out now.
    [[nodiscard]] std::vector<order_action> step(instant now, std::int64_t wallMs,
                                                 const std::optional<leadership> &authority,
                                                 const state::leader_view &view);

    /// \param reply nothing when the target did not answer
    void onQueryReply(instant now, std::uint64_t ticket, const std::optional<target_reply> &reply);

    /// \param report nothing when the endpoint did not answer
    void onLoadReport(instant now, std::uint64_t ticket,
                      const std::optional<target_report> &report);

    /// \param reply nothing when the weight store did not answer
    void onFetchReply(instant now, std::int64_t wallMs, std::uint64_t ticket,
                      const std::optional<fetch_reply> &reply);

    /// \param reply set when \a end is Answered
    void onSendResult(instant now, std::uint64_t ticket, send_end end,
                      const std::optional<target_reply> &reply);

    /// \brief Called when a submit has ended, successfully or not. The next step depends on the log
    /// only.
    void onSubmitResult(instant now, std::uint64_t ticket);

private:
    enum class phase { Query, Drain, Fetch, Send, Settle };

    struct tracked_order
    {
        state::order_record record;
        phase currentPhase = phase::Query;
        std::uint64_t ticket = 0; ///< of the action in progress; 0: none
        bool neverSent = false;   ///< no copy of the order can have arrived
        instant issuedAt{};       ///< when that action was decided
        instant firstSeenAt{};
        instant notBefore{};
        nanoseconds retryDelay{};
        state::settle_order settlement;
    };

    /// Inputs of the steps of one call to step().
    struct step_context
    {
        instant now;
        std::int64_t wallMs = 0;
        const leadership &authority;
        const state::leader_view &view;
    };

    using step_function
            = std::optional<order_action> (order_driver::*)(const step_context &, tracked_order &);

    void syncWithLog(const step_context &context);
    void handleAuthorityLoss(instant now);
    [[nodiscard]] std::optional<order_action> advance(const step_context &context,
                                                      tracked_order &order);
    [[nodiscard]] std::optional<order_action> queryStep(const step_context &context,
                                                        tracked_order &order);
    [[nodiscard]] std::optional<order_action> drainStep(const step_context &context,
                                                        tracked_order &order);
    [[nodiscard]] std::optional<order_action> fetchStep(const step_context &context,
                                                        tracked_order &order);
    [[nodiscard]] std::optional<order_action> sendStep(const step_context &context,
                                                       tracked_order &order);
    [[nodiscard]] std::optional<order_action> settleStep(const step_context &context,
                                                         tracked_order &order);
    [[nodiscard]] bool abandonIfUndeliverable(const step_context &context, tracked_order &order);

    [[nodiscard]] tracked_order *takeTicket(std::uint64_t ticket);
    [[nodiscard]] std::uint64_t issueTicket(instant now, tracked_order &order);
    void scheduleRetry(instant now, tracked_order &order) const;
    void handleUnknownOrder(tracked_order &order);
    void settle(tracked_order &order, state::order_outcome end, std::string detail,
                std::vector<state::endpoint> started = {});
    void applyReply(instant now, tracked_order &order, const target_reply &reply);
    [[nodiscard]] bool leaseEndsBeforeASend(const step_context &context) const;
    /// \returns from when on no entry sends requests to the order's draining endpoint.
    [[nodiscard]] instant drainInForceFrom(const tracked_order &order) const;
    /// \returns from when on no copy of the order can arrive, whichever leader sent it.
    [[nodiscard]] instant noCopyInFlightFrom(const tracked_order &order) const;
    [[nodiscard]] bool copyMayBeInFlight(instant now, const tracked_order &order) const;

    order_times m_times;
    event_sink &m_events;
    std::uint64_t m_fence = 0;        ///< of the leadership under which m_openOrders was filled
    std::uint64_t m_expiredFence = 0; ///< of the last lease of this node that expired
    instant m_ordersAllowedFrom{};
    std::map<std::uint64_t, tracked_order> m_openOrders; ///< by order id
    std::map<std::uint64_t, std::uint64_t> m_tickets;    ///< order id by ticket
    std::map<std::string, instant> m_noResendUntil;      ///< by target; a copy may be in flight
    std::optional<std::int64_t> m_uncommittedFetchHoldUntilMs; ///< not committed yet
    std::int64_t m_fetchesHeldUntilMs = 0;                     ///< wall clock
    std::uint64_t m_fetchTicket = 0;                           ///< one fetch at a time
    std::uint64_t m_holdTicket = 0;
    std::uint64_t m_lastTicket = 0;
};

} // namespace yuccascale::kernel::orders

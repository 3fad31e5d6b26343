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
/// \brief Carries the open orders of the log out, one step at a time. No input or output.

namespace yuccascale::kernel::orders {

/// \brief Times of the order driver.
struct order_times
{
    nanoseconds sendTimeout = milliseconds(500); ///< a send is delivered or dropped within this
    nanoseconds orderLifetime = seconds(3);      ///< longest time an order can be under way
    nanoseconds drainPropagationTime = milliseconds(2'500); ///< after this no entry sends new work
                                                            ///< to a draining endpoint
    nanoseconds queryInterval = milliseconds(200);
    nanoseconds maxRetryDelay = seconds(5); ///< between tries of a target that does not answer
    nanoseconds drainTimeout = seconds(120);
    nanoseconds abandonAfter = seconds(300); ///< an order that was surely not sent is abandoned
};

/// \brief How a send ended.
enum class send_end {
    NotSent,  ///< surely
    Lost,     ///< it may have arrived
    Answered, ///< the reply holds the target's answer
};

/// \brief Decides the next step of every open order of the log.
///
/// An order is sent only after its intent is committed, under a lease that outlasts the send, and
/// not before leadership.ordersAllowedFrom, when no order of an earlier leader can be under way. A
/// target that did not answer is asked; only when it does not know the order, and no copy can be
/// under way, are the identical bytes sent again.
///
/// Not thread-safe. The owner calls step() periodically, carries the actions out in any order and
/// hands back each answer with its ticket.
class order_driver
{
public:
    order_driver(const order_times &times, event_sink &events);

    /// \param authority this node's leadership, or nothing
    /// \param wallMs reading of the wall clock
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

    /// \brief Takes note that a submit has ended, well or not; the log decides what follows.
    void onSubmitResult(instant now, std::uint64_t ticket);

private:
    enum class phase { Query, Drain, Fetch, Send, Settle };

    struct tracked_order
    {
        state::order_record record;
        phase currentPhase = phase::Query;
        std::uint64_t ticket = 0; ///< of the action under way; 0: none
        bool neverSent = false;   ///< no copy can have arrived
        instant issuedAt{};       ///< when that action was decided
        instant firstSeenAt{};
        instant notBefore{};
        nanoseconds retryDelay{};
        state::settle_order settlement;
    };

    /// What the steps of one call see.
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
    void settle(tracked_order &order, state::order_end end, std::string detail,
                std::vector<state::endpoint> started = {});
    void applyReply(instant now, tracked_order &order, const target_reply &reply);
    [[nodiscard]] bool copyMayBeInFlight(instant now, const tracked_order &order) const;

    order_times m_times;
    event_sink &m_events;
    std::uint64_t m_fence = 0;        ///< of the leadership in which the tracks were made
    std::uint64_t m_expiredFence = 0; ///< of a lease that ran out here
    instant m_ordersAllowedFrom{};
    std::map<std::uint64_t, tracked_order> m_openOrders;       ///< by order id
    std::map<std::uint64_t, std::uint64_t> m_tickets;          ///< order id by ticket
    std::map<std::string, instant> m_noResendUntil;            ///< by target, after a lost answer
    std::optional<std::int64_t> m_uncommittedFetchHoldUntilMs; ///< to be committed
    std::int64_t m_fetchesHeldUntilMs = 0;                     ///< wall clock
    std::uint64_t m_fetchTicket = 0;                           ///< one fetch at a time
    std::uint64_t m_holdTicket = 0;
    std::uint64_t m_lastTicket = 0;
};

} // namespace yuccascale::kernel::orders

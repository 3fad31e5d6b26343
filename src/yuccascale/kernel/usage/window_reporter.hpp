#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/events.hpp"
#include "yuccascale/kernel/leadership.hpp"
#include "yuccascale/kernel/orders/drivers.hpp"
#include "yuccascale/kernel/orders/order_actions.hpp"
#include "yuccascale/kernel/state/usage_windows.hpp"

#include <optional>
#include <variant>

/// \file
/// \brief Freezes usage windows in the log and reports each until the usage interface has answered.
/// Does no I/O.

namespace yuccascale::kernel::usage {

/// \brief Report the window, if this node still has authority under this fence right before the
/// first byte.
struct report_window
{
    std::uint64_t ticket = 0;
    std::uint64_t fence = 0;
    instant decidedAt{};
    state::frozen_window window;
};

using usage_action = std::variant<orders::submit_command, report_window>;

/// \brief Timeouts and intervals of the usage reporter.
struct usage_times
{
    milliseconds window{60'000};                 ///< length of a usage window
    milliseconds gracePeriod{2'000};             ///< time between a window's end and its freezing
    nanoseconds sendTimeout = milliseconds(500); ///< bytes are delivered or dropped within this
    nanoseconds retryInterval = milliseconds(500);
    nanoseconds maxRetryDelay = seconds(10);
    /// A window that waits longer for the entries' watermarks is logged
    nanoseconds waitWarningInterval = seconds(120);
};

/// \brief Decides the next step of usage reporting while this node is leader.
///
/// Figures are frozen in the log before the first byte of a report is sent; every attempt sends the
/// frozen bytes. Nothing is reported before leadership.ordersAllowedFrom.
///
/// Not thread-safe.
class window_reporter
{
public:
    window_reporter(const usage_times &times, event_sink &events);

    /// \returns at most one action to carry out now.
    [[nodiscard]] std::optional<usage_action> step(instant now, std::int64_t wallMs,
                                                   const std::optional<leadership> &authority,
                                                   const state::usage_view &view);

    /// \param reply nullopt when no answer came
    void onReportResult(instant now, std::uint64_t ticket,
                        const std::optional<orders::usage_reply> &reply);

    /// \brief Called when a submit has ended. The next step depends on the log.
    /// \param accepted false when the command was refused or its answer was lost
    void onSubmitResult(instant now, std::uint64_t ticket, bool accepted);

private:
    [[nodiscard]] std::optional<usage_action>
    settleOrReport(instant now, const leadership &authority, const state::frozen_window &window);
    [[nodiscard]] std::optional<usage_action> freeze(instant now, std::int64_t wallMs,
                                                     const leadership &authority,
                                                     const state::usage_view &view);
    [[nodiscard]] orders::submit_command submit(std::string operationId,
                                                state::command::body_type body);
    [[nodiscard]] bool takeTicket(std::uint64_t ticket);
    void warnOfBlockedWindow(instant now, std::int64_t startMs, const state::usage_view &view);
    void scheduleRetry(instant now);

    usage_times m_times;
    event_sink &m_events;
    std::uint64_t m_fence = 0;
    std::uint64_t m_ticket = 0; ///< of the action in progress; 0: none
    std::uint64_t m_lastTicket = 0;
    std::int64_t m_reportedWindowStartMs = 0; ///< start of the window whose report is in progress
    std::optional<state::settle_window> m_settlement;
    instant m_notBefore{};
    nanoseconds m_retryDelay{};
    std::int64_t m_blockedWindowStartMs = 0; ///< start of the window that waits for entries
    instant m_blockedSince{};
};

} // namespace yuccascale::kernel::usage

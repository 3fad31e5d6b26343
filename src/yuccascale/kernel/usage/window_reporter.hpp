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
/// \brief Freezes usage windows and reports them once. No input or output.

namespace yuccascale::kernel::usage {

/// \brief Report these bytes, if the authority with this fence still holds at the first byte.
struct report_window
{
    std::uint64_t ticket = 0;
    std::uint64_t fence = 0;
    instant decidedAt{};
    state::frozen_window window;
};

using usage_action = std::variant<orders::submit_command, report_window>;

/// \brief Times of the usage reporter.
struct usage_times
{
    milliseconds window{60'000};                 ///< length of a usage window
    milliseconds gracePeriod{2'000};             ///< after a window's end before it is frozen
    nanoseconds sendTimeout = milliseconds(500); ///< a report is delivered or dropped within this
    nanoseconds retryInterval = milliseconds(500);
    nanoseconds maxRetryDelay = seconds(10);
    nanoseconds waitWarningInterval
            = seconds(120); ///< a window that waits longer for marks is logged
};

/// \brief Decides the next step of the usage ledger while this node leads.
///
/// Figures are frozen in the log before the first byte of a report; every try sends the frozen
/// bytes. Nothing is reported before leadership.ordersAllowedFrom.
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

    /// \param reply nothing when no answer came
    void onReportResult(instant now, std::uint64_t ticket,
                        const std::optional<orders::usage_reply> &reply);

    /// \brief Takes note that a submit has ended; the log decides what follows.
    /// \param accepted false when it was refused or its answer was lost
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
    std::uint64_t m_ticket = 0; ///< of the action under way; 0: none
    std::uint64_t m_lastTicket = 0;
    std::int64_t m_reportedWindowStartMs = 0; ///< start of the window whose report is under way
    std::optional<state::settle_window> m_settlement;
    instant m_notBefore{};
    nanoseconds m_retryDelay{};
    std::int64_t m_blockedWindowStartMs = 0; ///< start of the window that waits for marks
    instant m_blockedSince{};
};

} // namespace yuccascale::kernel::usage

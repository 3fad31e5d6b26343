#include "yuccascale/kernel/usage/window_reporter.hpp"

#include "yuccascale/kernel/usage/events.hpp"

#include <algorithm>

namespace yuccascale::kernel::usage {

window_reporter::window_reporter(const usage_times &times, event_sink &events)
    : m_times(times)
    , m_events(events)
{ }

std::optional<usage_action> window_reporter::step(instant now, std::int64_t wallMs,
                                                  const std::optional<leadership> &authority,
                                                  const state::usage_view &view)
{
    const bool authorised = authority && now < authority->leaseEnd;
    if (!authorised || authority->fence != m_fence) {
        m_fence = authorised ? authority->fence : 0;
        m_ticket = 0;
        m_settlement.reset();
        m_notBefore = {};
        m_retryDelay = {};
    }
    if (!authorised || m_ticket != 0 || now < m_notBefore)
        return std::nullopt;
    if (view.unreported)
        return settleOrReport(now, *authority, *view.unreported);
    m_settlement.reset();
    return freeze(now, wallMs, *authority, view);
}

std::optional<usage_action> window_reporter::settleOrReport(instant now,
                                                            const leadership &authority,
                                                            const state::frozen_window &window)
{
    if (m_settlement && m_settlement->windowStartMs == window.windowStartMs) {
        return submit("settle-window-" + std::to_string(window.windowStartMs), *m_settlement);
    }
    m_settlement.reset();
    if (now < authority.ordersAllowedFrom || now + m_times.sendTimeout > authority.leaseEnd)
        return std::nullopt;
    m_reportedWindowStartMs = window.windowStartMs;
    m_ticket = ++m_lastTicket;
    return report_window{m_ticket, m_fence, now, window};
}

std::optional<usage_action> window_reporter::freeze(instant now, std::int64_t wallMs,
                                                    const leadership &authority,
                                                    const state::usage_view &view)
{
    const std::int64_t length = m_times.window.count();
    const std::int64_t offset = view.hasFrozenWindow ? 0 : view.nextStartMs % length;
    const std::int64_t startMs = view.nextStartMs - offset;
    const std::int64_t endMs = startMs + length;
    if (view.nextStartMs == 0 || wallMs < endMs + m_times.gracePeriod.count())
        return std::nullopt;
    if (view.watermarkMs < endMs) {
        warnOfBlockedWindow(now, startMs, view);
        return std::nullopt;
    }
    m_events.record(windowFrozen, {{"window", startMs}, {"fence", authority.fence}});
    return submit("freeze-window-" + std::to_string(startMs),
                  state::freeze_window{startMs, authority.fence, length});
}

void window_reporter::warnOfBlockedWindow(instant now, std::int64_t startMs,
                                          const state::usage_view &view)
{
    if (m_blockedWindowStartMs != startMs) {
        m_blockedWindowStartMs = startMs;
        m_blockedSince = now;
    }
    if (now - m_blockedSince < m_times.waitWarningInterval)
        return;
    m_blockedSince = now;
    std::string entries;
    for (const std::string &entry : view.laggingEntries)
        entries += (entries.empty() ? "" : " ") + entry;
    m_events.record(windowWaits, {{"window", startMs}, {"entries", entries}});
}

orders::submit_command window_reporter::submit(std::string operationId,
                                               state::command::body_type body)
{
    m_ticket = ++m_lastTicket;
    return {m_ticket, {std::move(operationId), std::move(body)}};
}

bool window_reporter::takeTicket(std::uint64_t ticket)
{
    if (ticket != m_ticket)
        return false;
    m_ticket = 0;
    return true;
}

void window_reporter::scheduleRetry(instant now)
{
    m_retryDelay = std::clamp(2 * m_retryDelay, m_times.retryInterval, m_times.maxRetryDelay);
    m_notBefore = now + m_retryDelay;
}

void window_reporter::onReportResult(instant now, std::uint64_t ticket,
                                     const std::optional<orders::usage_reply> &reply)
{
    if (!takeTicket(ticket))
        return;
    if (!reply) {
        m_events.record(windowAnswerLost, {{"window", m_reportedWindowStartMs}});
        scheduleRetry(now);
        return;
    }
    m_retryDelay = {};
    const bool differs = *reply == orders::usage_reply::Differs;
    m_events.record(differs ? windowDiffers : windowReported,
                    {{"window", m_reportedWindowStartMs}});
    m_settlement = state::settle_window{m_reportedWindowStartMs, differs};
}

void window_reporter::onSubmitResult(instant now, std::uint64_t ticket, bool accepted)
{
    if (takeTicket(ticket) && !accepted)
        m_notBefore = now + m_times.retryInterval;
}

} // namespace yuccascale::kernel::usage

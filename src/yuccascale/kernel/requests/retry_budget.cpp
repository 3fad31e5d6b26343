#include "yuccascale/kernel/requests/retry_budget.hpp"

namespace yuccascale::kernel::requests {

namespace {

/// Slots per window; requests and retries expire one slot at a time.
constexpr int slotsPerWindow = 20;

} // namespace

retry_budget::slot &retry_budget::slotAt(instant now)
{
    m_latestTime = now;
    if (m_startedAt == instant{})
        m_startedAt = now;
    const nanoseconds width = m_limits.window / slotsPerWindow;
    // a slot is kept until even its latest retry is outside the window
    while (!m_slots.empty() && m_slots.front().begin + m_limits.window + width <= now) {
        m_requests -= m_slots.front().requests;
        m_retries -= m_slots.front().retries;
        m_slots.pop_front();
    }
    if (m_slots.empty() || m_slots.back().begin + width <= now)
        m_slots.push_back({now, 0, 0});
    return m_slots.back();
}

double retry_budget::burst(instant now) const noexcept
{
    const bool burstWithheld = m_limits.slowStart && now < m_startedAt + m_limits.window;
    return burstWithheld ? 0 : m_limits.burst;
}

void retry_budget::recordFirstAttempt(instant now)
{
    ++slotAt(now).requests;
    ++m_requests;
}

bool retry_budget::tryAcquire(instant now)
{
    slot &current = slotAt(now);
    if (m_retries + 1 > m_limits.share * m_requests + burst(now))
        return false;
    ++current.retries;
    ++m_retries;
    return true;
}

nanoseconds retry_budget::timeUntilRetry() const noexcept
{
    for (const slot &one : m_slots) {
        if (one.retries > 0)
            return one.begin + m_limits.window - m_latestTime;
    }
    return m_limits.window / slotsPerWindow;
}

} // namespace yuccascale::kernel::requests

#include "yuccascale/kernel/requests/circuit_breaker.hpp"

#include <algorithm>
#include <bit>

namespace yuccascale::kernel::requests {

bool circuit_breaker::allows(instant now, int outstanding) const noexcept
{
    if (!m_open)
        return true;
    const int trialsAtOnce = 1 << m_trialsAnswered;
    return now >= m_halfOpenAt && outstanding < trialsAtOnce;
}

void circuit_breaker::recordAnswer(bool failed) noexcept
{
    const std::uint32_t observedMask = (1U << static_cast<unsigned>(m_limits.observedAnswers)) - 1;
    m_recentFailures = ((m_recentFailures << 1U) | (failed ? 1U : 0U)) & observedMask;
}

bool circuit_breaker::succeeded(instant now, instant sentAt) noexcept
{
    if (!m_open) {
        recordAnswer(false);
        return false;
    }
    if (sentAt < m_halfOpenAt)
        return false;
    ++m_trialsAnswered;
    if (m_trialsAnswered < m_limits.trialsToClose)
        return false;
    m_open = false;
    m_closedAt = now;
    m_recentFailures = 0;
    return true;
}

bool circuit_breaker::failed(instant now, bool crashed) noexcept
{
    m_trialsAnswered = 0;
    if (m_open) {
        // requests sent before it opened may fail later; only a failed trial extends the open time
        if (now < m_halfOpenAt)
            return false;
        m_openTime = std::min(2 * m_openTime, m_limits.maxOpenTime);
        m_halfOpenAt = now + m_openTime;
        return false;
    }
    recordAnswer(true);
    if (!crashed && std::popcount(m_recentFailures) < m_limits.failuresToOpen)
        return false;
    openAt(now);
    return true;
}

void circuit_breaker::openAt(instant now) noexcept
{
    const bool reopenedSoon
            = m_openTime > nanoseconds::zero() && now - m_closedAt < m_limits.openTimeResetAfter;
    m_openTime = reopenedSoon ? std::min(2 * m_openTime, m_limits.maxOpenTime)
                              : m_limits.initialOpenTime;
    m_open = true;
    m_halfOpenAt = now + m_openTime;
}

} // namespace yuccascale::kernel::requests

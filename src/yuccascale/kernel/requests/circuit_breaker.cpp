#include "yuccascale/kernel/requests/circuit_breaker.hpp"

#include <algorithm>
#include <bit>

namespace yuccascale::kernel::requests {

bool circuit_breaker::allows(instant now, int outstanding) const noexcept
{
    if (!m_open)
        return true;
    const int trialsAtOnce = 1 << m_trialsAnswered;
    return now >= m_trialAt && outstanding < trialsAtOnce;
}

void circuit_breaker::note(bool failed) noexcept
{
    const std::uint32_t watched = (1U << static_cast<unsigned>(m_limits.answersWatched)) - 1;
    m_recent = ((m_recent << 1U) | (failed ? 1U : 0U)) & watched;
}

bool circuit_breaker::succeeded(instant now, instant sentAt) noexcept
{
    if (!m_open) {
        note(false);
        return false;
    }
    if (sentAt < m_trialAt)
        return false;
    ++m_trialsAnswered;
    if (m_trialsAnswered < m_limits.trialsToClose)
        return false;
    m_open = false;
    m_closedAt = now;
    m_recent = 0;
    return true;
}

bool circuit_breaker::failed(instant now, bool crashed) noexcept
{
    m_trialsAnswered = 0;
    if (m_open) {
        // requests sent before it opened fail late; only a failed trial lengthens the pause
        if (now < m_trialAt)
            return false;
        m_pause = std::min(2 * m_pause, m_limits.longestPause);
        m_trialAt = now + m_pause;
        return false;
    }
    note(true);
    if (!crashed && std::popcount(m_recent) < m_limits.failuresToOpen)
        return false;
    openAt(now);
    return true;
}

void circuit_breaker::openAt(instant now) noexcept
{
    const bool again = m_pause > nanoseconds::zero() && now - m_closedAt < m_limits.pauseMemory;
    m_pause = again ? std::min(2 * m_pause, m_limits.longestPause) : m_limits.firstPause;
    m_open = true;
    m_trialAt = now + m_pause;
}

} // namespace yuccascale::kernel::requests

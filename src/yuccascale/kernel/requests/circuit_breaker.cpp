#include "yuccascale/kernel/requests/circuit_breaker.hpp"

#include <algorithm>

namespace yuccascale::kernel::requests {

bool circuit_breaker::allows(instant now, int outstanding) const noexcept
{
    if (!m_open)
        return true;
    const int trialsAtOnce = 1 << m_trialsAnswered;
    return now >= m_trialAt && outstanding < trialsAtOnce;
}

bool circuit_breaker::succeeded() noexcept
{
    m_failures = 0;
    if (!m_open)
        return false;
    ++m_trialsAnswered;
    if (m_trialsAnswered < m_limits.trialsToClose)
        return false;
    m_open = false;
    m_pause = {};
    return true;
}

bool circuit_breaker::failed(instant now, bool crashed) noexcept
{
    ++m_failures;
    m_trialsAnswered = 0;
    if (m_open) {
        // requests sent before it opened fail late; only a failed trial lengthens the pause
        if (now < m_trialAt)
            return false;
        m_pause = std::min(2 * m_pause, m_limits.longestPause);
        m_trialAt = now + m_pause;
        return false;
    }
    if (!crashed && m_failures < m_limits.failuresToOpen)
        return false;
    m_open = true;
    m_pause = m_limits.firstPause;
    m_trialAt = now + m_pause;
    return true;
}

} // namespace yuccascale::kernel::requests

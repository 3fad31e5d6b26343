#include "yuccascale/kernel/requests/retry_budget.hpp"

#include <algorithm>

namespace yuccascale::kernel::requests {

void retry_budget::refill(instant now) noexcept
{
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_tokens = std::min(m_limits.burst, m_tokens + elapsed.count() * m_limits.perSecond);
    m_refilledAt = now;
}

void retry_budget::firstAttempt(instant now) noexcept
{
    refill(now);
    m_tokens = std::min(m_limits.burst, m_tokens + m_limits.share);
}

bool retry_budget::take(instant now) noexcept
{
    refill(now);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

nanoseconds retry_budget::wait() const noexcept
{
    const double missing = std::max(0.0, 1 - m_tokens);
    const std::chrono::duration<double> time(missing / m_limits.perSecond);
    return std::chrono::duration_cast<nanoseconds>(time);
}

} // namespace yuccascale::kernel::requests

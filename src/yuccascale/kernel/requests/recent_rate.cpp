#include "yuccascale/kernel/requests/recent_rate.hpp"

#include <algorithm>
#include <cmath>

namespace yuccascale::kernel::requests {

namespace {

[[nodiscard]] double inSeconds(nanoseconds time) noexcept
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void recent_rate::add(instant now, double amount) noexcept
{
    m_sum = faded(now) + amount;
    m_at = std::max(now, m_at);
}

double recent_rate::perSecond(instant now) const noexcept
{
    return std::max(faded(now), 0.0) / inSeconds(m_memory);
}

double recent_rate::faded(instant now) const noexcept
{
    const nanoseconds age = std::max(now - m_at, nanoseconds::zero());
    return m_sum * std::exp(-inSeconds(age) / inSeconds(m_memory));
}

std::int64_t windowed_sum::numberOf(instant now) const noexcept
{
    const auto slotTime = std::max<std::int64_t>(
            m_window.count() / static_cast<std::int64_t>(slotsPerWindow), 1);
    return now.time_since_epoch().count() / slotTime;
}

void windowed_sum::add(instant now, double amount) noexcept
{
    const std::int64_t number = numberOf(now);
    slot &current = m_slots.at(static_cast<std::size_t>(number) % m_slots.size());
    if (current.number != number)
        current = {number, 0};
    current.sum += amount;
}

double windowed_sum::sum(instant now) const noexcept
{
    const std::int64_t number = numberOf(now);
    double sum = 0;
    for (const slot &past : m_slots) {
        if (past.number >= 0 && number - past.number <= static_cast<std::int64_t>(slotsPerWindow))
            sum += past.sum;
    }
    return sum;
}

} // namespace yuccascale::kernel::requests

#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <cmath>

/// \file
/// \brief Rate of recent requests.

namespace yuccascale::kernel::policy {

/// \brief Counts requests, with less weight for older ones.
class request_rate
{
public:
    void add(instant now) noexcept
    {
        m_count = countAt(now) + 1;
        m_countedAt = now;
    }

    [[nodiscard]] double perSecond(instant now) const noexcept
    {
        return countAt(now) / windowSeconds;
    }

private:
    static constexpr double windowSeconds = 2.0;

    [[nodiscard]] double countAt(instant now) const noexcept
    {
        const double age = std::chrono::duration<double>(now - m_countedAt).count();
        return age > 0 ? m_count * std::exp(-age / windowSeconds) : m_count;
    }

    double m_count = 0;
    instant m_countedAt{};
};

} // namespace yuccascale::kernel::policy

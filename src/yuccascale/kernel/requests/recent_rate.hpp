#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <array>
#include <cstddef>

/// \file
/// \brief Amounts over the recent past.

namespace yuccascale::kernel::requests {

/// \brief A rate whose memory fades exponentially.
class recent_rate
{
public:
    explicit recent_rate(nanoseconds memory) noexcept
        : m_memory(memory)
    { }

    void add(instant now, double amount) noexcept;
    [[nodiscard]] double perSecond(instant now) const noexcept;

private:
    [[nodiscard]] double faded(instant now) const noexcept;

    nanoseconds m_memory;
    double m_sum = 0;
    instant m_at{};
};

/// \brief The sum of what was added within a window, in slots of an eighth of it.
class windowed_sum
{
public:
    explicit windowed_sum(nanoseconds window) noexcept
        : m_window(window)
    { }

    void add(instant now, double amount) noexcept;

    /// \returns the sum over the window; it forgets up to one slot later.
    [[nodiscard]] double sum(instant now) const noexcept;

private:
    static constexpr std::size_t slotsPerWindow = 8;

    struct slot
    {
        std::int64_t number = -1;
        double sum = 0;
    };

    [[nodiscard]] std::int64_t numberOf(instant now) const noexcept;

    nanoseconds m_window;
    std::array<slot, slotsPerWindow + 1> m_slots;
};

} // namespace yuccascale::kernel::requests

#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

/// \file
/// \brief Simulated time in seconds, with events run in order of time.

namespace yuccascale::measure {

class event_loop
{
public:
    [[nodiscard]] double seconds() const noexcept { return m_now; }
    [[nodiscard]] kernel::instant now() const noexcept { return toInstant(m_now); }

    [[nodiscard]] static kernel::instant toInstant(double atSeconds) noexcept
    {
        return kernel::instant(kernel::nanoseconds(static_cast<std::int64_t>(atSeconds * 1e9)));
    }

    void scheduleAfter(double delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, m_nextSequence++, std::move(action)});
    }

    void run(double until)
    {
        while (!m_events.empty() && m_events.top().atSeconds <= until) {
            const event nextEvent = m_events.top();
            m_events.pop();
            m_now = nextEvent.atSeconds;
            nextEvent.action();
        }
        m_now = until;
    }

private:
    struct event
    {
        double atSeconds;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const event &other) const noexcept
        {
            return atSeconds != other.atSeconds ? atSeconds > other.atSeconds
                                                : sequence > other.sequence;
        }
    };

    double m_now = 0;
    std::uint64_t m_nextSequence = 0;
    std::priority_queue<event> m_events;
};

} // namespace yuccascale::measure

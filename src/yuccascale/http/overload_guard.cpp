#include "yuccascale/http/overload_guard.hpp"

#include "yuccascale/http/events.hpp"

namespace yuccascale::http {

namespace {

constexpr kernel::seconds recordInterval{1};

} // namespace

overload_guard::overload_guard(net::io_context &loop, const kernel::clock &clock,
                               kernel::event_sink &events)
    : m_clock(clock)
    , m_events(events)
    , m_lag(loop, clock)
{ }

bool overload_guard::admit()
{
    m_lag.touch();
    const kernel::nanoseconds lag = m_lag.lag();
    const kernel::instant now = m_clock.now();
    if (m_shedder.admit(now, lag))
        return true;
    ++m_refused;
    if (now < m_nextRecordAt)
        return false;
    m_nextRecordAt = now + recordInterval;
    const auto lagMs = std::chrono::duration_cast<kernel::milliseconds>(lag).count();
    m_events.record(entryOverloaded, {{"lag_ms", lagMs}, {"refused", m_refused.load()}});
    return false;
}

} // namespace yuccascale::http

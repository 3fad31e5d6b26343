#include "yuccascale/net/loop_lag.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace yuccascale::net {

namespace {

/// After this time without a measurement the loop has been idle.
constexpr kernel::seconds idleAfter{1};
/// Above it the loop is measured again at once, until it is in time.
constexpr kernel::milliseconds noticeableLag{10};

} // namespace

loop_lag::loop_lag(io_context &loop, const kernel::clock &clock)
    : m_loop(loop)
    , m_clock(clock)
    , m_measured(std::make_shared<measurements>())
{ }

void loop_lag::touch()
{
    if (!m_measured->running)
        begin(m_loop, m_clock, m_measured);
}

void loop_lag::begin(io_context &loop, const kernel::clock &clock,
                     const std::shared_ptr<measurements> &measured)
{
    measured->running = true;
    measured->beganAt = clock.now();
    boost::asio::post(loop, [&loop, &clock, measured] {
        end(clock.now(), *measured);
        if (measured->last > noticeableLag)
            begin(loop, clock, measured);
    });
}

void loop_lag::end(kernel::instant now, measurements &measured)
{
    measured.last = now - measured.beganAt;
    measured.longest = std::max(measured.longest.load(), measured.last);
    measured.endedAt = now;
    measured.running = false;
}

kernel::nanoseconds loop_lag::lag() const
{
    const kernel::instant now = m_clock.now();
    const bool idle = now - m_measured->endedAt > idleAfter;
    const kernel::nanoseconds last = idle ? kernel::nanoseconds::zero() : m_measured->last;
    return m_measured->running ? std::max(last, now - m_measured->beganAt) : last;
}

kernel::nanoseconds loop_lag::takeLongest()
{
    return m_measured->longest.exchange(kernel::nanoseconds::zero());
}

} // namespace yuccascale::net

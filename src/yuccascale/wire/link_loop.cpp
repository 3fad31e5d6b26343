#include "yuccascale/wire/link_loop.hpp"

namespace yuccascale::wire {

namespace {

constexpr std::size_t receiveBufferBytes = std::size_t{64} << 10U;
/// Later deadlines are rounded up to whole seconds, so that idle links share their wake-ups.
constexpr std::chrono::seconds exactDeadlines{5};

loop_time rounded(loop_time now, loop_time when)
{
    if (when - now < exactDeadlines)
        return when;
    return std::chrono::ceil<std::chrono::seconds>(when);
}

} // namespace

link_loop::link_loop()
    : m_guard(boost::asio::make_work_guard(m_context))
    , m_timer(m_context)
    , m_receiveBuffer(receiveBufferBytes)
{ }

link_loop::~link_loop()
{
    stop();
}

void link_loop::start()
{
    m_thread = std::thread([this] { m_context.run(); });
}

void link_loop::stop()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

loop_time link_loop::watch(std::weak_ptr<watched> subject, loop_time when)
{
    const loop_time scheduled = rounded(std::chrono::steady_clock::now(), when);
    m_deadlines.emplace(scheduled, std::move(subject));
    armTimer();
    return scheduled;
}

void link_loop::armTimer()
{
    if (m_deadlines.empty() || m_deadlines.begin()->first >= m_armedFor)
        return;
    m_armedFor = m_deadlines.begin()->first;
    m_timer.expires_at(m_armedFor);
    m_timer.async_wait([this](const boost::system::error_code &problem) {
        if (problem)
            return;
        m_armedFor = loop_time::max();
        runDue();
        armTimer();
    });
}

void link_loop::runDue()
{
    const loop_time now = std::chrono::steady_clock::now();
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto [scheduled, subject] = *m_deadlines.begin();
        m_deadlines.erase(m_deadlines.begin());
        if (const std::shared_ptr<watched> alive = subject.lock())
            alive->deadlineReached(scheduled);
    }
}

} // namespace yuccascale::wire

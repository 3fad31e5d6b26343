#include "yuccascale/runtime/periodic_task.hpp"

#include <utility>

namespace yuccascale::runtime {

periodic_task::periodic_task(kernel::milliseconds interval, std::function<void()> work)
    : m_interval(interval)
    , m_work(std::move(work))
{ }

periodic_task::~periodic_task()
{
    stop();
}

void periodic_task::start()
{
    m_thread = std::thread([this] { run(); });
}

void periodic_task::runSoon()
{
    {
        const std::lock_guard lock(m_mutex);
        m_runRequested = true;
    }
    m_changed.notify_all();
}

void periodic_task::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void periodic_task::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait_for(lock, m_interval, [&] { return m_stopped || m_runRequested; });
        if (m_stopped)
            return;
        m_runRequested = false;
        lock.unlock();
        m_work();
        lock.lock();
    }
}

} // namespace yuccascale::runtime

#include "yuccascale/runtime/worker_pool.hpp"

#include <utility>

namespace yuccascale::runtime {

worker_pool::worker_pool(std::size_t maxThreads)
    : m_maxThreads(maxThreads)
{ }

worker_pool::~worker_pool()
{
    shutdown();
}

void worker_pool::run(task work)
{
    const std::scoped_lock guard(m_mutex);
    if (m_stopping)
        return;
    m_tasks.push_back(std::move(work));
    if (m_tasks.size() > m_idle && m_threads.size() < m_maxThreads)
        m_threads.emplace_back([this] { runTasks(); });
    m_wake.notify_one();
}

void worker_pool::runTasks()
{
    std::unique_lock guard(m_mutex);
    while (true) {
        ++m_idle;
        m_wake.wait(guard, [this] { return m_stopping || !m_tasks.empty(); });
        --m_idle;
        if (m_tasks.empty())
            return;
        task work = std::move(m_tasks.front());
        m_tasks.pop_front();
        guard.unlock();
        work();
        work = nullptr;
        guard.lock();
    }
}

void worker_pool::shutdown()
{
    std::vector<std::thread> threads;
    {
        const std::scoped_lock guard(m_mutex);
        m_stopping = true;
        threads.swap(m_threads);
    }
    m_wake.notify_all();
    for (std::thread &thread : threads)
        thread.join();
}

std::size_t worker_pool::load() const
{
    const std::scoped_lock guard(m_mutex);
    return m_tasks.size() + m_threads.size() - m_idle;
}

} // namespace yuccascale::runtime

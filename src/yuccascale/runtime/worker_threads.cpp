#include "yuccascale/runtime/worker_threads.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::runtime {

worker_threads::worker_threads(std::size_t maxThreads)
    : m_maxThreads(maxThreads)
{ }

worker_threads::~worker_threads()
{
    {
        const std::scoped_lock guard(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
}

std::shared_ptr<worker_threads::lane> worker_threads::open(std::size_t maxThreads)
{
    auto opened = std::make_shared<lane>();
    opened->maxThreads = maxThreads;
    const std::scoped_lock guard(m_mutex);
    m_lanes.push_back(opened);
    return opened;
}

void worker_threads::run(lane &pool, task work)
{
    {
        const std::scoped_lock guard(m_mutex);
        if (pool.closed)
            return;
        pool.waiting.push_back(std::move(work));
        addThreadIfNeeded();
    }
    m_wake.notify_one();
}

void worker_threads::close(const std::shared_ptr<lane> &pool)
{
    std::unique_lock guard(m_mutex);
    pool->closed = true;
    m_finished.wait(guard, [&] { return pool->waiting.empty() && pool->running == 0; });
    std::erase(m_lanes, pool);
    m_wake.notify_all(); // no thread is kept for it any more
}

std::size_t worker_threads::load(const lane &pool) const
{
    const std::scoped_lock guard(m_mutex);
    return pool.waiting.size() + pool.running;
}

std::size_t worker_threads::limit() const noexcept
{
    return std::max(m_maxThreads, m_lanes.size());
}

/// Requires m_mutex to be held.
bool worker_threads::mayRun(const lane &pool) const
{
    if (pool.waiting.empty() || pool.running >= pool.maxThreads)
        return false;
    const auto kept = std::ranges::count_if(m_lanes, [&](const std::shared_ptr<lane> &other) {
        return other.get() != &pool && other->running == 0;
    });
    const std::size_t spare = pool.running == 0 ? 0 : static_cast<std::size_t>(kept);
    return m_running + spare < limit();
}

/// Requires m_mutex to be held.
void worker_threads::addThreadIfNeeded()
{
    const bool allBusy = m_running == m_threads.size();
    if (allBusy && std::ranges::any_of(m_lanes, [&](const auto &pool) { return mayRun(*pool); }))
        m_threads.emplace_back([this] { runTasks(); });
}

/// Requires m_mutex to be held. \returns the pool whose turn it is; null when none may run a task.
std::shared_ptr<worker_threads::lane> worker_threads::nextLane()
{
    for (std::size_t tried = 0; tried < m_lanes.size(); ++tried) {
        m_lastLane = (m_lastLane + 1) % m_lanes.size();
        if (mayRun(*m_lanes[m_lastLane]))
            return m_lanes[m_lastLane];
    }
    return nullptr;
}

void worker_threads::runTasks()
{
    std::unique_lock guard(m_mutex);
    while (true) {
        const std::shared_ptr<lane> pool = nextLane();
        if (!pool && m_stopping)
            return;
        if (!pool) {
            m_wake.wait(guard);
            continue;
        }
        task work = std::move(pool->waiting.front());
        pool->waiting.pop_front();
        ++pool->running;
        ++m_running;
        addThreadIfNeeded();
        guard.unlock();
        work();
        work = nullptr;
        guard.lock();
        --pool->running;
        --m_running;
        m_finished.notify_all();
    }
}

} // namespace yuccascale::runtime

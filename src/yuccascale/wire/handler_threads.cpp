#include "yuccascale/wire/handler_threads.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::wire {

namespace {

/// Per channel. More would be answered after their callers have given up.
constexpr std::size_t maxWaitingTasks = 8'192;

} // namespace

handler_threads::handler_threads(std::size_t maxThreads)
    : m_maxThreads(std::max<std::size_t>(maxThreads, 1))
    , m_maxThreadsOfChannel(std::max<std::size_t>(m_maxThreads - 1, 1))
{ }

handler_threads::~handler_threads()
{
    stop();
}

void handler_threads::run(kernel::channel channel, task work)
{
    const std::lock_guard lock(m_mutex);
    add(m_lanes[channel], std::move(work));
}

bool handler_threads::tryRun(kernel::channel channel, task work)
{
    const std::lock_guard lock(m_mutex);
    lane &target = m_lanes[channel];
    if (target.waiting.size() >= maxWaitingTasks)
        return false;
    add(target, std::move(work));
    return true;
}

/// Requires m_mutex to be held.
void handler_threads::add(lane &target, task work)
{
    if (m_stopped)
        return;
    target.waiting.push_back(std::move(work));
    ++m_waiting;
    if (m_waiting > m_idle && m_threads.size() < m_maxThreads)
        m_threads.emplace_back([this] { runTasks(); });
    m_changed.notify_one();
}

void handler_threads::stop()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        for (auto &[channel, stopped] : m_lanes)
            stopped.waiting.clear();
        threads.swap(m_threads);
    }
    m_changed.notify_all();
    for (std::thread &thread : threads)
        thread.join();
}

/// Requires m_mutex to be held. \returns the channel after the last one in turn that may begin a
/// task; null when there is none.
handler_threads::lane *handler_threads::nextLane()
{
    auto candidate = m_lanes.upper_bound(m_lastChannel);
    for (std::size_t tried = 0; tried < m_lanes.size(); ++tried) {
        if (candidate == m_lanes.end())
            candidate = m_lanes.begin();
        lane &found = candidate->second;
        if (!found.waiting.empty() && found.running < m_maxThreadsOfChannel) {
            m_lastChannel = candidate->first;
            return &found;
        }
        ++candidate;
    }
    return nullptr;
}

void handler_threads::runTasks()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopped) {
        lane *const next = nextLane();
        if (next == nullptr) {
            ++m_idle;
            m_changed.wait(lock);
            --m_idle;
            continue;
        }
        task work = std::move(next->waiting.front());
        next->waiting.pop_front();
        --m_waiting;
        ++next->running;
        lock.unlock();
        work();
        work = nullptr;
        lock.lock();
        --next->running;
    }
}

} // namespace yuccascale::wire

#include "yuccascale/runtime/periodic_thread.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::runtime {

using std::chrono::steady_clock;

namespace {

constexpr std::chrono::hours longestSleep{1};

} // namespace

periodic_thread::~periodic_thread()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void periodic_thread::add(task &added)
{
    {
        const std::lock_guard lock(m_mutex);
        added.due = steady_clock::now();
        if (!added.runRequested)
            added.due += added.interval;
        m_tasks.push_back(&added);
        if (!m_thread.joinable())
            m_thread = std::thread([this] { run(); });
    }
    m_changed.notify_all();
}

void periodic_thread::runSoon(task &requested)
{
    {
        const std::lock_guard lock(m_mutex);
        requested.runRequested = true;
        requested.due = std::min(requested.due, steady_clock::now());
    }
    m_changed.notify_all();
}

void periodic_thread::runAgainAfter(task &running, std::chrono::nanoseconds delay)
{
    const std::lock_guard lock(m_mutex);
    running.nextDelay = delay;
}

void periodic_thread::remove(task &removed)
{
    std::unique_lock lock(m_mutex);
    std::erase(m_tasks, &removed);
    m_changed.wait(lock, [&] { return !removed.running; });
}

/// Requires m_mutex to be held. The longest overdue task comes first, so that one whose run is
/// requested again and again does not keep the others from running. \returns null when none is due.
periodic_thread::task *periodic_thread::dueTask(steady_clock::time_point now)
{
    const auto found = std::ranges::min_element(m_tasks, {}, &task::due);
    return found == m_tasks.end() || (*found)->due > now ? nullptr : *found;
}

/// Requires m_mutex to be held.
steady_clock::time_point periodic_thread::nextDue() const
{
    steady_clock::time_point next = steady_clock::now() + longestSleep;
    for (const task *waiting : m_tasks)
        next = std::min(next, waiting->due);
    return next;
}

void periodic_thread::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopped) {
        task *const due = dueTask(steady_clock::now());
        if (due == nullptr) {
            m_changed.wait_until(lock, nextDue());
            continue;
        }
        due->runRequested = false;
        due->running = true;
        lock.unlock();
        due->work();
        lock.lock();
        due->running = false;
        due->due = steady_clock::now();
        const auto early = std::exchange(due->nextDelay, {});
        if (!due->runRequested)
            due->due += early.count() > 0 ? std::min(early, due->interval) : due->interval;
        m_changed.notify_all();
    }
}

} // namespace yuccascale::runtime

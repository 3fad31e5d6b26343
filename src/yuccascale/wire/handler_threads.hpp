#pragma once

#include "yuccascale/kernel/transport.hpp"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

/// \file
/// \brief Threads that run the handlers of messages.

namespace yuccascale::wire {

/// \brief Runs tasks of several channels on threads that are started when they are needed. The
///        channels take turns, and one channel leaves at least one thread to the others.
class handler_threads
{
public:
    using task = std::function<void()>;

    explicit handler_threads(std::size_t maxThreads);
    ~handler_threads();
    handler_threads(const handler_threads &) = delete;
    handler_threads &operator=(const handler_threads &) = delete;

    /// \brief Queues a task.
    void run(kernel::channel channel, task work);

    /// \brief Queues a task unless too many of the channel wait.
    /// \returns whether it was queued.
    [[nodiscard]] bool tryRun(kernel::channel channel, task work);

    /// \brief Waits for the running tasks and drops the others.
    void stop();

private:
    struct lane
    {
        std::deque<task> waiting;
        std::size_t running = 0;
    };

    void add(lane &target, task work);
    void runTasks();
    [[nodiscard]] lane *nextLane();

    const std::size_t m_maxThreads;
    const std::size_t m_maxThreadsOfChannel;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<kernel::channel, lane> m_lanes;
    kernel::channel m_lastChannel{}; ///< whose task was begun last
    std::size_t m_waiting = 0;       ///< tasks of all channels
    std::size_t m_idle = 0;
    bool m_stopped = false;
    std::vector<std::thread> m_threads;
};

} // namespace yuccascale::wire

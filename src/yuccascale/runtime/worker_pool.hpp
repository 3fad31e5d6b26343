#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

/// \file
/// \brief Threads that are created on demand, up to a maximum.

namespace yuccascale::runtime {

/// \brief Runs tasks. While all threads are busy, tasks are queued.
class worker_pool
{
public:
    using task = std::function<void()>;

    explicit worker_pool(std::size_t maxThreads);

    /// \brief Runs the queued tasks and joins the threads.
    ~worker_pool();
    worker_pool(const worker_pool &) = delete;
    worker_pool &operator=(const worker_pool &) = delete;

    void run(task work);

    /// \brief Waits for all tasks and ends the threads; later tasks are dropped.
    void shutdown();

    /// \returns the number of running and queued tasks.
    [[nodiscard]] std::size_t load() const;

private:
    void runTasks();

    const std::size_t m_maxThreads;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<task> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_stopping = false;
};

} // namespace yuccascale::runtime

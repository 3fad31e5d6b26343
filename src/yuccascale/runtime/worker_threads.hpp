#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

/// \file
/// \brief The threads of a process for calls that wait, shared by several pools.

namespace yuccascale::runtime {

/// \brief Threads that are created on demand, up to a maximum. A thread is kept free for each pool
///        that runs nothing, so that calls of one pool that wait never hold up another pool.
class worker_threads
{
public:
    using task = std::function<void()>;

    /// \brief The tasks of one pool; guarded by the mutex of its threads.
    struct lane
    {
        std::size_t maxThreads = 1;
        std::size_t running = 0;
        std::deque<task> waiting = {};
        bool closed = false;
    };

    /// \param maxThreads raised to the number of pools when there are more
    explicit worker_threads(std::size_t maxThreads);

    /// \brief Joins the threads; all pools must have been closed.
    ~worker_threads();
    worker_threads(const worker_threads &) = delete;
    worker_threads &operator=(const worker_threads &) = delete;

    /// \brief Adds a pool that uses at most \a maxThreads threads at once.
    [[nodiscard]] std::shared_ptr<lane> open(std::size_t maxThreads);

    /// \brief Queues a task; dropped when the lane is closed.
    void run(lane &pool, task work);

    /// \brief Waits for all tasks of a pool and removes it; later tasks are dropped.
    void close(const std::shared_ptr<lane> &pool);

    /// \returns the number of running and queued tasks of a pool.
    [[nodiscard]] std::size_t load(const lane &pool) const;

private:
    void runTasks();
    void addThreadIfNeeded();
    [[nodiscard]] std::size_t limit() const noexcept;
    [[nodiscard]] bool mayRun(const lane &pool) const;
    [[nodiscard]] std::shared_ptr<lane> nextLane();

    const std::size_t m_maxThreads;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::condition_variable m_finished; ///< a task has ended
    std::vector<std::shared_ptr<lane>> m_lanes;
    std::size_t m_lastLane = 0;
    std::size_t m_running = 0;
    std::vector<std::thread> m_threads;
    bool m_stopping = false;
};

} // namespace yuccascale::runtime

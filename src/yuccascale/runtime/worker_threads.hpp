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

/// \brief Pools that share their reserved threads.
enum class worker_group {
    Polls,
    Callers,   ///< commits and questions on behalf of callers
    Operators, ///< calls of operators, and the leader's calls to the platform
};

/// \brief Threads of one pool.
struct thread_share
{
    std::size_t most = 1;     ///< at once
    std::size_t reserved = 1; ///< that only pools of the same group may use
    worker_group group = worker_group::Polls;
};

/// \brief Threads that are created on demand, up to a maximum. Each group of pools has a
///        number of reserved threads, the largest that one of its pools wants, so that calls of
///        other groups that wait do not hold it up. The remaining threads are used by any pool.
class worker_threads
{
public:
    using task = std::function<void()>;

    /// \brief The tasks of one pool; guarded by the mutex of its threads.
    struct lane
    {
        thread_share share;
        std::size_t running = 0;
        std::deque<task> waiting = {};
        bool closed = false;
    };

    /// \param maxThreads raised to the sum of the reserved threads when that is more
    explicit worker_threads(std::size_t maxThreads);

    /// \brief Joins the threads; all pools must have been closed.
    ~worker_threads();
    worker_threads(const worker_threads &) = delete;
    worker_threads &operator=(const worker_threads &) = delete;

    /// \brief Adds a pool. Its reservation holds for tasks that begin later.
    [[nodiscard]] std::shared_ptr<lane> open(thread_share share);

    /// \brief Queues a task; dropped when the lane is closed.
    void run(lane &pool, task work);

    /// \brief Waits for all tasks of a pool and removes it; later tasks are dropped.
    void close(const std::shared_ptr<lane> &pool);

    /// \returns the number of running and queued tasks of a pool.
    [[nodiscard]] std::size_t load(const lane &pool) const;

private:
    /// Threads of one group.
    struct usage
    {
        std::size_t running = 0;
        std::size_t reserved = 0;
    };

    void runTasks();
    void addThreadIfNeeded();
    [[nodiscard]] usage usageOf(worker_group group) const;
    [[nodiscard]] std::size_t limit() const;
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

#pragma once

#include "yuccascale/runtime/worker_pool.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>
#include <vector>

/// \file
/// \brief Threads for the blocking calls of the leader's duties.

namespace yuccascale::runtime {

/// \brief Runs jobs on up to a number of threads. Each job returns a completion, which handles its
///        outcome; the owner runs the completions on its own thread.
class duties_workers
{
public:
    using completion = std::function<void()>;
    using job = std::function<completion()>;

    /// \param shared threads that other pools use too; null: threads of its own
    explicit duties_workers(std::size_t threads, std::shared_ptr<worker_threads> shared = nullptr);

    /// \brief Waits for the running jobs and discards the queued ones.
    ~duties_workers();
    duties_workers(const duties_workers &) = delete;
    duties_workers &operator=(const duties_workers &) = delete;

    /// \brief Queues a job.
    void run(job newJob);

    /// \returns the completions since the last call, in the order in which the jobs finished.
    [[nodiscard]] std::vector<completion> takeCompletions();

private:
    std::mutex m_mutex;
    std::vector<completion> m_completions;
    std::atomic<bool> m_stopped{false};
    worker_pool m_pool;
};

} // namespace yuccascale::runtime

#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

/// \file
/// \brief Threads for the blocking calls of the leader's duties.

namespace yuccascale::runtime {

/// \brief Runs jobs on a fixed number of threads. Each job returns a completion, which handles its
///        outcome; the owner runs the completions on its own thread.
class duties_workers
{
public:
    using completion = std::function<void()>;
    using job = std::function<completion()>;

    explicit duties_workers(std::size_t threads);

    /// \brief Waits for the running jobs and discards the queued ones.
    ~duties_workers();
    duties_workers(const duties_workers &) = delete;
    duties_workers &operator=(const duties_workers &) = delete;

    /// \brief Queues a job.
    void run(job newJob);

    /// \returns the completions since the last call, in the order in which the jobs finished.
    [[nodiscard]] std::vector<completion> takeCompletions();

private:
    void runJobs();

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<job> m_jobs;
    std::vector<completion> m_completions;
    bool m_stopped = false;
    std::vector<std::thread> m_threads;
};

} // namespace yuccascale::runtime

#pragma once

#include "yuccascale/runtime/worker_threads.hpp"

#include <cstddef>
#include <memory>
#include <mutex>

/// \file
/// \brief A queue of tasks with a maximum number of threads.

namespace yuccascale::runtime {

/// \brief Runs tasks. While all threads are busy, tasks are queued. Among shared threads, one is
/// kept
///        for it from its first task on.
class worker_pool
{
public:
    using task = worker_threads::task;

    /// \param shared threads that other pools use too; null: threads of its own
    explicit worker_pool(std::size_t maxThreads, std::shared_ptr<worker_threads> shared = nullptr);

    /// \brief Waits for all tasks.
    ~worker_pool();
    worker_pool(const worker_pool &) = delete;
    worker_pool &operator=(const worker_pool &) = delete;

    void run(task work);

    /// \brief Waits for all tasks; later tasks are dropped.
    void shutdown();

    /// \returns the number of running and queued tasks.
    [[nodiscard]] std::size_t load() const;

private:
    const std::size_t m_maxThreads;
    const std::shared_ptr<worker_threads> m_threads;
    mutable std::mutex m_mutex;
    std::shared_ptr<worker_threads::lane> m_lane; ///< null before the first task
    bool m_stopping = false;
};

} // namespace yuccascale::runtime

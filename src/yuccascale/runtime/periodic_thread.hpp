#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

/// \file
/// \brief A thread for short work at fixed intervals.

namespace yuccascale::runtime {

/// \brief Runs the work of several tasks, one at a time. The thread is started with the first task.
class periodic_thread
{
public:
    /// \brief A task; its fields are guarded by the mutex of the thread.
    struct task
    {
        std::chrono::nanoseconds interval{};
        std::function<void()> work;
        std::chrono::steady_clock::time_point due = {};
        bool running = false;
        bool runRequested = false;            ///< also before it was added
        std::chrono::nanoseconds nextDelay{}; ///< of the next run, if that is to come early; else 0
    };

    periodic_thread() = default;

    /// \brief Joins the thread; all tasks must have been removed.
    ~periodic_thread();
    periodic_thread(const periodic_thread &) = delete;
    periodic_thread &operator=(const periodic_thread &) = delete;

    /// \brief Runs \a added after each interval, counted from the end of its last run.
    void add(task &added);

    /// \brief Makes the thread run the task now.
    void runSoon(task &requested);

    /// \brief Called by the work of the task: its next run comes after \a delay at the latest.
    void runAgainAfter(task &running, std::chrono::nanoseconds delay);

    /// \brief Waits for a run in progress; the task is not run any more.
    void remove(task &removed);

private:
    void run();
    [[nodiscard]] task *dueTask(std::chrono::steady_clock::time_point now);
    [[nodiscard]] std::chrono::steady_clock::time_point nextDue() const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<task *> m_tasks;
    bool m_stopped = false;
    std::thread m_thread;
};

} // namespace yuccascale::runtime

#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

/// \file
/// \brief A thread that runs a function at a fixed interval.

namespace yuccascale::runtime {

/// \brief Runs a function at an interval until stopped or destroyed.
///
/// \example
///     periodic_task poll(500ms, [&] { pollOnce(); });
///     poll.start();
class periodic_task
{
public:
    periodic_task(kernel::milliseconds interval, std::function<void()> work);
    ~periodic_task();
    periodic_task(const periodic_task &) = delete;
    periodic_task &operator=(const periodic_task &) = delete;

    void start();

    /// \brief Makes the thread run the function now instead of at the end of the interval.
    void runSoon();

    /// \brief Waits for a run in progress and ends the thread.
    void stop();

private:
    void run();

    kernel::milliseconds m_interval;
    std::function<void()> m_work;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopped = false;
    bool m_runRequested = false;
    std::thread m_thread;
};

} // namespace yuccascale::runtime

#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/runtime/periodic_thread.hpp"

#include <functional>
#include <memory>

/// \file
/// \brief A function that runs at a fixed interval.

namespace yuccascale::runtime {

/// \brief Runs a function at an interval until stopped or destroyed.
///
/// \example
///     periodic_task poll(500ms, [&] { pollOnce(); });
///     poll.start();
class periodic_task
{
public:
    /// \param shared runs other tasks too, so \a work must not wait; null: a thread of its own
    periodic_task(kernel::milliseconds interval, std::function<void()> work,
                  std::shared_ptr<periodic_thread> shared = nullptr);
    ~periodic_task();
    periodic_task(const periodic_task &) = delete;
    periodic_task &operator=(const periodic_task &) = delete;

    void start();

    /// \brief Makes the thread run the function now instead of at the end of the interval.
    void runSoon();

    /// \brief Called by the function: it runs again after \a delay at the latest.
    void runAgainAfter(kernel::milliseconds delay);

    /// \brief Waits for a run in progress; the function is not run any more.
    void stop();

private:
    const std::shared_ptr<periodic_thread> m_thread;
    periodic_thread::task m_task;
};

} // namespace yuccascale::runtime

#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <span>
#include <thread>
#include <utility>
#include <vector>

/// \file
/// \brief The event loop of links: one thread, and one timer for the deadlines of all connections.

namespace yuccascale::wire {

using loop_time = std::chrono::steady_clock::time_point;

/// \brief Something that has deadlines on a loop.
class watched
{
public:
    virtual ~watched() = default;

    /// \brief Called on the loop's thread at or after \a scheduled, which link_loop::watch() has
    ///        returned.
    virtual void deadlineReached(loop_time scheduled) = 0;
};

/// \brief An event loop with one thread.
class link_loop
{
public:
    using io_context = boost::asio::io_context;

    link_loop();
    ~link_loop();
    link_loop(const link_loop &) = delete;
    link_loop &operator=(const link_loop &) = delete;

    /// \brief Starts the thread. What was posted before runs then.
    void start();

    /// \brief Stops and joins the thread; queued work is dropped.
    void stop();

    /// \brief Runs \a work on the loop's thread.
    template<typename Work>
    void post(Work &&work)
    {
        boost::asio::post(m_context, std::forward<Work>(work));
    }

    [[nodiscard]] io_context &context() noexcept { return m_context; }

    /// \brief Calls deadlineReached() once, at \a when at the earliest, unless \a subject is
    ///        destroyed before. Called on the loop's thread only.
    /// \returns the time that deadlineReached() will get, which may be up to a second later.
    loop_time watch(std::weak_ptr<watched> subject, loop_time when);

    /// \returns memory for received bytes that is valid until the caller returns to the loop.
    [[nodiscard]] std::span<char> receiveBuffer() noexcept { return m_receiveBuffer; }

private:
    void armTimer();
    void runDue();

    io_context m_context{1};
    boost::asio::executor_work_guard<io_context::executor_type> m_guard;
    boost::asio::steady_timer m_timer;
    std::multimap<loop_time, std::weak_ptr<watched>> m_deadlines;
    loop_time m_armedFor = loop_time::max();
    std::vector<char> m_receiveBuffer;
    std::thread m_thread;
};

} // namespace yuccascale::wire

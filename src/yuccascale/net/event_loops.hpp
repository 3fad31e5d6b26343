#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

/// \file
/// \brief Event loops for sockets and timers, and their threads.

namespace yuccascale::net {

using io_context = boost::asio::io_context;

/// \brief Event loops with one thread each. A connection stays on its loop until it is closed.
///
/// \example
///     event_loops loops(2);
///     http_server server(loops, limits, handler);
///     loops.start();
class event_loops
{
public:
    /// \param onException called on a loop's thread when work has thrown; the loop goes on with the
    ///        rest, and the request that it worked on ends by its timeout. Null: the process ends.
    explicit event_loops(std::size_t count,
                         std::function<void(const std::string &problem)> onException = nullptr);
    ~event_loops();
    event_loops(const event_loops &) = delete;
    event_loops &operator=(const event_loops &) = delete;

    /// \brief Starts the threads.
    void start();

    /// \brief Stops and joins the threads; queued work is dropped.
    void stop();

    /// \returns the next loop, round robin.
    [[nodiscard]] io_context &next() noexcept;

    [[nodiscard]] io_context &at(std::size_t index) noexcept { return *m_contexts[index]; }
    [[nodiscard]] std::size_t size() const noexcept { return m_contexts.size(); }

private:
    using work_guard = boost::asio::executor_work_guard<io_context::executor_type>;

    void run(io_context &context) const;

    const std::function<void(const std::string &problem)> m_onException;
    std::vector<std::unique_ptr<io_context>> m_contexts;
    std::vector<work_guard> m_guards;
    std::vector<std::thread> m_threads;
    std::atomic<std::size_t> m_next{0};
};

} // namespace yuccascale::net

#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/error.hpp"
#include "yuccascale/net/http_exchange.hpp"
#include "yuccascale/net/memory_budget.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

/// \file
/// \brief An event-driven HTTP/1.1 server.

namespace yuccascale::net {

/// \brief Limits on sizes, times and number of connections.
struct http_limits
{
    std::size_t headerBytes = 16U << 10U;
    std::size_t headerFields = 128;
    std::uint64_t bodyBytes = 8U << 20U;
    kernel::milliseconds readTimeout{10'000};  ///< for the rest of a request after its first byte
    kernel::milliseconds idleTimeout{15'000};  ///< between two requests
    kernel::milliseconds writeTimeout{10'000}; ///< without progress of an answer
    /// Further ones are refused, also while the process's servers together hold most of its
    /// descriptors.
    std::size_t connections = 3'000;
    /// Of the body of a request, while it is served; charged to the memory budget.
    std::size_t copiesOfBody = 2;
};

/// \brief Serves HTTP on one or more addresses. The handler runs on the connection's loop.
///
/// A request with both Content-Length and chunked encoding, with an ambiguous length, or with a
/// malformed line is refused and its connection closed; nothing of it reaches the handler.
///
/// While the memory budget is used up, requests that are not received whole are refused with 503,
/// and connections whose callers do not read their answers are closed.
class http_server
{
public:
    /// \param memory shared by the servers of a process; null: unlimited
    http_server(event_loops &loops, const http_limits &limits, http_handler handler,
                std::shared_ptr<memory_budget> memory = nullptr);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// \brief Starts to listen on IP:port; port 0 picks one.
    /// \returns the port, or error_kind::Unavailable naming the address.
    [[nodiscard]] kernel::result<int> listen(const std::string &address);

    /// \brief Changes the limits; connections apply them from their next request on.
    void setLimits(const http_limits &limits);

    /// \brief From now on each connection is closed after its answer, or after the answers to the
    /// requests of which it has received bytes by then.
    void closeAfterAnswers() noexcept;

    /// \brief Accepts no more connections and closes those between two requests.
    void closeListeners();

    /// \returns the number of connections that owe an answer or a part of one.
    [[nodiscard]] std::size_t answering() const noexcept;

    /// \brief Stops accepting and closes all connections. The loops must run or have ended.
    void stop();

    /// \returns the number of open connections.
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    class connection;
    class exchange;
    struct loop_connections;
    struct listener;
    struct shared_state;
    using listener_pointer = std::shared_ptr<listener>;

    void accept(const listener_pointer &source);
    [[nodiscard]] bool acceptWaiting(const listener_pointer &source);
    void acceptLater(const listener_pointer &source);

    event_loops &m_loops;
    std::shared_ptr<shared_state> m_shared;
    std::vector<std::shared_ptr<listener>> m_listeners;
};

} // namespace yuccascale::net

#pragma once

#include "yuccascale/http/worker_pool.hpp"
#include "yuccascale/kernel/requests/endpoint_driver.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief HTTP calls to endpoints.

namespace yuccascale::http {

/// \brief An attempt to be carried to an endpoint.
struct endpoint_attempt
{
    std::string address;           ///< IP:port
    std::uint64_t incarnation = 0; ///< of the endpoint when it was chosen; 0 when unknown
    int attempt = 0;
    kernel::nanoseconds timeLeft{};
    kernel::requests::outbound_request request;
    std::string prefillAddress; ///< of the engine that fills the prompt first; may be empty
    kernel::requests::outbound_request prefillRequest;
    std::unique_ptr<kernel::requests::answer_reader> reader;
    std::function<void(kernel::requests::event)> deliver; ///< called on another thread
};

/// \brief An attempt under way.
class endpoint_exchange
{
public:
    virtual ~endpoint_exchange() = default;

    /// \brief Closes its connection; nothing is delivered afterwards.
    virtual void cancel() = 0;
};

/// \brief What came back of a short call.
struct endpoint_reply
{
    bool answered = false;
    int status = 0;
    std::string body;
};

/// \brief Calls endpoints on its own threads. Thread-safe.
///
/// A connection is used again only after an answer that was whole and carried its request's id.
class endpoint_client
{
public:
    explicit endpoint_client(std::size_t maxThreads);
    ~endpoint_client();
    endpoint_client(const endpoint_client &) = delete;
    endpoint_client &operator=(const endpoint_client &) = delete;

    /// \brief Starts an attempt; its events end with one that ends the attempt.
    [[nodiscard]] std::shared_ptr<endpoint_exchange> start(endpoint_attempt attempt);

    /// \brief Makes a short call on this thread and on a fresh connection.
    [[nodiscard]] static endpoint_reply call(const std::string &address,
                                             const kernel::requests::outbound_request &request,
                                             kernel::milliseconds timeout);

    /// \brief Makes a short call in the background; its answer does not matter.
    void callLater(const std::string &address, kernel::requests::outbound_request request);

    /// \brief Ends the threads after their calls.
    void shutdown();

private:
    class connections;
    class exchange;

    std::shared_ptr<connections> m_connections;
    worker_pool m_workers;
};

} // namespace yuccascale::http

#pragma once

#include "yuccascale/kernel/requests/endpoint_driver.hpp"
#include "yuccascale/net/http_client.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

/// \file
/// \brief HTTP calls to endpoints.

namespace yuccascale::http {

/// \brief An attempt to run a request at an endpoint.
struct endpoint_attempt
{
    std::string address; ///< IP:port
    int attempt = 0;
    kernel::nanoseconds timeLeft{};
    kernel::requests::outbound_request request;
    std::string prefillAddress; ///< of the engine that prefills the prompt; may be empty
    kernel::requests::outbound_request prefillRequest;
    kernel::milliseconds prefillTimeout{}; ///< then the endpoint prefills the prompt itself
    /// Reads the answer of the prefill endpoint.
    std::function<std::optional<kernel::requests::prefilled_prompt>(const net::buffered_answer &)>
            parsePrefill;
    /// Called before a prefill that could not be sent at once is sent; may cancel the attempt. May
    /// be null.
    std::function<void()> checkBeforePrefill;
    std::unique_ptr<kernel::requests::answer_reader> reader;
    std::function<void(kernel::requests::event)> deliver;
    /// Counts the bytes of the answer that the reader holds; may cancel the attempt. May be null.
    std::function<void(std::size_t)> holdAnswer = nullptr;
    /// Called before a request that could not be sent at once is sent; may cancel the attempt. May
    /// be null.
    std::function<void()> checkCaller;
    /// Called once the reader has taken the answer. What another answer says is not believed: it
    /// may be a late copy of an old one. May be null.
    std::function<void(const kernel::requests::answer_head &,
                       const kernel::requests::answer_reader &)>
            onTaken;
};

/// \returns the head of an answer in the terms of the drivers.
[[nodiscard]] kernel::requests::answer_head answerHeadOf(int status,
                                                         const net::header_list &headers);

/// \brief An attempt in flight.
class endpoint_exchange
{
public:
    virtual ~endpoint_exchange() = default;

    /// \brief Closes its connection; nothing is delivered afterwards.
    virtual void cancel() = 0;
};

/// \brief Calls endpoints from one loop. Used on its loop only.
class endpoint_client
{
public:
    explicit endpoint_client(net::io_context &loop);
    endpoint_client(const endpoint_client &) = delete;
    endpoint_client &operator=(const endpoint_client &) = delete;

    /// \brief Starts an attempt; its events end with one that ends the attempt.
    [[nodiscard]] std::shared_ptr<endpoint_exchange> start(endpoint_attempt attempt);

    /// \brief Makes a call whose answer is buffered. An answer that names another request in
    /// X-Request-Id is skipped.
    /// \param timeLeft of the request; in it, the call may be made once more
    /// \param onConnected see net::outgoing_request
    std::shared_ptr<net::http_call> call(const std::string &address,
                                         const kernel::requests::outbound_request &request,
                                         kernel::milliseconds timeout, kernel::nanoseconds timeLeft,
                                         std::function<void(net::buffered_answer)> done,
                                         std::function<void()> onConnected = {});

    /// \brief Makes a call whose answer is ignored.
    void callIgnoringAnswer(const std::string &address,
                            const kernel::requests::outbound_request &request);

    [[nodiscard]] net::http_client &httpClient() noexcept { return m_client; }

private:
    class exchange;

    net::io_context &m_loop;
    net::http_client m_client;
    /// Bytes of incomplete answers that all attempts hold; attempts may outlive this client.
    std::shared_ptr<std::size_t> m_heldBytes = std::make_shared<std::size_t>(0);
};

} // namespace yuccascale::http

#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/net/event_loops.hpp"
#include "yuccascale/net/http_message.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// \file
/// \brief An event-driven HTTP/1.1 client with persistent connections.

namespace yuccascale::net {

/// \brief Timeouts and limits of a client.
struct client_limits
{
    kernel::milliseconds connectTimeout{500};
    kernel::milliseconds userTimeout{
            1'500}; ///< closes a connection with bytes unacknowledged for this long
    kernel::milliseconds idleTimeout{10'000}; ///< closes an idle connection after this
    std::size_t idlePerAddress = 64;
    bool discardUnsent
            = false; ///< connections end with a TCP reset, and nothing is sent afterwards
};

/// \brief Status and headers of an answer.
struct response_head
{
    int status = 0;
    header_list headers;
    bool bounded = false;           ///< a length or chunks mark its end
    bool firstOnConnection = false; ///< so it is no late copy of an earlier answer

    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
};

/// \brief How a call ended.
enum class call_end {
    Whole,        ///< the whole answer was received
    NotConnected, ///< no byte of the request was sent
    Broken,       ///< the connection ended before the answer was complete
    Malformed,    ///< the received bytes are not HTTP
};

/// \brief Receives an answer. Called on the client's loop, never from within http_client::start().
class answer_receiver
{
public:
    /// \brief What to do with an answer after its head.
    enum class verdict {
        Take,
        Skip, ///< it answers another request; the expected answer may follow
        Stop, ///< close the connection; nothing more is delivered
    };

    virtual ~answer_receiver() = default;

    [[nodiscard]] virtual verdict head(const response_head &head) = 0;

    /// \returns false when the rest is not needed; then nothing more is delivered.
    [[nodiscard]] virtual bool body(std::string_view bytes) = 0;

    virtual void ended(call_end outcome) = 0;
};

/// \brief A request to send.
struct outgoing_request
{
    std::string address; ///< IP:port
    std::string method;
    std::string target;
    header_list headers; ///< Host and Content-Length are added
    std::string body;
    bool freshConnection = false; ///< not an idle one, which the server may be closing
    /// Names the request, in all its attempts; may be empty. Answers name it too, so an attempt
    /// uses no connection that has carried another one: a late copy of that answer would pass for
    /// its own.
    std::string requestId = {};
    kernel::nanoseconds requestLifetime{}; ///< after it, no further attempt is made
    /// Name of the header that states what is left of that time; empty: none.
    std::string timeLeftHeader = {};
    /// Called once a new connection is open, before the request is sent; may cancel the call. May
    /// be null.
    std::function<void()> onConnected = {};
};

/// \brief Takes \a waited off the time that is left, also in the header that states it.
void shortenLifetime(outgoing_request &request, kernel::nanoseconds waited);

/// \brief A call in flight.
class http_call
{
public:
    virtual ~http_call() = default;

    /// \brief Aborts its connection: bytes that have not been sent are discarded, and the server
    ///        gets a TCP reset. Nothing is delivered afterwards.
    virtual void cancel() = 0;
};

/// \brief Calls other HTTP servers. Used on its loop only.
///
/// A connection is reused only after a whole answer with no bytes behind it.
class http_client
{
public:
    http_client(io_context &loop, client_limits limits);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// \brief Starts a call.
    /// \param receiver kept until the call has ended
    [[nodiscard]] std::shared_ptr<http_call> start(outgoing_request request,
                                                   std::shared_ptr<answer_receiver> receiver);

    /// \brief Tries to connect; keeps the connection open for a later call.
    void probe(const std::string &address, std::function<void(bool connected)> done);

    /// \brief Closes the idle connections to an address.
    void closeIdle(const std::string &address);

    /// \returns the number of idle connections, for measurements.
    [[nodiscard]] std::size_t idle() const noexcept;

    /// \returns the number of connections opened so far, for measurements.
    [[nodiscard]] std::uint64_t opened() const noexcept;

private:
    class connection;
    class call;
    struct state;

    std::shared_ptr<state> m_state;
};

/// \brief The answer of a call, buffered whole.
struct buffered_answer
{
    call_end end = call_end::NotConnected;
    int status = 0;
    header_list headers;
    std::string body;

    [[nodiscard]] bool ok() const noexcept { return end == call_end::Whole && status == 200; }
};

/// Longest body of a buffered answer, in bytes, unless a call allows more.
inline constexpr std::size_t defaultBufferedBytes = 1U << 20U;

/// \brief Makes a call and buffers its answer; \a done runs once, at the latest after \a timeout.
/// Answers with another X-Request-Id than the request's, if that has one, are skipped.
/// \param maxBodyBytes an answer with a longer body is malformed
/// \returns the call; once it is cancelled \a done runs at the timeout.
std::shared_ptr<http_call> callBuffered(http_client &client, io_context &loop,
                                        outgoing_request request, kernel::milliseconds timeout,
                                        std::function<void(buffered_answer)> done,
                                        std::size_t maxBodyBytes = defaultBufferedBytes);

} // namespace yuccascale::net

#include "yuccascale/net/http_connection.hpp"
#include "yuccascale/net/http_connection_memory.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <random>
#include <stdexcept>
#include <utility>

namespace yuccascale::net {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t readChunkBytes = 24U << 10U;
/// Refused callers are told to return after one of these many whole seconds, drawn for each so that
/// they do not return together.
constexpr unsigned longestRetrySeconds = 3;
/// Bytes of a caller's next requests that are read before its current answer has ended.
constexpr std::size_t maxReadAheadBytes = 64U << 10U;
constexpr std::string_view requestIdHeader = "X-Request-Id";
/// A system that tells a longer time does not measure it.
constexpr kernel::seconds longestUnread{60};

[[nodiscard]] std::string retrySeconds()
{
    thread_local std::minstd_rand random{std::random_device{}()};
    return std::to_string(1 + random() % longestRetrySeconds);
}

} // namespace

void http_server::connection::awaitRequest()
{
    m_limits = m_shared->limits();
    setPhase(phase::Idle);
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(m_limits->headerBytes));
    m_parser->body_limit(m_limits->bodyBytes);
    m_headOnly = false;
    m_headerChecked = false;
    m_headBytes = 0;
    setDeadline(m_limits->idleTimeout);
    shrinkBuffer();
}

void http_server::connection::read()
{
    // while a request is read, the parser's limits bound the buffer
    const bool readAhead = m_phase == phase::Answering && m_buffer.size() >= maxReadAheadBytes;
    if (m_reading || m_phase == phase::Closed || readAhead)
        return;
    m_reading = true;
    // waits without a buffer, so that an idle connection needs little memory
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code problem) {
        self->onReadable(problem);
    });
}

void http_server::connection::onReadable(error_code problem)
{
    m_reading = false;
    if (m_phase == phase::Closed)
        return;
    std::string_view arrived;
    if (!problem)
        arrived = receive(problem);
    if (problem == boost::asio::error::would_block)
        return read();
    if (problem)
        return handleCallerLeft();
    if (m_phase == phase::Idle || m_phase == phase::Reading)
        parse(arrived);
    else if (m_phase == phase::Answering)
        append(arrived);
    m_account->progressed(accountTime());
    if (!charge())
        shed();
    read();
}

/// \returns what has arrived, until the next call on this loop.
std::string_view http_server::connection::receive(error_code &problem)
{
    // shared by the loop's connections, so that one that waits for more needs no buffer of this
    // size
    thread_local std::array<char, readChunkBytes> bytes{};
    const std::size_t count = m_socket.read_some(boost::asio::buffer(bytes), problem);
    m_receivedBytes += count;
    return {bytes.data(), count};
}

void http_server::connection::append(std::string_view bytes)
{
    m_buffer.commit(
            boost::asio::buffer_copy(m_buffer.prepare(bytes.size()), boost::asio::buffer(bytes)));
}

/// Bytes of the caller's next requests may lie before the end of the connection.
void http_server::connection::checkCaller()
{
    error_code problem;
    while (!problem && m_phase == phase::Answering && m_buffer.size() < maxReadAheadBytes)
        append(receive(problem));
    if (problem && problem != boost::asio::error::would_block)
        handleCallerLeft();
}

/// Parses the buffer and then \a arrived, in place while the buffer is empty; what is left is kept.
void http_server::connection::parse(std::string_view arrived)
{
    const bool inPlace = m_buffer.size() == 0;
    if (!inPlace)
        append(std::exchange(arrived, {}));
    const auto unparsed = [&] {
        return inPlace ? boost::asio::buffer(arrived) : boost::asio::const_buffer(m_buffer.data());
    };
    if (m_phase == phase::Idle && unparsed().size() > 0) {
        setPhase(phase::Reading);
        setDeadline(m_limits->readTimeout);
    }
    while (m_phase == phase::Reading && unparsed().size() > 0) {
        error_code problem;
        const std::size_t count = put(unparsed(), problem);
        if (inPlace)
            arrived.remove_prefix(count);
        else
            m_buffer.consume(count);
        m_parsedBytes += count;
        if (problem == http::error::header_limit)
            return refuse(431, "invalid_argument", "the header is too large; send a smaller one");
        if (m_parser->is_header_done() && !checkHeader())
            return;
        if (inPlace && (problem == http::error::need_more || m_parser->is_done()))
            append(std::exchange(arrived, {}));
        if (problem == http::error::need_more)
            return checkUnparsed();
        if (problem == http::error::body_limit)
            return refuse(413, "invalid_argument", "the body is too large; send a smaller one");
        if (problem)
            return refuse(400, "invalid_argument", "malformed HTTP: " + problem.message());
        if (m_parser->is_done())
            return dispatch();
    }
}

/// The parser throws when a header field is longer than it can hold, whatever the limits allow.
std::size_t http_server::connection::put(boost::asio::const_buffer bytes, error_code &problem)
{
    try {
        return m_parser->put(bytes, problem);
    } catch (const std::length_error &) {
        problem = http::error::header_limit;
        return 0;
    }
}

/// The parser bounds heads, but neither chunk headers nor trailers.
void http_server::connection::checkUnparsed()
{
    if (m_buffer.size() > m_limits->headerBytes && m_parser->is_header_done())
        refuse(400, "invalid_argument", "a chunk header is too large; send a smaller one");
}

/// Checks what the parser does not, once for each request; \returns false when it was refused.
bool http_server::connection::checkHeader()
{
    if (std::exchange(m_headerChecked, true))
        return true;
    const auto &head = m_parser->get();
    m_headBytes = memoryOf(head);
    const auto fields = static_cast<std::size_t>(std::distance(head.begin(), head.end()));
    if (fields > m_limits->headerFields) {
        refuse(431, "invalid_argument", "too many header fields; send fewer");
        return false;
    }
    if (head.count(http::field::host) > 1) {
        refuse(400, "invalid_argument", "more than one Host header; send one");
        return false;
    }
    const bool expects = http::token_list(head[http::field::expect]).exists("100-continue");
    if (expects && !m_parser->is_done())
        write("HTTP/1.1 100 Continue\r\n\r\n");
    return true;
}

void http_server::connection::dispatch()
{
    setPhase(phase::Answering);
    m_deadline = steady_instant::max();
    m_keepAlive = m_parser->keep_alive();
    auto message = m_parser->release();
    http_request request;
    request.method = std::string(message.method_string());
    m_headOnly = message.method() == http::verb::head;
    request.target = std::string(message.target());
    for (const auto &field : message)
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    request.body = std::move(message.body());
    m_parser.reset();
    m_chunked = false;
    ++m_exchangeNumber;
    const std::size_t bytes = memoryOf(request, m_limits->copiesOfBody);
    static_cast<void>(charge()); // without the body, which is counted from here on as running
    if (!m_account->run(bytes, accountTime())) {
        m_shared->memory->countRefused();
        return refuse(503, "overloaded", memoryMessage, request.header(requestIdHeader));
    }
    m_shared->handler(std::make_shared<exchange>(shared_from_this(), m_exchangeNumber,
                                                 std::move(request), sinceLastArrival(), m_account,
                                                 bytes));
}

/// \returns the time since the newest bytes arrived, as far as the system tells.
kernel::nanoseconds http_server::connection::sinceLastArrival()
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return {};
    const kernel::milliseconds elapsed(info.tcpi_last_data_recv);
    return elapsed <= longestUnread ? elapsed : kernel::milliseconds::zero();
}

void http_server::connection::refuse(int status, std::string_view kind, std::string_view message)
{
    std::string requestId;
    if (m_parser && m_parser->is_header_done())
        requestId = std::string(m_parser->get()[requestIdHeader]);
    refuse(status, kind, message, requestId);
}

void http_server::connection::refuse(int status, std::string_view kind, std::string_view message,
                                     std::string_view requestId)
{
    m_parser.reset();
    m_buffer = {};
    static_cast<void>(m_account->hold(0, accountTime()));
    std::string body = R"({"error":{"kind":")" + std::string(kind) + R"(","message":")";
    body += message;
    body += R"(","may_have_run":false}})";
    m_keepAlive = false;
    setPhase(phase::Answering);
    ++m_exchangeNumber;
    header_list headers{{"Content-Type", "application/json"}};
    if (status == 503)
        headers.push_back({"Retry-After", retrySeconds()});
    if (!requestId.empty())
        headers.push_back({std::string(requestIdHeader), std::string(requestId)});
    reply({status, std::move(headers), std::move(body)});
}

} // namespace yuccascale::net

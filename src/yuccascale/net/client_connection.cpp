#include "yuccascale/net/client_connection.hpp"

#include "yuccascale/kernel/free_memory.hpp"
#include "yuccascale/wire/socket.hpp"

#include <boost/asio/write.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace yuccascale::net {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t readChunkBytes = 8U << 10U;
constexpr std::uint32_t maxHeaderBytes = 64U << 10U;
/// Most bytes that wait for the rest of a head, a chunk header or a trailer.
constexpr std::size_t maxUnparsedBytes = maxHeaderBytes + readChunkBytes;
/// Most bytes of interim answers and of answers to other requests that are skipped in one call.
constexpr std::size_t maxSkippedBytes = 1U << 20U;
constexpr int firstStatus = 100;
constexpr int firstFinalStatus = 200;
constexpr int lastStatus = 599;
/// TCP keep-alive of a connection that is silent while an answer is awaited: seconds before and
/// between probes, and number of lost probes after which the connection breaks.
constexpr int keepAliveSeconds = 1;
constexpr int keepAliveProbes = 2;
/// Subtracted from the idle timeout that a server states, since the server may start it earlier.
constexpr kernel::milliseconds idleMargin{800};

[[nodiscard]] std::string requestHead(const outgoing_request &request)
{
    std::string out;
    out.reserve(512);
    out += request.method;
    out += ' ';
    out += request.target;
    out += " HTTP/1.1\r\n";
    if (!findHeader(request.headers, "Host"))
        appendHeader(out, "Host", request.address);
    for (const header_field &field : request.headers)
        appendHeader(out, field.name, field.value);
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
        appendHeader(out, "Content-Length", std::to_string(request.body.size()));
    out += "\r\n";
    return out;
}

/// \returns the idle timeout that the server states, or nothing.
[[nodiscard]] std::optional<kernel::milliseconds> parseServerIdleTimeout(std::string_view header)
{
    constexpr std::string_view name = "timeout=";
    const std::size_t position = header.find(name);
    int wholeSeconds = 0;
    if (position == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = header.substr(position + name.size());
    const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), wholeSeconds);
    if (read.ec != std::errc())
        return std::nullopt;
    return kernel::seconds(wholeSeconds);
}

void setOption(int descriptor, int level, int name, int value)
{
    // ignored: without the option, a dead peer is only detected later
    (void)::setsockopt(descriptor, level, name, &value, sizeof value);
}

void setSocketOptions(tcp::socket &socket, kernel::milliseconds userTimeout)
{
    const int descriptor = socket.native_handle();
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(userTimeout.count()));
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
}

/// Makes a close send a TCP reset in place of what the system still holds.
void discardUnsentOnClose(tcp::socket &socket)
{
    error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

} // namespace

void http_client::connection::connect(std::function<void(bool)> done)
{
    m_onConnected = std::move(done);
    const auto finish = [self = shared_from_this()](bool connected) {
        self->m_timer.cancel();
        if (!connected)
            self->close();
        if (const auto action = std::exchange(self->m_onConnected, nullptr))
            action(connected);
    };
    kernel::error ignored;
    wire::socket_address parsed;
    const bool readable = kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_ASSIGN(parsed, wire::parseAddress(m_address));
                return {};
            },
            ignored);
    error_code problem;
    const auto ip = boost::asio::ip::make_address_v4(parsed.host, problem);
    if (!readable || problem)
        return boost::asio::post(m_owner->loop, [finish] { finish(false); });
    m_socket.open(tcp::v4(), problem);
    if (problem)
        return boost::asio::post(m_owner->loop, [finish] { finish(false); });
    setSocketOptions(m_socket, m_owner->limits.userTimeout);
    if (m_owner->limits.discardUnsent)
        discardUnsentOnClose(m_socket);
    m_socket.non_blocking(true, problem);
    ++m_owner->opened;
    m_timer.expires_after(m_owner->limits.connectTimeout);
    m_timer.async_wait([finish](error_code ended) {
        if (!ended)
            finish(false);
    });
    m_socket.async_connect({ip, parsed.port}, [finish](error_code ended) { finish(!ended); });
}

bool http_client::connection::isReusable()
{
    char byte = 0;
    const ssize_t count = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return !m_closed && count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool http_client::connection::hasCarried(std::string_view requestId) const
{
    if (requestId.empty())
        return false;
    const std::size_t hash = std::hash<std::string_view>{}(requestId);
    return std::ranges::any_of(
            m_carried, [&](const carried_request &carried) { return carried.idHash == hash; });
}

/// What can't be sent once more is forgotten, so that a busy connection remembers a bounded number.
void http_client::connection::remember(const outgoing_request &request)
{
    ++m_calls;
    if (request.requestId.empty())
        return;
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_carried, [&](const carried_request &carried) { return carried.until <= now; });
    m_carried.push_back({std::hash<std::string_view>{}(request.requestId),
                         now
                                 + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                                         request.requestLifetime)});
}

void http_client::connection::resetParser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(maxHeaderBytes);
    m_parser->body_limit(boost::none);
    if (m_isHeadRequest)
        m_parser->skip(true);
    m_messageBytes = 0;
    m_headReported = false;
    m_skippingMessage = false;
}

void http_client::connection::sendRequest(outgoing_request &request,
                                          std::shared_ptr<answer_receiver> receiver)
{
    m_receiver = std::move(receiver);
    m_isHeadRequest = request.method == "HEAD";
    m_skippedBytes = 0;
    remember(request);
    resetParser();
    m_head = requestHead(request);
    m_body = std::move(request.body);
    m_writing = true;
    m_writeFailed = false;
    const std::array<boost::asio::const_buffer, 2> parts{boost::asio::buffer(m_head),
                                                         boost::asio::buffer(m_body)};
    boost::asio::async_write(m_socket, parts,
                             [self = shared_from_this()](error_code problem, std::size_t) {
                                 self->m_writing = false;
                                 self->m_writeFailed = static_cast<bool>(problem);
                                 kernel::freeMemory(self->m_head);
                                 kernel::freeMemory(self->m_body);
                                 // the server may have answered before it closed; the answer is
                                 // still read
                                 if (problem && !self->m_reading)
                                     self->finishCall(call_end::Broken);
                             });
    read();
}

void http_client::connection::read()
{
    if (m_reading || m_closed)
        return;
    m_reading = true;
    // waits without a buffer, so that an idle connection needs little memory
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code problem) {
        self->onReadable(problem);
    });
}

void http_client::connection::onReadable(error_code problem)
{
    m_reading = false;
    if (m_closed)
        return;
    std::size_t count = 0;
    if (!problem)
        count = m_socket.read_some(m_buffer.prepare(readChunkBytes), problem);
    if (problem == boost::asio::error::would_block)
        return read();
    if (problem)
        return onInputEnd(problem);
    m_buffer.commit(count);
    if (!m_receiver)
        return close(); // bytes that belong to no request
    parse();
    read();
}

void http_client::connection::parse()
{
    while (m_receiver && m_buffer.size() > 0) {
        error_code problem;
        const std::size_t consumed = m_parser->put(m_buffer.data(), problem);
        m_buffer.consume(consumed);
        m_messageBytes += consumed;
        const std::size_t skipped = m_skippedBytes + (m_skippingMessage ? m_messageBytes : 0);
        if (m_buffer.size() > maxUnparsedBytes || skipped > maxSkippedBytes)
            return finishCall(call_end::Malformed);
        if (m_parser->is_header_done() && (!reportHead() || !reportBody()))
            return;
        if (problem == http::error::need_more)
            return;
        if (problem)
            return finishCall(call_end::Malformed);
        if (m_parser->is_done() && !onMessageEnd())
            return;
    }
}

/// Passes a complete head to the receiver; \returns false when the call has ended.
bool http_client::connection::reportHead()
{
    if (std::exchange(m_headReported, true))
        return true;
    const auto &message = m_parser->get();
    response_head head;
    head.status = static_cast<int>(message.result_int());
    if (head.status < firstStatus || head.status > lastStatus) {
        finishCall(call_end::Malformed);
        return false;
    }
    if (head.status < firstFinalStatus) {
        m_skippingMessage = true;
        return true;
    }
    for (const auto &field : message)
        head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    head.bounded = !m_parser->need_eof();
    head.firstOnConnection = m_calls == 1 && m_skippedBytes == 0;
    const std::shared_ptr<answer_receiver> receiver = m_receiver;
    switch (receiver->head(head)) {
    case answer_receiver::verdict::Take:
        return !m_closed;
    case answer_receiver::verdict::Skip:
        m_skippingMessage = true;
        return true;
    case answer_receiver::verdict::Stop:
        break;
    }
    m_receiver.reset();
    close();
    return false;
}

bool http_client::connection::reportBody()
{
    std::string &body = m_parser->get().body();
    if (body.empty())
        return true;
    const std::shared_ptr<answer_receiver> receiver = m_receiver;
    const bool wanted = m_skippingMessage || receiver->body(body);
    if (m_closed)
        return false;
    body.clear();
    if (wanted)
        return true;
    m_receiver.reset();
    close();
    return false;
}

/// \returns true when the call continues with the server's next message.
bool http_client::connection::onMessageEnd()
{
    if (m_skippingMessage) {
        m_skippedBytes += m_messageBytes;
        resetParser();
        return true;
    }
    finishCall(call_end::Whole);
    return false;
}

void http_client::connection::onInputEnd(error_code problem)
{
    if (!m_receiver)
        return close();
    // The system reports a reset once: after it has failed the write, a read sees an ordinary end.
    // While the request is still being written, such an end may also come right before the reset.
    const bool requestSent = !m_writing && !m_writeFailed;
    const bool endsWithConnection = problem == boost::asio::error::eof && requestSent && m_parser
            && m_parser->is_header_done() && m_parser->need_eof() && !m_skippingMessage;
    if (endsWithConnection) {
        error_code ignored;
        m_parser->put_eof(ignored);
        if (!ignored && m_parser->is_done())
            return finishCall(call_end::Whole);
    }
    finishCall(call_end::Broken);
}

void http_client::connection::finishCall(call_end outcome)
{
    const std::shared_ptr<answer_receiver> receiver = std::exchange(m_receiver, nullptr);
    if (!receiver)
        return;
    const bool keep = outcome == call_end::Whole && m_parser->keep_alive() && m_buffer.size() == 0
            && !m_writing && !m_closed;
    const auto serverTimeout = parseServerIdleTimeout(m_parser->get()[http::field::keep_alive]);
    m_parser.reset();
    m_buffer = {};
    if (keep) {
        const kernel::milliseconds limit = m_owner->limits.idleTimeout;
        m_idleUntil = std::chrono::steady_clock::now()
                + (serverTimeout ? std::min(limit, *serverTimeout - idleMargin) : limit);
        m_owner->addIdle(shared_from_this());
        m_owner->scheduleSweep(m_owner);
    } else {
        close();
    }
    receiver->ended(outcome);
}

void http_client::connection::becomeIdle()
{
    m_idleUntil = std::chrono::steady_clock::now() + m_owner->limits.idleTimeout;
    m_owner->addIdle(shared_from_this());
    m_owner->scheduleSweep(m_owner);
    read();
}

void http_client::connection::abort()
{
    discardUnsentOnClose(m_socket);
    close();
}

void http_client::connection::close()
{
    if (std::exchange(m_closed, true))
        return;
    m_receiver.reset();
    error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
    m_owner->removeIdle(*this);
}

} // namespace yuccascale::net

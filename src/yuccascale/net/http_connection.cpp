#include "yuccascale/net/http_connection.hpp"

#include <boost/asio/write.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace yuccascale::net {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t readChunkBytes = 24U << 10U;
/// Bytes of a caller's next requests that are read before its current answer has ended.
constexpr std::size_t maxReadAheadBytes = 64U << 10U;
/// Bytes of an answer that are queued for a slow caller; with more the connection is closed.
constexpr std::size_t maxUnsentBytes = 4U << 20U;
/// A buffer that grew beyond this is freed after its request.
constexpr std::size_t maxRetainedBufferBytes = 4U << 10U;
/// Time for the caller to close after the last answer, so that no TCP reset overtakes the answer.
constexpr kernel::milliseconds lingerTimeout{1'000};

[[nodiscard]] std::string numberText(std::size_t number, int base)
{
    std::array<char, 24> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, base).ptr;
    return {digits.data(), end};
}

[[nodiscard]] std::string headText(int status, const header_list &headers, bool close)
{
    std::string text = "HTTP/1.1 " + numberText(static_cast<std::size_t>(status), 10) + " ";
    text += reasonPhrase(status);
    text += "\r\n";
    for (const header_field &field : headers)
        appendHeader(text, field.name, field.value);
    if (close)
        text += "Connection: close\r\n";
    return text;
}

[[nodiscard]] bool hasBody(int status) noexcept
{
    return status >= 200 && status != 204 && status != 304;
}

} // namespace

void http_server::loop_connections::add(const std::shared_ptr<connection> &opened)
{
    connections.insert(opened);
    if (!std::exchange(sweeping, true))
        sweep();
}

void http_server::loop_connections::remove(const std::shared_ptr<connection> &closed)
{
    connections.erase(closed);
}

void http_server::loop_connections::sweep()
{
    constexpr kernel::milliseconds interval{500};
    timer.expires_after(interval);
    timer.async_wait([self = shared_from_this()](error_code problem) {
        if (problem)
            return;
        const auto all = self->connections;
        for (const std::shared_ptr<connection> &opened : all)
            opened->checkDeadlines(std::chrono::steady_clock::now());
        if (self->connections.empty())
            self->sweeping = false;
        else
            self->sweep();
    });
}

void http_server::loop_connections::closeAll()
{
    const auto all = connections;
    for (const std::shared_ptr<connection> &opened : all)
        opened->close();
    timer.cancel();
}

void http_server::loop_connections::closeIdle()
{
    const auto all = connections;
    for (const std::shared_ptr<connection> &opened : all)
        opened->closeIfIdle();
}

http_server::connection::connection(std::shared_ptr<shared_state> shared,
                                    std::shared_ptr<loop_connections> owner, tcp::socket socket,
                                    std::string listener)
    : m_shared(std::move(shared))
    , m_owner(std::move(owner))
    , m_socket(std::move(socket))
    , m_listener(std::move(listener))
{
    ++m_shared->openConnections;
}

void http_server::connection::setPhase(phase next)
{
    m_phase = next;
    countAnswering();
}

void http_server::connection::countAnswering()
{
    const bool owesBytes = m_writing || !m_unsent.empty();
    const bool answering = m_phase == phase::Answering || (m_phase != phase::Closed && owesBytes);
    if (std::exchange(m_countedAsAnswering, answering) == answering)
        return;
    if (answering)
        ++m_shared->answering;
    else
        --m_shared->answering;
}

void http_server::connection::start()
{
    if (m_shared->stopped)
        return close();
    error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    m_owner->add(shared_from_this());
    awaitRequest();
    if (m_shared->openConnections > m_limits->connections)
        return refuse(503, "overloaded",
                      "the maximum of open connections is reached; retry at another address");
    read();
}

void http_server::connection::awaitRequest()
{
    m_limits = m_shared->limits();
    setPhase(phase::Idle);
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(m_limits->headerBytes));
    m_parser->body_limit(m_limits->bodyBytes);
    m_headerChecked = false;
    setDeadline(m_limits->idleTimeout);
    if (m_buffer.size() == 0 && m_buffer.capacity() > maxRetainedBufferBytes)
        m_buffer = {};
}

void http_server::connection::read()
{
    if (m_reading || m_phase == phase::Closed || m_buffer.size() >= maxReadAheadBytes)
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
    if (!problem)
        problem = receive();
    if (problem == boost::asio::error::would_block)
        return read();
    if (problem)
        return handleCallerLeft();
    if (m_phase == phase::Ending)
        m_buffer.clear();
    if (m_phase == phase::Idle || m_phase == phase::Reading)
        parse();
    read();
}

/// Appends to the buffer what has arrived.
error_code http_server::connection::receive()
{
    error_code problem;
    m_buffer.commit(m_socket.read_some(m_buffer.prepare(readChunkBytes), problem));
    return problem;
}

/// Bytes of the caller's next requests may lie before the end of the connection.
void http_server::connection::checkCaller()
{
    error_code problem;
    while (!problem && m_phase == phase::Answering && m_buffer.size() < maxReadAheadBytes)
        problem = receive();
    if (problem && problem != boost::asio::error::would_block)
        handleCallerLeft();
}

void http_server::connection::parse()
{
    if (m_phase == phase::Idle && m_buffer.size() > 0) {
        setPhase(phase::Reading);
        setDeadline(m_limits->readTimeout);
    }
    while (m_phase == phase::Reading && m_buffer.size() > 0) {
        error_code problem;
        m_buffer.consume(m_parser->put(m_buffer.data(), problem));
        if (m_parser->is_header_done() && !checkHeader())
            return;
        if (problem == http::error::need_more)
            return;
        if (problem == http::error::header_limit)
            return refuse(431, "invalid_argument", "the header is too large; send a smaller one");
        if (problem == http::error::body_limit)
            return refuse(413, "invalid_argument", "the body is too large; send a smaller one");
        if (problem)
            return refuse(400, "invalid_argument", "malformed HTTP: " + problem.message());
        if (m_parser->is_done())
            return dispatch();
    }
}

/// Checks what the parser does not, once for each request; \returns false when it was refused.
bool http_server::connection::checkHeader()
{
    if (std::exchange(m_headerChecked, true))
        return true;
    const auto &head = m_parser->get();
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
    request.target = std::string(message.target());
    for (const auto &field : message)
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    request.body = std::move(message.body());
    m_parser.reset();
    m_chunked = false;
    ++m_exchangeNumber;
    m_shared->handler(
            std::make_shared<exchange>(shared_from_this(), m_exchangeNumber, std::move(request)));
}

void http_server::connection::refuse(int status, std::string_view kind, std::string_view message)
{
    std::string body = R"({"error":{"kind":")" + std::string(kind) + R"(","message":")";
    body += message;
    body += R"(","may_have_run":false}})";
    m_keepAlive = false;
    setPhase(phase::Answering);
    ++m_exchangeNumber;
    reply({status, {{"Content-Type", "application/json"}}, std::move(body)});
}

bool http_server::connection::isAnswering(std::uint64_t exchangeNumber) const noexcept
{
    return m_phase == phase::Answering && exchangeNumber == m_exchangeNumber;
}

/// A request of which bytes were received is answered before a planned close.
bool http_server::connection::closesAfterAnswer() const noexcept
{
    return !m_keepAlive || (m_shared->closing && m_buffer.size() == 0);
}

void http_server::connection::reply(const http_reply &answer)
{
    m_keepAlive = !closesAfterAnswer();
    std::string text = headText(answer.status, answer.headers, !m_keepAlive);
    if (hasBody(answer.status))
        appendHeader(text, "Content-Length", numberText(answer.body.size(), 10));
    text += "\r\n";
    text += answer.body;
    write(text);
    onAnswerEnd();
}

void http_server::connection::begin(int status, const header_list &headers)
{
    m_keepAlive = !closesAfterAnswer();
    std::string text = headText(status, headers, !m_keepAlive);
    appendHeader(text, "Transfer-Encoding", "chunked");
    text += "\r\n";
    m_chunked = true;
    m_unsent += text; // sent together with the first piece
}

void http_server::connection::send(std::string_view bytes)
{
    if (bytes.empty())
        return;
    std::string chunk = numberText(bytes.size(), 16) + "\r\n";
    chunk += bytes;
    chunk += "\r\n";
    write(chunk);
}

void http_server::connection::finish()
{
    write("0\r\n\r\n");
    onAnswerEnd();
}

void http_server::connection::abort()
{
    m_onCallerDisconnected = nullptr;
    m_keepAlive = false;
    setPhase(phase::Ending);
    setDeadline(lingerTimeout);
    shutdownAfterWrite();
}

void http_server::connection::onCallerDisconnected(std::function<void()> action)
{
    m_onCallerDisconnected = std::move(action);
}

void http_server::connection::onAnswerEnd()
{
    m_onCallerDisconnected = nullptr;
    if (!m_keepAlive) {
        setPhase(phase::Ending);
        setDeadline(lingerTimeout);
        return shutdownAfterWrite();
    }
    awaitRequest();
    // a pipelined request is served after this call returns, not within it
    boost::asio::post(m_owner->loop, [self = shared_from_this()] {
        if (self->m_phase != phase::Idle)
            return;
        self->parse();
        self->read();
    });
}

void http_server::connection::write(std::string_view bytes)
{
    m_unsent += bytes;
    if (m_unsent.size() > maxUnsentBytes)
        return handleCallerLeft();
    flush();
}

void http_server::connection::flush()
{
    if (m_writing || m_unsent.empty() || m_phase == phase::Closed)
        return;
    m_writing = true;
    countAnswering();
    m_sending = std::exchange(m_unsent, {});
    m_writeDeadline = std::chrono::steady_clock::now() + m_limits->writeTimeout;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_sending),
                             [self = shared_from_this()](error_code problem, std::size_t) {
                                 self->onWritten(problem);
                             });
}

void http_server::connection::onWritten(error_code problem)
{
    m_writing = false;
    m_writeDeadline = steady_instant::max();
    if (m_sending.capacity() > maxRetainedBufferBytes)
        m_sending = {};
    if (m_phase == phase::Closed)
        return;
    if (problem)
        return handleCallerLeft();
    flush();
    countAnswering();
    if (m_phase == phase::Ending)
        shutdownAfterWrite();
}

void http_server::connection::shutdownAfterWrite()
{
    if (m_writing || !m_unsent.empty())
        return;
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    read();
}

void http_server::connection::handleCallerLeft()
{
    const std::function<void()> action = std::exchange(m_onCallerDisconnected, nullptr);
    close();
    if (action)
        action();
}

void http_server::connection::closeIfIdle()
{
    if (m_phase == phase::Idle && m_buffer.size() == 0 && !m_writing)
        close();
}

void http_server::connection::close()
{
    if (m_phase == phase::Closed)
        return;
    setPhase(phase::Closed);
    --m_shared->openConnections;
    error_code ignored;
    m_socket.close(ignored);
    m_parser.reset();
    m_buffer = {};
    m_unsent = {};
    m_owner->remove(shared_from_this());
}

void http_server::connection::setDeadline(kernel::milliseconds timeout)
{
    m_deadline = std::chrono::steady_clock::now() + timeout;
}

void http_server::connection::checkDeadlines(steady_instant now)
{
    if (now >= m_writeDeadline)
        return handleCallerLeft();
    if (now < m_deadline)
        return;
    if (m_phase == phase::Reading)
        refuse(408, "deadline_exceeded",
               "the request was not received within the read timeout; send it again");
    else
        close();
}

http_server::exchange::exchange(std::shared_ptr<connection> servedConnection,
                                std::uint64_t exchangeNumber, http_request request)
    : m_connection(std::move(servedConnection))
    , m_exchangeNumber(exchangeNumber)
    , m_request(std::move(request))
{ }

void http_server::exchange::reply(http_reply answer)
{
    if (isCurrent())
        m_connection->reply(answer);
}

void http_server::exchange::begin(int status, const header_list &headers)
{
    if (isCurrent())
        m_connection->begin(status, headers);
}

void http_server::exchange::send(std::string_view bytes)
{
    if (isCurrent())
        m_connection->send(bytes);
}

void http_server::exchange::finish()
{
    if (isCurrent())
        m_connection->finish();
}

void http_server::exchange::abort()
{
    if (isCurrent())
        m_connection->abort();
}

void http_server::exchange::checkCaller()
{
    if (isCurrent())
        m_connection->checkCaller();
}

void http_server::exchange::onCallerDisconnected(std::function<void()> action)
{
    if (isCurrent())
        m_connection->onCallerDisconnected(std::move(action));
    else if (action)
        action();
}

} // namespace yuccascale::net

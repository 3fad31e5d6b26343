#include "yuccascale/net/http_connection.hpp"

#include "yuccascale/kernel/free_memory.hpp"

#include <boost/asio/write.hpp>
#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <random>
#include <stdexcept>
#include <utility>

namespace yuccascale::net {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t readChunkBytes = 24U << 10U;
/// Larger allocations are mapped on their own (runtime::returnFreedMemory()), so that what is not
/// written of them takes no memory.
constexpr std::size_t mappedBytes = 64U << 10U;
/// Held for a field of a head, beside its text.
constexpr std::size_t fieldOverheadBytes = 96;
/// Held for a request that runs, beside its body and headers.
constexpr std::size_t requestOverheadBytes = 4U << 10U;
/// Part of the connections that are kept for refusals, which linger until their callers have read
/// them; beyond it connections are closed at once.
constexpr std::size_t lingeringDivisor = 8;
constexpr std::size_t mostLingering = 64;
/// Longer bodies are not copied behind their heads, but sent after them.
constexpr std::size_t copiedBodyBytes = 64U << 10U;
/// Refused callers are told to return after one of these many whole seconds, drawn for each so that
/// they do not return together.
constexpr unsigned longestRetrySeconds = 3;
/// Bytes of a caller's next requests that are read before its current answer has ended.
constexpr std::size_t maxReadAheadBytes = 64U << 10U;
/// With more bytes queued for a slow caller, the connection is closed before others are queued. One
/// answer may be longer.
constexpr std::size_t maxUnsentBytes = 4U << 20U;
/// A buffer that grew beyond this is shrunk to what it holds.
constexpr std::size_t maxRetainedBufferBytes = 4U << 10U;
constexpr std::string_view requestIdHeader = "X-Request-Id";
constexpr std::string_view memoryMessage
        = "the memory for requests is used up; send the request again, also to another address";
/// Time for the caller to close after the last answer, so that no TCP reset overtakes the answer.
constexpr kernel::milliseconds lingerTimeout{1'000};

/// \returns how many connections are kept for refusals, of \a connections.
[[nodiscard]] std::size_t lingeringOf(std::size_t connections) noexcept
{
    return std::min(connections / lingeringDivisor, mostLingering);
}

/// \returns how many of the process's descriptors may be connections of callers; endpoints, links
///          and files need the others.
[[nodiscard]] std::size_t descriptorsForCallers() noexcept
{
    rlimit descriptors{};
    if (::getrlimit(RLIMIT_NOFILE, &descriptors) != 0)
        return std::numeric_limits<std::size_t>::max();
    return static_cast<std::size_t>(descriptors.rlim_cur / 4 * 3);
}

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

[[nodiscard]] kernel::instant accountTime() noexcept
{
    return kernel::instant(std::chrono::steady_clock::now().time_since_epoch());
}

/// \returns the memory that a string takes.
[[nodiscard]] std::size_t memoryOf(const std::string &text) noexcept
{
    return std::min(text.capacity(), text.size() + mappedBytes);
}

/// \returns the memory that the fields of a parsed head take.
[[nodiscard]] std::size_t memoryOf(const http::request_header<> &head)
{
    std::size_t bytes = 0;
    for (const auto &field : head)
        bytes += fieldOverheadBytes + field.name_string().size() + field.value().size();
    return bytes;
}

[[nodiscard]] std::string retrySeconds()
{
    thread_local std::minstd_rand random{std::random_device{}()};
    return numberText(1 + random() % longestRetrySeconds, 10);
}

/// \returns what a request holds until it has ended.
[[nodiscard]] std::size_t memoryOf(const http_request &request, std::size_t copiesOfBody)
{
    std::size_t bytes = requestOverheadBytes + request.target.size();
    for (const header_field &field : request.headers)
        bytes += field.name.size() + field.value.size();
    return bytes + copiesOfBody * request.body.size();
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
    ++shared_state::openInProcess;
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
    m_account = std::make_shared<memory_account>(m_shared->memory,
                                                 [&loop = m_owner->loop, weak = weak_from_this()] {
                                                     boost::asio::post(loop, [weak] {
                                                         const auto self = weak.lock();
                                                         if (self && self->m_account->beingShed())
                                                             self->shed();
                                                     });
                                                 });
    awaitRequest();
    if (exceedsConnections(true))
        return close();
    if (exceedsConnections(false))
        return refuse(503, "overloaded",
                      "the maximum of open connections is reached; retry at another address");
    read();
}

/// \param withRefusals whether the connections that are kept for refusals may be used too
bool http_server::connection::exceedsConnections(bool withRefusals) const
{
    const auto mostOf = [withRefusals](std::size_t connections) {
        return withRefusals ? connections : connections - lingeringOf(connections);
    };
    return m_shared->openConnections > mostOf(m_limits->connections)
            || shared_state::openInProcess > mostOf(descriptorsForCallers());
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
                                                 std::move(request), m_account, bytes));
}

std::size_t http_server::connection::heldBytes() const
{
    std::size_t bytes = m_buffer.size() > 0 ? m_buffer.capacity() : 0;
    if (m_parser && m_phase == phase::Reading)
        bytes += m_headBytes + memoryOf(m_parser->get().body());
    if (m_writing)
        bytes += memoryOf(m_sending);
    return bytes + m_answerBytes + (m_unsent.empty() ? 0 : memoryOf(m_unsent));
}

/// What was parsed leaves room in the buffer, which would be held until the request has ended.
void http_server::connection::shrinkBuffer()
{
    if (m_buffer.capacity() > maxRetainedBufferBytes && m_buffer.size() < m_buffer.capacity() / 2)
        m_buffer.shrink_to_fit();
}

/// \returns false when the connection has to be shed.
bool http_server::connection::charge()
{
    if (m_phase == phase::Closed)
        return true;
    shrinkBuffer();
    const held_for purpose = m_phase == phase::Reading ? held_for::Body : held_for::Answer;
    return m_account->hold(heldBytes(), accountTime(), purpose);
}

/// What a caller has not sent to its end is refused, since it has not run. An answer that has begun
/// can only be broken off.
void http_server::connection::shed()
{
    const std::size_t held = heldBytes();
    if (m_phase == phase::Closed || held == 0) // freed since it was chosen
        return static_cast<void>(m_account->hold(held, accountTime()));
    if (m_phase == phase::Reading) {
        m_shared->memory->countRefused();
        return refuse(503, "overloaded", memoryMessage);
    }
    m_shared->memory->countClosed();
    handleCallerLeft();
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

bool http_server::connection::isAnswering(std::uint64_t exchangeNumber) const noexcept
{
    return m_phase == phase::Answering && exchangeNumber == m_exchangeNumber;
}

/// Requests of which bytes were received before the first answer of a planned close are answered,
/// but no later ones, so that a caller cannot put off the close.
bool http_server::connection::closesAfterAnswer() noexcept
{
    if (!m_shared->closing)
        return !m_keepAlive;
    if (!m_closeAfterBytes)
        m_closeAfterBytes = m_receivedBytes;
    return !m_keepAlive || m_parsedBytes >= *m_closeAfterBytes;
}

void http_server::connection::reply(http_reply answer)
{
    m_keepAlive = !closesAfterAnswer();
    m_answerBytes = 0;
    std::string text = headText(answer.status, answer.headers, !m_keepAlive);
    if (hasBody(answer.status))
        appendHeader(text, "Content-Length", numberText(answer.body.size(), 10));
    text += "\r\n";
    if (answer.body.size() <= copiedBodyBytes) {
        text += answer.body;
        write(std::move(text));
    } else {
        write(std::move(text));
        write(std::move(answer.body));
    }
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
    write(std::move(chunk));
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

void http_server::connection::holdAnswer(std::size_t bytes)
{
    // while nothing waits for the caller, only the endpoint can be slow
    if (bytes > m_answerBytes && !m_writing)
        m_account->progressed(accountTime());
    m_answerBytes = bytes;
    if (!charge())
        shed();
}

void http_server::connection::onAnswerEnd()
{
    m_onCallerDisconnected = nullptr;
    m_answerBytes = 0;
    if (m_phase == phase::Closed)
        return;
    if (!m_keepAlive) {
        m_buffer = {}; // else it may be full, and bytes that are not read reset the connection
        setPhase(phase::Ending);
        static_cast<void>(charge()); // less than before
        setDeadline(lingerTimeout);
        return shutdownAfterWrite();
    }
    awaitRequest();
    // a pipelined request is served after this call returns, not within it
    boost::asio::post(m_owner->loop, [self = shared_from_this()] {
        if (self->m_phase != phase::Idle)
            return;
        self->parse({});
        if (!self->charge())
            self->shed();
        self->read();
    });
}

void http_server::connection::write(std::string bytes)
{
    if (m_phase == phase::Closed)
        return;
    if (m_unsent.size() > maxUnsentBytes)
        return handleCallerLeft();
    if (m_unsent.empty())
        m_unsent = std::move(bytes);
    else
        m_unsent += bytes;
    flush();
    const bool fits = charge();
    if (!fits && m_phase != phase::Reading) // while parsing, the parser's caller charges next
        shed();
}

void http_server::connection::flush()
{
    if (m_writing || m_unsent.empty() || m_phase == phase::Closed)
        return;
    m_writing = true;
    countAnswering();
    m_sending = std::exchange(m_unsent, {});
    m_sentBytes = 0;
    m_writeDeadline = std::chrono::steady_clock::now() + m_limits->writeTimeout;
    writeSome();
}

void http_server::connection::writeSome()
{
    m_socket.async_write_some(boost::asio::buffer(std::string_view(m_sending).substr(m_sentBytes)),
                              [self = shared_from_this()](error_code problem, std::size_t count) {
                                  self->onWritten(problem, count);
                              });
}

void http_server::connection::onWritten(error_code problem, std::size_t count)
{
    m_sentBytes += count;
    m_account->progressed(accountTime());
    if (!problem && m_phase != phase::Closed && m_sentBytes < m_sending.size())
        return writeSome();
    m_writing = false;
    m_writeDeadline = steady_instant::max();
    if (m_sending.capacity() > maxRetainedBufferBytes)
        kernel::freeMemory(m_sending);
    if (m_phase == phase::Closed)
        return static_cast<void>(m_account->hold(0, accountTime()));
    if (problem)
        return handleCallerLeft();
    flush();
    countAnswering();
    static_cast<void>(charge()); // less than before
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
    --shared_state::openInProcess;
    error_code ignored;
    m_socket.close(ignored);
    m_parser.reset();
    m_buffer = {};
    kernel::freeMemory(m_unsent);
    m_answerBytes = 0;
    if (m_account) // the buffer of a write in progress is freed when that has ended
        static_cast<void>(m_account->hold(m_writing ? memoryOf(m_sending) : 0, accountTime()));
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
                                std::uint64_t exchangeNumber, http_request request,
                                std::shared_ptr<memory_account> account, std::size_t runningBytes)
    : m_connection(std::move(servedConnection))
    , m_exchangeNumber(exchangeNumber)
    , m_request(std::move(request))
    , m_account(std::move(account))
    , m_runningBytes(runningBytes)
{ }

void http_server::exchange::reply(http_reply answer)
{
    if (isCurrent())
        m_connection->reply(std::move(answer));
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

void http_server::exchange::holdAnswer(std::size_t bytes)
{
    if (isCurrent())
        m_connection->holdAnswer(bytes);
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

#include "yuccascale/kernel/free_memory.hpp"
#include "yuccascale/net/http_connection.hpp"
#include "yuccascale/net/http_connection_memory.hpp"

#include <boost/asio/post.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace yuccascale::net {

namespace {

/// Longer bodies are not copied behind their heads, but sent after them.
constexpr std::size_t copiedBodyBytes = 64U << 10U;
/// With more bytes queued for a slow caller, the connection is closed before others are queued. One
/// answer may be longer.
constexpr std::size_t maxUnsentBytes = 4U << 20U;
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
    if (m_headOnly)
        answer.body.clear();
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
    if (bytes.empty() || m_headOnly)
        return;
    std::string chunk = numberText(bytes.size(), 16) + "\r\n";
    chunk += bytes;
    chunk += "\r\n";
    write(std::move(chunk));
}

void http_server::connection::finish()
{
    write(m_headOnly ? "" : "0\r\n\r\n");
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

http_server::exchange::exchange(std::shared_ptr<connection> servedConnection,
                                std::uint64_t exchangeNumber, http_request request,
                                kernel::nanoseconds unreadTime,
                                std::shared_ptr<memory_account> account, std::size_t runningBytes)
    : m_connection(std::move(servedConnection))
    , m_exchangeNumber(exchangeNumber)
    , m_request(std::move(request))
    , m_unreadTime(unreadTime)
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

bool http_server::exchange::holdRequest(std::size_t bytes)
{
    if (!m_account->run(bytes, accountTime()))
        return false;
    m_runningBytes += bytes;
    return true;
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

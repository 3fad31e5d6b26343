#include "processes/caller_crowd.hpp"

#include "yuccascale/wire/socket.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstdint>
#include <map>
#include <sstream>
#include <string_view>
#include <thread>
#include <utility>

namespace yuccascale::processes {

namespace {

constexpr std::size_t bytesShortOfTheEnd = 16;
constexpr std::size_t pieceBytes = 4'096;
constexpr std::size_t largeChunkBytes = 65'536;
constexpr std::size_t largestSmallChunk = 16;
constexpr int receiveBufferBytes = 4'096; ///< of callers that read nothing
constexpr std::size_t statusLineBytes = 12;
constexpr milliseconds pause{2}; ///< after a turn in which nothing moved
constexpr milliseconds observeInterval{50};

std::string chunk(std::size_t size)
{
    std::ostringstream text;
    text << std::hex << size << "\r\n" << std::string(size, 'x') << "\r\n";
    return text.str();
}

std::string chunkedBody(std::size_t bytes, body_form form)
{
    std::string text;
    std::size_t number = 0;
    for (std::size_t sent = 0; sent < bytes; ++number) {
        const std::size_t wanted
                = form == body_form::LargeChunks ? largeChunkBytes : number % largestSmallChunk + 1;
        const std::size_t size = std::min(wanted, bytes - sent);
        text += chunk(size);
        sent += size;
    }
    return text + "0\r\n\r\n";
}

[[nodiscard]] bool isChunked(body_form form)
{
    return form == body_form::LargeChunks || form == body_form::SmallChunks;
}

std::string bodyOf(const crowd_plan &plan)
{
    if (isChunked(plan.form))
        return chunkedBody(plan.bodyBytes, plan.form);
    return plan.content.empty() ? std::string(plan.bodyBytes, 'x') : plan.content;
}

/// \returns the line that says how long the body is, and the end of the head.
std::string lengthLine(const crowd_plan &plan)
{
    if (plan.bodyBytes == 0)
        return "\r\n";
    return isChunked(plan.form) ? "Transfer-Encoding: chunked\r\n\r\n"
                                : "Content-Length: " + std::to_string(plan.bodyBytes) + "\r\n\r\n";
}

/// \returns a socket that never blocks; its connection may still be made. -1 when there is none.
int connectTo(const std::string &address, bool reads)
{
    const std::size_t colon = address.rfind(':');
    std::uint16_t port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(port);
    if (::inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr) != 1)
        return -1;
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (made < 0)
        return -1;
    if (!reads)
        (void)::setsockopt(made, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes,
                           sizeof receiveBufferBytes);
    const int connected
            = ::connect(made, reinterpret_cast<const sockaddr *>(&target), sizeof target);
    if (connected == 0 || errno == EINPROGRESS)
        return made;
    ::close(made);
    return -1;
}

} // namespace

/// \brief One caller; one connection at a time.
class caller_crowd::caller
{
public:
    caller(const crowd_plan &plan, const std::string &body, std::size_t number)
        : m_plan(plan)
        , m_body(body)
        , m_number(number)
        , m_completes(number % plan.completeEvery == 0)
    { }

    ~caller() { end(); }
    caller(const caller &) = delete;
    caller &operator=(const caller &) = delete;

    /// \returns whether anything moved.
    [[nodiscard]] bool step()
    {
        if (m_socket < 0)
            return begin();
        const bool sent = send();
        return receive() || sent;
    }

    /// \returns whether it waits for the process only.
    [[nodiscard]] bool settled() const
    {
        if (m_socket < 0)
            return m_begun == m_plan.requestsOfCaller;
        if (m_completes && m_plan.readsToClose)
            return false;
        const bool awaitsAnswer = (m_completes || m_plan.bodyBytes == 0) && !m_answered;
        return m_sent == m_end && !awaitsAnswer;
    }

    [[nodiscard]] std::size_t begun() const noexcept { return m_begun; }
    [[nodiscard]] std::size_t answered() const noexcept { return m_answers; }
    [[nodiscard]] bool isOpen() const noexcept { return m_socket >= 0; }

    /// \returns "HTTP/1.1 200" of the last answer; empty without any.
    [[nodiscard]] const std::string &statusLine() const noexcept { return m_statusLine; }

private:
    [[nodiscard]] bool begin()
    {
        if (m_begun == m_plan.requestsOfCaller)
            return false;
        m_socket = connectTo(m_plan.address, m_completes || m_plan.bodyBytes > 0);
        if (m_socket < 0)
            return false;
        const std::size_t request = m_number + m_begun++ * m_plan.callers;
        m_head = m_plan.headOf(request) + lengthLine(m_plan);
        const std::size_t length = m_plan.bodyBytes == 0 ? 0 : m_body.size();
        m_end = m_head.size() + length;
        if (!m_completes && length > 0)
            m_end -= bytesShortOfTheEnd;
        m_sent = 0;
        m_answered = false;
        return true;
    }

    [[nodiscard]] bool send()
    {
        const bool turns = m_plan.form == body_form::Pieces;
        bool moved = false;
        while (m_sent < m_end) {
            const std::string_view part = m_sent < m_head.size()
                    ? std::string_view(m_head).substr(m_sent)
                    : std::string_view(m_body).substr(m_sent - m_head.size(), m_end - m_sent);
            const std::size_t size = turns ? std::min(part.size(), pieceBytes) : part.size();
            const ssize_t count = ::send(m_socket, part.data(), size, MSG_NOSIGNAL);
            if (count <= 0)
                return moved;
            m_sent += static_cast<std::size_t>(count);
            moved = true;
            if (turns)
                break;
        }
        return moved;
    }

    /// A caller that does not read looks at what has arrived, and leaves it there.
    [[nodiscard]] bool receive()
    {
        const bool reads = m_completes || m_plan.bodyBytes > 0;
        std::array<char, 65'536> bytes{};
        const ssize_t count = ::recv(m_socket, bytes.data(), bytes.size(), reads ? 0 : MSG_PEEK);
        const bool first = count > 0 && !std::exchange(m_answered, true);
        if (first) {
            ++m_answers;
            m_statusLine.assign(bytes.data(),
                                std::min<std::size_t>(std::size_t(count), statusLineBytes));
        }
        const bool nothingYet = count < 0 && (errno == EAGAIN || errno == ENOTCONN);
        if (count > 0 || nothingYet)
            return reads ? count > 0 : first;
        end();
        return true;
    }

    void end()
    {
        if (m_socket >= 0)
            ::close(std::exchange(m_socket, -1));
    }

    const crowd_plan &m_plan;
    const std::string &m_body;
    const std::size_t m_number;
    const bool m_completes;
    std::string m_head;
    int m_socket = -1;
    std::size_t m_sent = 0;
    std::size_t m_end = 0;
    std::size_t m_begun = 0;
    std::size_t m_answers = 0;
    bool m_answered = false;
    std::string m_statusLine;
};

caller_crowd::caller_crowd(crowd_plan plan)
    : m_plan(std::move(plan))
    , m_body(bodyOf(m_plan))
{
    for (std::size_t number = 0; number < m_plan.callers; ++number)
        m_callers.push_back(std::make_unique<caller>(m_plan, m_body, number));
}

caller_crowd::~caller_crowd() = default;

bool caller_crowd::step()
{
    bool moved = false;
    for (const std::unique_ptr<caller> &one : m_callers)
        moved = one->step() || moved;
    return moved;
}

void caller_crowd::run(milliseconds limit, const std::function<void()> &observe)
{
    const test_time until = test_clock::now() + limit;
    test_time observeAt = test_clock::now();
    const auto settled = [](const std::unique_ptr<caller> &one) { return one->settled(); };
    while (test_clock::now() < until && !std::ranges::all_of(m_callers, settled)) {
        if (!step())
            std::this_thread::sleep_for(pause);
        if (test_clock::now() < observeAt)
            continue;
        observe();
        observeAt = test_clock::now() + observeInterval;
    }
    observe();
}

void caller_crowd::hold(milliseconds time, const std::function<void()> &observe)
{
    const test_time until = test_clock::now() + time;
    while (test_clock::now() < until) {
        (void)step();
        observe();
        std::this_thread::sleep_for(observeInterval);
    }
}

std::string caller_crowd::summary() const
{
    std::size_t begun = 0;
    std::size_t answered = 0;
    std::size_t open = 0;
    std::map<std::string, int> lines;
    for (const std::unique_ptr<caller> &one : m_callers) {
        begun += one->begun();
        answered += one->answered();
        open += one->isOpen() ? 1 : 0;
        ++lines[one->statusLine()];
    }
    std::string statuses;
    for (const auto &[line, count] : lines)
        statuses += ", " + (line.empty() ? "none" : line.substr(line.rfind(' ') + 1)) + ": "
                + std::to_string(count);
    return std::to_string(begun) + " requests begun, " + std::to_string(answered) + " answered, "
            + std::to_string(open) + " connections open; callers by last status" + statuses;
}

} // namespace yuccascale::processes

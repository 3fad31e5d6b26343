#include "yuccascale/net/http_connection.hpp"

#include "yuccascale/kernel/free_memory.hpp"
#include "yuccascale/net/http_connection_memory.hpp"

#include <boost/asio/post.hpp>
#include <sys/resource.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace yuccascale::net {

namespace {

/// Part of the connections that are kept for refusals, which linger until their callers have read
/// them; beyond it connections are closed at once.
constexpr std::size_t lingeringDivisor = 8;
constexpr std::size_t mostLingering = 64;

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

} // namespace

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

} // namespace yuccascale::net

#include "yuccascale/wire/framed_connection.hpp"

#include "yuccascale/kernel/free_memory.hpp"

#include <algorithm>
#include <exception>
#include <utility>

namespace yuccascale::wire {

namespace {

using error_code = boost::system::error_code;

/// Reads and writes of one connection before others get their turn.
constexpr int maxReadsInTurn = 16;
constexpr int maxWritesInTurn = 16;

} // namespace

framed_connection::framed_connection(const transport_settings &settings,
                                     transport_counters &counters, link_loop &loop,
                                     tcp::socket socket)
    : m_settings(settings)
    , m_counters(counters)
    , m_loop(loop)
    , m_socket(std::move(socket))
    , m_lastActivity(std::chrono::steady_clock::now())
{ }

void framed_connection::guarded(const std::function<void()> &work)
{
    try {
        work();
    } catch (const std::exception &problem) {
        m_loop.report(problem);
        close();
    }
}

void framed_connection::begin(std::string_view bytesRead)
{
    error_code ignored;
    m_socket.non_blocking(true, ignored);
    setLinkOptions(m_socket.native_handle(), m_settings.userTimeout);
    m_lastActivity = std::chrono::steady_clock::now();
    updateDeadline();
    m_unread = bytesRead;
    guarded([this] {
        if (consume())
            waitToRead();
    });
}

void framed_connection::close()
{
    if (m_closed)
        return;
    m_closed = true;
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    closed();
    kernel::freeMemory(m_output);
    kernel::freeMemory(m_kept);
}

int framed_connection::releaseSocket()
{
    if (m_waitingToWrite || !m_output.empty())
        return -1;
    error_code problem;
    const int descriptor = m_socket.release(problem);
    m_closed = !problem;
    return problem ? -1 : descriptor;
}

void framed_connection::waitToRead()
{
    if (m_closed || m_paused || m_waitingToRead)
        return;
    m_waitingToRead = true;
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code problem) {
        self->m_waitingToRead = false;
        if (self->m_closed)
            return;
        if (problem)
            return self->close();
        self->guarded([&] { self->readAvailable(); });
    });
}

void framed_connection::readAvailable()
{
    const std::span<char> buffer = m_loop.receiveBuffer();
    for (int reads = 0; reads < maxReadsInTurn; ++reads) {
        error_code problem;
        const std::size_t count
                = m_socket.read_some(boost::asio::buffer(buffer.data(), buffer.size()), problem);
        if (problem == boost::asio::error::would_block)
            break;
        if (problem)
            return close();
        m_lastActivity = std::chrono::steady_clock::now();
        arrived(count);
        m_unread = {buffer.data(), count};
        if (!consume())
            return;
        if (count < buffer.size())
            break;
    }
    waitToRead();
}

/// \returns false when nothing is to be read for now.
bool framed_connection::consume()
{
    while (!m_unread.empty()) {
        std::optional<std::string> message = m_reader.next(m_unread);
        if (m_reader.tooLong()) {
            close();
            return false;
        }
        if (!message)
            break;
        switch (received(std::move(*message))) {
        case next_step::Read:
            break;
        case next_step::Pause:
            m_paused = true;
            m_kept = std::string(m_unread);
            m_unread = {};
            return false;
        case next_step::Close:
            close();
            return false;
        case next_step::Leave:
            return false;
        }
        if (m_closed)
            return false;
    }
    m_unread = {};
    return true;
}

void framed_connection::resume()
{
    if (m_closed || !std::exchange(m_paused, false))
        return;
    const std::string kept = std::exchange(m_kept, {});
    m_unread = kept;
    guarded([this] {
        if (consume())
            waitToRead();
    });
}

void framed_connection::flush()
{
    guarded([this] { writeWaiting(); });
}

void framed_connection::writeWaiting()
{
    for (int writes = 0; writes < maxWritesInTurn; ++writes) {
        if (m_closed || m_waitingToWrite)
            return;
        if (m_output.empty()) {
            m_output = nextOutput();
            m_written = 0;
            m_lastWrite = std::chrono::steady_clock::now();
            m_lastActivity = m_lastWrite;
        }
        if (m_output.empty() || !writeSome())
            return;
    }
    m_loop.post([self = shared_from_this()] { self->flush(); });
}

/// \returns whether all output was handed over.
bool framed_connection::writeSome()
{
    error_code problem;
    const std::size_t count = m_socket.write_some(
            boost::asio::buffer(m_output.data() + m_written, m_output.size() - m_written), problem);
    if (problem == boost::asio::error::would_block) {
        waitToWrite();
        return false;
    }
    if (problem) {
        close();
        return false;
    }
    m_written += count;
    m_counters.bytesSent += count;
    m_lastWrite = std::chrono::steady_clock::now();
    handedOver(count);
    if (m_written < m_output.size()) {
        waitToWrite();
        return false;
    }
    kernel::freeMemory(m_output);
    return true;
}

void framed_connection::waitToWrite()
{
    m_waitingToWrite = true;
    updateDeadline();
    m_socket.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code problem) {
        self->m_waitingToWrite = false;
        if (self->m_closed)
            return;
        if (problem)
            return self->close();
        self->guarded([&] {
            if (self->writeSome())
                self->flush();
        });
    });
}

loop_time framed_connection::deadline() const
{
    if (!m_waitingToWrite)
        return closeAt();
    return std::min(closeAt(), m_lastWrite + m_settings.userTimeout);
}

void framed_connection::updateDeadline()
{
    const loop_time when = deadline();
    if (m_closed || when >= m_checkAt)
        return;
    m_checkAt = m_loop.watch(weak_from_this(), when);
}

void framed_connection::deadlineReached(loop_time scheduled)
{
    if (m_closed || scheduled != m_checkAt)
        return;
    m_checkAt = loop_time::max();
    if (deadline() <= std::chrono::steady_clock::now())
        return close();
    updateDeadline();
}

} // namespace yuccascale::wire

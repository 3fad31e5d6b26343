#pragma once

#include "yuccascale/wire/framing.hpp"
#include "yuccascale/wire/link_loop.hpp"
#include "yuccascale/wire/tcp_transport.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

/// \file
/// \brief A TCP connection between two nodes on an event loop.

namespace yuccascale::wire {

/// \brief Reads length-prefixed messages and writes what the derived class wants to send. All calls
///        are made on the loop's thread.
///
/// While nothing is read or written it holds no buffer and no timer of its own.
class framed_connection : public watched, public std::enable_shared_from_this<framed_connection>
{
public:
    using tcp = boost::asio::ip::tcp;

    framed_connection(const transport_settings &settings, transport_counters &counters,
                      link_loop &loop, tcp::socket socket);
    framed_connection(const framed_connection &) = delete;
    framed_connection &operator=(const framed_connection &) = delete;

    /// \brief Writes what nextOutput() returns, until it returns nothing or the system takes no
    ///        more.
    void flush();

    /// \brief Closes the connection and calls closed(), once.
    void close();

    [[nodiscard]] bool isClosed() const noexcept { return m_closed; }

    void deadlineReached(loop_time scheduled) override;

protected:
    /// What comes after a message.
    enum class next_step {
        Read,
        Pause, ///< reading goes on with resume()
        Close,
        Leave, ///< the derived class has released the socket
    };

    /// \brief Handles a message without its length prefix.
    [[nodiscard]] virtual next_step received(std::string message) = 0;

    /// \returns the bytes to write next; empty when there are none.
    [[nodiscard]] virtual std::string nextOutput() = 0;

    /// \brief Tells that the system has taken \a bytes more of what nextOutput() returned.
    virtual void handedOver(std::size_t bytes) { static_cast<void>(bytes); }

    /// \brief Tells that \a bytes arrived.
    virtual void arrived(std::size_t bytes) { static_cast<void>(bytes); }

    /// \brief Tells that the connection has closed.
    virtual void closed() = 0;

    /// \returns when to close the connection, besides a write that makes no progress.
    [[nodiscard]] virtual loop_time closeAt() const = 0;

    /// \brief Sets the options, and reads from now on.
    void begin(std::string_view bytesRead = {});

    /// \brief Reads on after next_step::Pause.
    void resume();

    /// \brief Tells that closeAt() may be earlier than before.
    void updateDeadline();

    /// \brief Gives the descriptor away. The connection does nothing from then on.
    /// \returns a negative number when a write is in progress.
    [[nodiscard]] int releaseSocket();

    [[nodiscard]] tcp::socket &stream() noexcept { return m_socket; }
    [[nodiscard]] message_reader &reader() noexcept { return m_reader; }
    [[nodiscard]] loop_time lastActivity() const noexcept { return m_lastActivity; }
    /// \returns the bytes that were read and not yet passed to received().
    [[nodiscard]] std::string_view unread() const noexcept { return m_unread; }
    /// \returns the output that is being written.
    [[nodiscard]] std::string_view output() const noexcept { return m_output; }

    const transport_settings &m_settings;
    transport_counters &m_counters;
    link_loop &m_loop;

private:
    void waitToRead();
    void readAvailable();
    [[nodiscard]] bool consume();
    void waitToWrite();
    [[nodiscard]] bool writeSome();
    [[nodiscard]] loop_time deadline() const;

    tcp::socket m_socket;
    message_reader m_reader;
    std::string_view m_unread;
    std::string m_kept; ///< m_unread while reading is paused
    std::string m_output;
    std::size_t m_written = 0; ///< of m_output
    loop_time m_lastActivity;
    loop_time m_lastWrite{};
    loop_time m_checkAt = loop_time::max();
    bool m_closed = false;
    bool m_paused = false;
    bool m_waitingToRead = false;
    bool m_waitingToWrite = false;
};

} // namespace yuccascale::wire

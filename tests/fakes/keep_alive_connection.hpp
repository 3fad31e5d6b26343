#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/wire/socket.hpp"

#include <string>
#include <string_view>

/// \file
/// \brief A caller's HTTP/1.1 connection that is kept open and whose bytes the caller times itself.

namespace yuccascale::fakes {

/// \brief State of a connection after an answer was read.
enum class connection_end {
    Open,
    Closed,   ///< the peer closed it, having read all that was sent
    Reset,    ///< the peer reset it, for instance because it left bytes unread
    TimedOut, ///< nothing arrived within the time
};

[[nodiscard]] std::string_view connectionEndName(connection_end end) noexcept;

/// \brief One answer. Status 0: no whole head arrived.
struct connection_answer
{
    int status = 0;
    std::string body;
    bool complete = false;  ///< the whole body arrived, as its length or its last chunk says
    bool keepsOpen = false; ///< further answers may follow on the connection
    connection_end end = connection_end::Open;
};

/// \brief Sends requests and reads their answers in order. Not thread-safe.
class keep_alive_connection
{
public:
    /// \brief Creates a closed connection.
    keep_alive_connection() noexcept = default;

    /// \returns a closed connection when \a address (IP:port) did not accept it.
    [[nodiscard]] static keep_alive_connection open(const std::string &address);

    [[nodiscard]] bool isOpen() const noexcept { return m_socket.isOpen(); }

    /// \returns whether the peer has closed the connection or sent bytes that were not asked for.
    [[nodiscard]] bool hasUnreadBytesOrEnd() const;

    /// \returns false when the connection failed before all bytes were passed to the system.
    [[nodiscard]] bool send(std::string_view bytes) const { return m_socket.writeAll(bytes); }

    /// \brief Reads one answer, for \a timeout at most.
    [[nodiscard]] connection_answer read(kernel::milliseconds timeout);

    void close() noexcept;

private:
    explicit keep_alive_connection(wire::socket socket) noexcept
        : m_socket(std::move(socket))
    { }

    [[nodiscard]] connection_end receive(kernel::milliseconds timeout);

    wire::socket m_socket;
    std::string m_unparsed; ///< received bytes of later answers
};

} // namespace yuccascale::fakes

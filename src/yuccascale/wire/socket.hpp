#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

/// \file
/// \brief TCP sockets with bounded waits.

namespace yuccascale::wire {

/// \brief An IP number and port.
struct socket_address
{
    std::string host; ///< IPv4 number
    std::uint16_t port = 0;
};

/// \brief Reads "IP:port".
/// \returns error_kind::InvalidArgument with the expected form.
[[nodiscard]] kernel::result<socket_address> parseAddress(std::string_view text);

/// \brief Owns a connected or listening socket.
class socket
{
public:
    socket() noexcept = default;
    explicit socket(int descriptor) noexcept
        : m_descriptor(descriptor)
    { }
    ~socket() { close(); }
    socket(socket &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    { }
    socket &operator=(socket &&other) noexcept;
    socket(const socket &) = delete;
    socket &operator=(const socket &) = delete;

    [[nodiscard]] bool isOpen() const noexcept { return m_descriptor >= 0; }
    [[nodiscard]] int descriptor() const noexcept { return m_descriptor; }

    /// \brief Connects within \a timeout; unacknowledged bytes are given up after \a userTimeout.
    /// \returns error_kind::Unavailable naming the address.
    [[nodiscard]] static kernel::result<socket> connect(const socket_address &address,
                                                        kernel::milliseconds timeout,
                                                        kernel::milliseconds userTimeout);

    /// \brief Listens on \a address.
    /// \returns error_kind::Unavailable naming the address and the remedy.
    [[nodiscard]] static kernel::result<socket> listen(const socket_address &address);

    /// \brief Accepts a connection.
    /// \returns a closed socket when none came within \a timeout.
    [[nodiscard]] socket accept(kernel::milliseconds timeout) const;

    /// \returns false when the connection failed before all bytes were handed to the system.
    [[nodiscard]] bool writeAll(std::string_view bytes) const noexcept;

    /// \returns false when the connection ended or failed before \a size bytes came.
    [[nodiscard]] bool readExactly(char *out, std::size_t size) const noexcept;

    /// \brief Bounds each later read; zero waits for ever.
    void setReadTimeout(kernel::milliseconds timeout) const noexcept;

    /// \brief Ends both directions, so that blocked reads and writes return.
    void shutdown() const noexcept;

    void close() noexcept;

private:
    int m_descriptor = -1;
};

} // namespace yuccascale::wire

#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/error.hpp"

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

/// \file
/// \brief TCP sockets with timeouts.

namespace yuccascale::wire {

/// \brief An IPv4 address and port.
struct socket_address
{
    std::string host; ///< IPv4 address
    std::uint16_t port = 0;
};

/// \brief Parses "IP:port".
/// \returns error_kind::InvalidArgument, with the expected form, for any other text.
[[nodiscard]] kernel::result<socket_address> parseAddress(std::string_view text);

/// \brief Sets the options of a connection between nodes: no delay of small writes, and failure
/// when
///        sent bytes stay unacknowledged for \a userTimeout.
void setLinkOptions(int descriptor, kernel::milliseconds userTimeout) noexcept;

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
        , m_bytesRead(other.m_bytesRead.load())
    { }
    socket &operator=(socket &&other) noexcept;
    socket(const socket &) = delete;
    socket &operator=(const socket &) = delete;

    [[nodiscard]] bool isOpen() const noexcept { return m_descriptor >= 0; }
    [[nodiscard]] int descriptor() const noexcept { return m_descriptor; }

    /// \brief Connects within \a timeout. The connection fails when sent bytes stay unacknowledged
    ///        for \a userTimeout.
    /// \returns error_kind::Unavailable naming the address.
    [[nodiscard]] static kernel::result<socket> connect(const socket_address &address,
                                                        kernel::milliseconds timeout,
                                                        kernel::milliseconds userTimeout);

    /// \brief Listens on \a address.
    /// \returns error_kind::Unavailable naming the address and the remedy.
    [[nodiscard]] static kernel::result<socket> listen(const socket_address &address);

    /// \brief Accepts a connection.
    /// \returns a closed socket when there was none within \a timeout.
    [[nodiscard]] socket accept(kernel::milliseconds timeout) const;

    /// \returns false when the connection failed before all bytes were passed to the operating
    /// system.
    [[nodiscard]] bool writeAll(std::string_view bytes) const noexcept;

    /// \returns false when the connection closed or failed before \a size bytes arrived.
    [[nodiscard]] bool readExactly(char *out, std::size_t size) const noexcept;

    /// \returns the bytes that readExactly() has received, also those of a read in progress.
    [[nodiscard]] std::uint64_t bytesRead() const noexcept { return m_bytesRead; }

    /// \brief Sets the timeout of each later read; zero means none.
    void setReadTimeout(kernel::milliseconds timeout) const noexcept;

    /// \brief Shuts down both directions, so that blocked reads and writes return.
    void shutdown() const noexcept;

    void close() noexcept;

    /// \returns the descriptor, which the caller owns from now on.
    [[nodiscard]] int release() noexcept { return std::exchange(m_descriptor, -1); }

private:
    int m_descriptor = -1;
    mutable std::atomic<std::uint64_t> m_bytesRead{0};
};

} // namespace yuccascale::wire

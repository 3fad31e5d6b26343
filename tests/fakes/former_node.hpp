#pragma once

#include "yuccascale/kernel/transport.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief The other end of a link as build 30bf086 speaks it, written out without this build's
/// code.

namespace yuccascale::fakes {

/// \brief A frame as it was read.
struct former_frame
{
    std::uint8_t channel = 0;
    std::uint64_t correlation = 0;
    bool reply = false;
    std::string payload;
};

/// \brief A blocking connection that a test controls byte for byte.
class former_node
{
public:
    /// \brief Connects to \a port on loopback and does the handshake of the connecting side.
    /// \returns a closed one when that failed.
    [[nodiscard]] static former_node connect(int port, std::string_view self, std::string_view peer,
                                             std::string_view secret);

    /// \brief Connects without a handshake.
    [[nodiscard]] static former_node connectOnly(int port);

    /// \brief Does the handshake of the accepting side on \a descriptor, which it owns from then
    /// on.
    [[nodiscard]] static former_node accept(int descriptor, std::string_view self,
                                            std::string_view secret);

    explicit former_node(int descriptor) noexcept
        : m_descriptor(descriptor)
    { }
    ~former_node() { close(); }
    former_node(former_node &&other) noexcept;
    former_node &operator=(former_node &&other) noexcept;
    former_node(const former_node &) = delete;
    former_node &operator=(const former_node &) = delete;

    [[nodiscard]] bool isOpen() const noexcept { return m_descriptor >= 0; }

    /// \returns the bytes of a frame with its length prefix.
    [[nodiscard]] static std::string encode(const former_frame &frame);

    /// \returns false when the connection failed.
    bool send(std::string_view bytes) const;

    /// \returns nothing when the connection closed, or nothing came for 5 s.
    [[nodiscard]] std::optional<former_frame> read() const;

    /// \returns whether the other side closes within 5 s, whatever it sends before.
    [[nodiscard]] bool closedByPeer() const;

    void close() noexcept;

    /// \brief Closes so that the other side sees a reset.
    void reset() noexcept;

private:
    [[nodiscard]] bool readExactly(char *out, std::size_t size) const;
    [[nodiscard]] std::optional<std::string> readMessage() const;

    int m_descriptor;
};

/// \brief Listens on a loopback port; connections wait in the system's queue until accept().
class former_listener
{
public:
    former_listener();
    ~former_listener();
    former_listener(const former_listener &) = delete;
    former_listener &operator=(const former_listener &) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }
    [[nodiscard]] std::string name() const { return "127.0.0.1:" + std::to_string(m_port); }

    /// \returns a connection before its handshake; negative when none came within 5 s.
    [[nodiscard]] int acceptDescriptor() const;

    /// \returns a connection after its handshake, as the node name().
    [[nodiscard]] former_node accept(std::string_view secret) const;

private:
    int m_descriptor;
    std::uint16_t m_port = 0;
};

} // namespace yuccascale::fakes

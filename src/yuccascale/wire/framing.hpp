#pragma once

#include "yuccascale/kernel/transport.hpp"
#include "yuccascale/wire/socket.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Length-prefixed FlatBuffers frames and the handshake that opens a connection.

namespace yuccascale::wire {

/// \brief Largest frame that is read or written, in bytes.
inline constexpr std::uint32_t maxFrameBytes = 64U << 20U;

/// \brief One message between two nodes.
struct frame
{
    kernel::channel channel = kernel::channel::Consensus;
    std::uint64_t correlation = 0; ///< 0: no reply is wanted
    bool reply = false;
    std::string payload;
};

/// \returns the frame with its length prefix.
[[nodiscard]] std::string encodeFrame(const frame &frame);

/// \brief Decodes and verifies a frame without its length prefix.
/// \returns nothing when \a bytes are not a frame.
[[nodiscard]] std::optional<frame> decodeFrame(std::string_view bytes);

/// \brief Reads one frame.
/// \returns nothing when the connection ended or the bytes are not a frame.
[[nodiscard]] std::optional<frame> readFrame(const socket &connection);

/// \brief Proves to the listening side that this node holds the cluster secret, and checks that
/// the other side does.
/// \returns false when the other side is not who it should be.
[[nodiscard]] bool openHandshake(const socket &connection, std::string_view self,
                                 std::string_view peer, std::string_view secret);

/// \brief The listening side of openHandshake().
/// \returns the peer's authenticated name, or nothing.
[[nodiscard]] std::optional<std::string>
acceptHandshake(const socket &connection, std::string_view self, std::string_view secret);

} // namespace yuccascale::wire

#pragma once

#include "yuccascale/kernel/transport.hpp"
#include "yuccascale/wire/socket.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Length-prefixed FlatBuffers frames and the handshake on a new connection.

namespace yuccascale::wire {

/// \brief Maximum size of a frame, in bytes.
inline constexpr std::uint32_t maxFrameBytes = 64U << 20U;

/// \brief One message between two nodes.
struct frame
{
    kernel::channel channel = kernel::channel::Consensus;
    std::uint64_t correlation = 0; ///< 0: no reply is expected
    bool reply = false;
    std::string payload;
};

/// \returns the frame with its length prefix.
[[nodiscard]] std::string encodeFrame(const frame &frame);

/// \brief Decodes and verifies a frame without its length prefix.
/// \returns nothing when \a bytes are not a valid frame.
[[nodiscard]] std::optional<frame> decodeFrame(std::string_view bytes);

/// \brief Reads one frame.
/// \returns nothing when the connection has closed or the bytes are not a valid frame.
[[nodiscard]] std::optional<frame> readFrame(const socket &connection);

/// \brief The connecting side of the handshake: proves that this node holds the cluster secret and
///        checks that \a peer does.
///
/// \returns false when the other side has another name or another secret, or closed the connection.
[[nodiscard]] bool openHandshake(const socket &connection, std::string_view self,
                                 std::string_view peer, std::string_view secret);

/// \brief The accepting side of openHandshake().
/// \returns the peer's authenticated name; nothing when the handshake failed.
[[nodiscard]] std::optional<std::string>
acceptHandshake(const socket &connection, std::string_view self, std::string_view secret);

} // namespace yuccascale::wire

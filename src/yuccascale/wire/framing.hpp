#pragma once

#include "yuccascale/kernel/transport.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Length-prefixed FlatBuffers frames and the handshake on a new connection. Works on bytes;
///        the caller reads and writes them.

namespace yuccascale::wire {

/// \brief Maximum size of a frame, in bytes.
inline constexpr std::uint32_t maxFrameBytes = 64U << 20U;

/// \brief Maximum size of a message of the handshake, in bytes.
inline constexpr std::uint32_t maxHelloBytes = 4'096;

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

/// \brief Assembles length-prefixed messages from bytes that arrive in pieces.
class message_reader
{
public:
    /// \brief Sets the maximum size of the next messages.
    void setLimit(std::uint32_t bytes) noexcept { m_limit = bytes; }

    /// \brief Takes bytes from the front of \a bytes.
    /// \returns the message that they complete, without its prefix; nothing when more are needed or
    ///          the message is longer than the limit.
    [[nodiscard]] std::optional<std::string> next(std::string_view &bytes);

    /// \returns whether a message longer than the limit was announced; nothing can be read after
    /// it.
    [[nodiscard]] bool tooLong() const noexcept { return m_tooLong; }

private:
    [[nodiscard]] bool readPrefix(std::string_view &bytes);

    std::uint32_t m_limit = maxHelloBytes;
    std::string m_prefix;
    std::uint32_t m_size = 0;
    bool m_hasSize = false;
    bool m_tooLong = false;
    std::string m_message;
};

/// \brief The connecting side of the handshake: proves that this node holds the cluster secret and
///        checks that the peer does.
class connecting_handshake
{
public:
    connecting_handshake(std::string_view self, std::string_view peer, std::string_view secret);

    /// \returns the first message, with its length prefix.
    [[nodiscard]] std::string hello() const;

    /// \brief Checks the peer's answer.
    /// \returns this node's proof, with its length prefix; nothing when the peer has another name
    /// or
    ///          another secret.
    [[nodiscard]] std::optional<std::string> prove(std::string_view answer) const;

private:
    std::string m_self;
    std::string m_peer;
    std::string m_secret;
    std::string m_nonce;
};

/// \brief The accepting side of the handshake.
class accepting_handshake
{
public:
    accepting_handshake(std::string_view self, std::string_view secret);

    /// \returns the answer to the peer's first message, with its length prefix; nothing when that
    ///          message is malformed.
    [[nodiscard]] std::optional<std::string> answer(std::string_view hello);

    /// \returns the peer's authenticated name; nothing when it does not hold the secret.
    [[nodiscard]] std::optional<std::string> accept(std::string_view proof) const;

private:
    std::string m_self;
    std::string m_secret;
    std::string m_nonce;
    std::string m_peer;
    std::string m_peerNonce;
};

} // namespace yuccascale::wire

#include "yuccascale/wire/framing.hpp"

#include "yuccascale/wire/frame_generated.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace yuccascale::wire {

namespace {

constexpr std::size_t nonceBytes = 16;

struct hello_message
{
    std::string node;
    std::string nonce;
    std::string proof;
};

std::string withLengthPrefix(const flatbuffers::FlatBufferBuilder &builder)
{
    const std::uint32_t size = builder.GetSize();
    std::string out(sizeof size, '\0');
    std::memcpy(out.data(), &size, sizeof size);
    out.append(reinterpret_cast<const char *>(builder.GetBufferPointer()), size);
    return out;
}

flatbuffers::Verifier makeVerifier(std::string_view bytes)
{
    return flatbuffers::Verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                 bytes.size());
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>
createBytes(flatbuffers::FlatBufferBuilder &builder, std::string_view bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

std::string toString(const flatbuffers::Vector<std::uint8_t> *bytes)
{
    if (bytes == nullptr)
        return {};
    return {reinterpret_cast<const char *>(bytes->data()), bytes->size()};
}

std::string encodeHello(const hello_message &message)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto node = builder.CreateString(message.node);
    const auto nonce = createBytes(builder, message.nonce);
    const auto proof = createBytes(builder, message.proof);
    builder.Finish(fb::CreateHello(builder, node, nonce, proof));
    return withLengthPrefix(builder);
}

std::optional<hello_message> decodeHello(std::string_view bytes)
{
    flatbuffers::Verifier verifier = makeVerifier(bytes);
    if (!verifier.VerifyBuffer<fb::Hello>(nullptr))
        return std::nullopt;
    const auto *table = flatbuffers::GetRoot<fb::Hello>(bytes.data());
    if (table->node() == nullptr)
        return std::nullopt;
    return hello_message{table->node()->str(), toString(table->nonce()), toString(table->proof())};
}

std::string makeNonce()
{
    std::string nonce(nonceBytes, '\0');
    RAND_bytes(reinterpret_cast<unsigned char *>(nonce.data()), static_cast<int>(nonceBytes));
    return nonce;
}

/// HMAC-SHA-256, keyed with the secret, over both names and both nonces; proves that \a prover
/// holds the secret.
std::string makeProof(std::string_view secret, std::string_view prover, std::string_view verifier,
                      std::string_view firstNonce, std::string_view secondNonce)
{
    std::string text;
    for (const std::string_view part : {prover, verifier, firstNonce, secondNonce}) {
        text += std::to_string(part.size()) + ":";
        text += part;
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), out.data(), &size);
    return {reinterpret_cast<const char *>(out.data()), size};
}

bool proofsEqual(std::string_view one, std::string_view other) noexcept
{
    return one.size() == other.size() && CRYPTO_memcmp(one.data(), other.data(), one.size()) == 0;
}

} // namespace

std::string encodeFrame(const frame &frame)
{
    flatbuffers::FlatBufferBuilder builder(frame.payload.size() + 64);
    const auto payload = createBytes(builder, frame.payload);
    builder.Finish(fb::CreateFrame(builder, static_cast<std::uint8_t>(frame.channel),
                                   frame.correlation, frame.reply, payload));
    return withLengthPrefix(builder);
}

std::optional<frame> decodeFrame(std::string_view bytes)
{
    flatbuffers::Verifier verifier = makeVerifier(bytes);
    if (!verifier.VerifyBuffer<fb::Frame>(nullptr))
        return std::nullopt;
    const auto *table = flatbuffers::GetRoot<fb::Frame>(bytes.data());
    return frame{static_cast<kernel::channel>(table->channel()), table->correlation(),
                 table->reply(), toString(table->payload())};
}

std::optional<std::string> message_reader::next(std::string_view &bytes)
{
    if (!m_hasSize && !readPrefix(bytes))
        return std::nullopt;
    const std::size_t taken = std::min<std::size_t>(m_size - m_message.size(), bytes.size());
    m_message.append(bytes.substr(0, taken));
    bytes.remove_prefix(taken);
    if (m_message.size() < m_size)
        return std::nullopt;
    m_hasSize = false;
    return std::exchange(m_message, {});
}

bool message_reader::readPrefix(std::string_view &bytes)
{
    const std::size_t taken = std::min(sizeof m_size - m_prefix.size(), bytes.size());
    m_prefix.append(bytes.substr(0, taken));
    bytes.remove_prefix(taken);
    if (m_prefix.size() < sizeof m_size)
        return false;
    std::memcpy(&m_size, m_prefix.data(), sizeof m_size);
    m_prefix.clear();
    m_tooLong = m_size > m_limit;
    m_hasSize = !m_tooLong;
    return m_hasSize;
}

connecting_handshake::connecting_handshake(std::string_view self, std::string_view peer,
                                           std::string_view secret)
    : m_self(self)
    , m_peer(peer)
    , m_secret(secret)
    , m_nonce(makeNonce())
{ }

std::string connecting_handshake::hello() const
{
    return encodeHello({m_self, m_nonce, {}});
}

std::optional<std::string> connecting_handshake::prove(std::string_view answer) const
{
    const std::optional<hello_message> received = decodeHello(answer);
    if (!received || received->node != m_peer)
        return std::nullopt;
    if (!proofsEqual(received->proof,
                     makeProof(m_secret, m_peer, m_self, m_nonce, received->nonce)))
        return std::nullopt;
    return encodeHello({m_self, {}, makeProof(m_secret, m_self, m_peer, received->nonce, m_nonce)});
}

accepting_handshake::accepting_handshake(std::string_view self, std::string_view secret)
    : m_self(self)
    , m_secret(secret)
    , m_nonce(makeNonce())
{ }

std::optional<std::string> accepting_handshake::answer(std::string_view hello)
{
    std::optional<hello_message> received = decodeHello(hello);
    if (!received || received->nonce.size() != nonceBytes)
        return std::nullopt;
    m_peer = std::move(received->node);
    m_peerNonce = std::move(received->nonce);
    return encodeHello(
            {m_self, m_nonce, makeProof(m_secret, m_self, m_peer, m_peerNonce, m_nonce)});
}

std::optional<std::string> accepting_handshake::accept(std::string_view proof) const
{
    const std::optional<hello_message> received = decodeHello(proof);
    if (!received
        || !proofsEqual(received->proof, makeProof(m_secret, m_peer, m_self, m_nonce, m_peerNonce)))
        return std::nullopt;
    return m_peer;
}

} // namespace yuccascale::wire

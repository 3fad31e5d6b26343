#include "yuccascale/wire/framing.hpp"

#include "yuccascale/wire/frame_generated.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstring>

namespace yuccascale::wire {

namespace {

constexpr std::size_t nonceBytes = 16;
constexpr std::uint32_t maxHelloBytes = 4'096;

struct hello
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

std::optional<std::string> readLengthPrefixed(const socket &connection, std::uint32_t limit)
{
    std::uint32_t size = 0;
    if (!connection.readExactly(reinterpret_cast<char *>(&size), sizeof size) || size > limit)
        return std::nullopt;
    std::string bytes(size, '\0');
    if (!connection.readExactly(bytes.data(), size))
        return std::nullopt;
    return bytes;
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

bool sendHello(const socket &connection, const hello &message)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto node = builder.CreateString(message.node);
    const auto nonce = createBytes(builder, message.nonce);
    const auto proof = createBytes(builder, message.proof);
    builder.Finish(fb::CreateHello(builder, node, nonce, proof));
    return connection.writeAll(withLengthPrefix(builder));
}

std::optional<hello> readHello(const socket &connection)
{
    const std::optional<std::string> bytes = readLengthPrefixed(connection, maxHelloBytes);
    if (!bytes)
        return std::nullopt;
    flatbuffers::Verifier verifier = makeVerifier(*bytes);
    if (!verifier.VerifyBuffer<fb::Hello>(nullptr))
        return std::nullopt;
    const auto *table = flatbuffers::GetRoot<fb::Hello>(bytes->data());
    if (table->node() == nullptr)
        return std::nullopt;
    return hello{table->node()->str(), toString(table->nonce()), toString(table->proof())};
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

std::optional<frame> readFrame(const socket &connection)
{
    const std::optional<std::string> bytes = readLengthPrefixed(connection, maxFrameBytes);
    return bytes ? decodeFrame(*bytes) : std::nullopt;
}

bool openHandshake(const socket &connection, std::string_view self, std::string_view peer,
                   std::string_view secret)
{
    const std::string ownNonce = makeNonce();
    if (!sendHello(connection, {std::string(self), ownNonce, {}}))
        return false;
    const std::optional<hello> serverHello = readHello(connection);
    if (!serverHello || serverHello->node != peer)
        return false;
    if (!proofsEqual(serverHello->proof,
                     makeProof(secret, peer, self, ownNonce, serverHello->nonce)))
        return false;
    return sendHello(
            connection,
            {std::string(self), {}, makeProof(secret, self, peer, serverHello->nonce, ownNonce)});
}

std::optional<std::string> acceptHandshake(const socket &connection, std::string_view self,
                                           std::string_view secret)
{
    const std::optional<hello> clientHello = readHello(connection);
    if (!clientHello || clientHello->nonce.size() != nonceBytes)
        return std::nullopt;
    const std::string ownNonce = makeNonce();
    if (!sendHello(connection,
                   {std::string(self), ownNonce,
                    makeProof(secret, self, clientHello->node, clientHello->nonce, ownNonce)}))
        return std::nullopt;
    const std::optional<hello> clientProof = readHello(connection);
    if (!clientProof
        || !proofsEqual(clientProof->proof,
                        makeProof(secret, clientHello->node, self, ownNonce, clientHello->nonce)))
        return std::nullopt;
    return clientHello->node;
}

} // namespace yuccascale::wire

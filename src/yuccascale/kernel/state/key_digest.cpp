#include "yuccascale/kernel/state/key_digest.hpp"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <span>

namespace yuccascale::kernel::state {

namespace {

constexpr std::size_t keyBytes = 32;
constexpr std::string_view keyPrefix = "yk_";

std::string hexOf(std::span<const unsigned char> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xfU]);
    }
    return text;
}

} // namespace

result<std::string> makeKey()
{
    std::array<unsigned char, keyBytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        return fail(error_kind::Internal, "key",
                    "the system's random number generator failed; create the key on another node");
    }
    return std::string(keyPrefix) + hexOf(bytes);
}

std::string keyDigest(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return hexOf(digest);
}

bool sameDigest(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size()
            && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace yuccascale::kernel::state

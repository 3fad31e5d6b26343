#include "yuccascale/kernel/requests/signed_text.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>

namespace yuccascale::kernel::requests {

namespace {

constexpr std::string_view hexDigits = "0123456789abcdef";

} // namespace

std::string toHex(std::string_view bytes)
{
    std::string text;
    text.reserve(2 * bytes.size());
    for (const char byte : bytes) {
        text.push_back(hexDigits[static_cast<unsigned char>(byte) >> 4U]);
        text.push_back(hexDigits[static_cast<unsigned char>(byte) & 15U]);
    }
    return text;
}

std::string fromHex(std::string_view text)
{
    std::string bytes;
    if (text.size() % 2 != 0)
        return bytes;
    for (std::size_t offset = 0; offset < text.size(); offset += 2) {
        unsigned int byte = 0;
        const char *end = text.data() + offset + 2;
        if (std::from_chars(text.data() + offset, end, byte, 16).ptr != end)
            return {};
        bytes.push_back(static_cast<char>(byte));
    }
    return bytes;
}

std::vector<std::string_view> dotSeparated(std::string_view text)
{
    std::vector<std::string_view> fields;
    while (true) {
        const std::size_t dot = text.find('.');
        fields.push_back(text.substr(0, dot));
        if (dot == std::string_view::npos)
            return fields;
        text.remove_prefix(dot + 1);
    }
}

std::string signatureOf(std::string_view secret, std::string_view context, std::string_view text)
{
    const std::string message = std::string(context) + "\n" + std::string(text);
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(message.data()), message.size(), bytes.data(),
         &length);
    return toHex({reinterpret_cast<const char *>(bytes.data()), length});
}

bool sameSignature(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
            && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace yuccascale::kernel::requests

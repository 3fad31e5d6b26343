#include "yuccascale/kernel/requests/resume_token.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>
#include <vector>

namespace yuccascale::kernel::requests {

namespace {

constexpr std::string_view signatureContext = "yuccascale resume 1";
constexpr std::string_view hexDigits = "0123456789abcdef";
constexpr std::size_t tokenFields = 5;

[[nodiscard]] std::string toHex(std::string_view bytes)
{
    std::string text;
    text.reserve(2 * bytes.size());
    for (const char byte : bytes) {
        text.push_back(hexDigits[static_cast<unsigned char>(byte) >> 4U]);
        text.push_back(hexDigits[static_cast<unsigned char>(byte) & 15U]);
    }
    return text;
}

/// \returns an empty string when \a text is not hex.
[[nodiscard]] std::string fromHex(std::string_view text)
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

/// The token without its signature.
[[nodiscard]] std::string signedPart(const resume_token_payload &payload)
{
    return toHex(payload.organisation) + "." + toHex(payload.requestId) + "." + payload.fingerprint
            + "." + std::to_string(payload.delivered);
}

[[nodiscard]] std::string signatureOf(std::string_view secret, std::string_view text)
{
    const std::string message = std::string(signatureContext) + "\n" + std::string(text);
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(message.data()), message.size(), bytes.data(),
         &length);
    return toHex({reinterpret_cast<const char *>(bytes.data()), length});
}

[[nodiscard]] std::vector<std::string_view> fieldsOf(std::string_view token)
{
    std::vector<std::string_view> fields;
    while (true) {
        const std::size_t dot = token.find('.');
        fields.push_back(token.substr(0, dot));
        if (dot == std::string_view::npos)
            return fields;
        token.remove_prefix(dot + 1);
    }
}

[[nodiscard]] bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
            && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

std::string issueResumeToken(std::string_view secret, const resume_token_payload &payload)
{
    const std::string text = signedPart(payload);
    return text + "." + signatureOf(secret, text);
}

result<resume_token_payload> readResumeToken(std::string_view secret, std::string_view token,
                                             std::string_view organisation,
                                             std::string_view fingerprint)
{
    const auto refuse = [] {
        return fail(error_kind::Forbidden, "X-Resume-Token",
                    "the token is not valid for this organisation and request; send the request "
                    "without it");
    };
    const std::vector<std::string_view> fields = fieldsOf(token);
    if (fields.size() != tokenFields)
        return refuse();
    const std::string_view text = token.substr(0, token.rfind('.'));
    if (!equalInConstantTime(signatureOf(secret, text), fields.back()))
        return refuse();
    resume_token_payload payload{fromHex(fields[0]), fromHex(fields[1]), std::string(fields[2]), 0};
    const std::string_view delivered = fields[3];
    std::from_chars(delivered.data(), delivered.data() + delivered.size(), payload.delivered);
    if (payload.organisation != organisation || payload.fingerprint != fingerprint)
        return refuse();
    return payload;
}

} // namespace yuccascale::kernel::requests

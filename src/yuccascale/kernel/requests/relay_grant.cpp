#include "yuccascale/kernel/requests/relay_grant.hpp"

#include "yuccascale/kernel/requests/signed_text.hpp"

#include <charconv>
#include <vector>

namespace yuccascale::kernel::requests {

namespace {

constexpr std::string_view signatureContext = "yuccascale relay 1";
constexpr std::size_t grantFields = 5;
constexpr std::string_view counted = "counted";
constexpr std::string_view notCounted = "new";

/// The signature also covers the id of the request.
[[nodiscard]] std::string grantSignature(std::string_view secret, std::string_view requestId,
                                         std::string_view text)
{
    return signatureOf(secret, signatureContext, toHex(requestId) + "." + std::string(text));
}

} // namespace

std::string issueRelayGrant(std::string_view secret, std::string_view requestId,
                            const relay_grant &grant)
{
    const std::string text = toHex(grant.entry) + "." + toHex(grant.continuedId) + "."
            + std::to_string(grant.attempts) + "."
            + std::string(grant.usageCounted ? counted : notCounted);
    return text + "." + grantSignature(secret, requestId, text);
}

std::optional<relay_grant> readRelayGrant(std::string_view secret, std::string_view requestId,
                                          std::string_view text)
{
    const std::vector<std::string_view> fields = dotSeparated(text);
    if (fields.size() != grantFields)
        return std::nullopt;
    const std::string_view signedPart = text.substr(0, text.rfind('.'));
    if (!sameSignature(grantSignature(secret, requestId, signedPart), fields.back()))
        return std::nullopt;
    relay_grant grant{fromHex(fields[0]), fromHex(fields[1]), 0, fields[3] == counted};
    const std::string_view attempts = fields[2];
    std::from_chars(attempts.data(), attempts.data() + attempts.size(), grant.attempts);
    return grant;
}

} // namespace yuccascale::kernel::requests

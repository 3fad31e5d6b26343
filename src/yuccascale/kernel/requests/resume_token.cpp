#include "yuccascale/kernel/requests/resume_token.hpp"

#include "yuccascale/kernel/requests/signed_text.hpp"

#include <charconv>
#include <vector>

namespace yuccascale::kernel::requests {

namespace {

constexpr std::string_view signatureContext = "yuccascale resume 1";
constexpr std::size_t tokenFields = 5;

/// The token without its signature.
[[nodiscard]] std::string signedPart(const resume_token_payload &payload)
{
    return toHex(payload.organisation) + "." + toHex(payload.requestId) + "." + payload.fingerprint
            + "." + std::to_string(payload.delivered);
}

} // namespace

std::string issueResumeToken(std::string_view secret, const resume_token_payload &payload)
{
    const std::string text = signedPart(payload);
    return text + "." + signatureOf(secret, signatureContext, text);
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
    const std::vector<std::string_view> fields = dotSeparated(token);
    if (fields.size() != tokenFields)
        return refuse();
    const std::string_view text = token.substr(0, token.rfind('.'));
    if (!sameSignature(signatureOf(secret, signatureContext, text), fields.back()))
        return refuse();
    resume_token_payload payload{fromHex(fields[0]), fromHex(fields[1]), std::string(fields[2]), 0};
    const std::string_view delivered = fields[3];
    std::from_chars(delivered.data(), delivered.data() + delivered.size(), payload.delivered);
    if (payload.organisation != organisation || payload.fingerprint != fingerprint)
        return refuse();
    return payload;
}

} // namespace yuccascale::kernel::requests

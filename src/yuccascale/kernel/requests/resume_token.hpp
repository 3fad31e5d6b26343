#pragma once

#include "yuccascale/kernel/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// \brief Signed tokens with which a caller resumes a broken stream at another entry.

namespace yuccascale::kernel::requests {

/// \brief Signed contents of a resume token.
struct resume_token_payload
{
    std::string organisation;
    std::string requestId;
    std::string fingerprint;    ///< of the request
    std::int64_t delivered = 0; ///< pieces that the caller had received when the token was issued
};

/// \brief Issues a token signed with HMAC-SHA-256 under the cluster secret.
[[nodiscard]] std::string issueResumeToken(std::string_view secret,
                                           const resume_token_payload &payload);

/// \brief Verifies a token's signature, organisation and request fingerprint.
/// \returns its contents, or error_kind::Forbidden when the token is not valid for this request.
[[nodiscard]] result<resume_token_payload> readResumeToken(std::string_view secret,
                                                           std::string_view token,
                                                           std::string_view organisation,
                                                           std::string_view fingerprint);

} // namespace yuccascale::kernel::requests

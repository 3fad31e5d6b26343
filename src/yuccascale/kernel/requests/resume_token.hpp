#pragma once

#include "yuccascale/kernel/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// \brief Tokens with which a caller continues a broken stream at another entry.

namespace yuccascale::kernel::requests {

/// \brief What a resume token vouches for.
struct resume_token_payload
{
    std::string organisation;
    std::string requestId;
    std::string fingerprint;    ///< of the request
    std::int64_t delivered = 0; ///< pieces that the caller had when it was issued
};

/// \brief Signs with the cluster secret.
[[nodiscard]] std::string issueResumeToken(std::string_view secret,
                                           const resume_token_payload &payload);

/// \brief Checks the signature and that the token is for this organisation and request.
/// \returns error_kind::Forbidden when it is not.
[[nodiscard]] result<resume_token_payload> readResumeToken(std::string_view secret,
                                                           std::string_view token,
                                                           std::string_view organisation,
                                                           std::string_view fingerprint);

} // namespace yuccascale::kernel::requests

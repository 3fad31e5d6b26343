#pragma once

#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief What an entry tells the one that serves a request in its place.

namespace yuccascale::kernel::requests {

/// \brief A request that another entry received and passed on.
struct relay_grant
{
    std::string entry;       ///< that received it from its caller
    std::string continuedId; ///< of the request that brought the first piece; empty: it has none
    int attempts = 0;        ///< that may have reached an endpoint
    bool usageCounted = false;

    [[nodiscard]] bool operator==(const relay_grant &) const = default;
};

/// Header that carries a grant; an entry never forwards one.
inline constexpr std::string_view relayGrantHeader = "Yuccascale-Relay";
/// Header of a refusal: the entry reaches no endpoint and has sent the request nowhere.
inline constexpr std::string_view relayUnreachedHeader = "Yuccascale-Unreached";

/// \returns the grant for one request, signed under the cluster secret.
[[nodiscard]] std::string issueRelayGrant(std::string_view secret, std::string_view requestId,
                                          const relay_grant &grant);

/// \returns nothing when the text is not a grant for this request.
[[nodiscard]] std::optional<relay_grant>
readRelayGrant(std::string_view secret, std::string_view requestId, std::string_view text);

} // namespace yuccascale::kernel::requests

#pragma once

#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/requests/request.hpp"

#include <set>
#include <string>
#include <string_view>

/// \file
/// \brief Maps keys to organisations and checks whether a request may be sent.

namespace yuccascale::kernel::requests {

/// \returns SHA-256 of \a text in lower-case hex.
[[nodiscard]] std::string digestOf(std::string_view text);

/// \brief Finds the organisation of a key. Compares all records, each in constant time.
/// \returns its name; empty when the key is unknown or withdrawn.
[[nodiscard]] std::string organisationOf(const state::table_set &tables,
                                         std::string_view keyDigest);

/// \brief Whether a request may be sent to an endpoint now.
enum class start_check {
    Allowed,
    KeyWithdrawn, ///< the key no longer belongs to the request's organisation
    NotFresh,     ///< the entry's tables are not confirmed, so its keys may be outdated
    Banned,       ///< the request, or a part of its prompt, is banned for crashing endpoints
    Leaving,      ///< the entry is shutting down and may end before the answer
};

/// \returns whether the \a bans hold the request's fingerprint or parts of its prompt.
[[nodiscard]] bool isBanned(const std::set<std::string> &bans, const request &request);

/// \returns the refusal of a banned request that has not run.
[[nodiscard]] refusal bannedRefusal();

/// \brief Checks the key, the freshness lease and the bans.
[[nodiscard]] start_check checkStart(instant now, const control_view &view, const request &request);

} // namespace yuccascale::kernel::requests

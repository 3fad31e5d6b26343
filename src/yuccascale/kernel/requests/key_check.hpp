#pragma once

#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/requests/request.hpp"

#include <string>
#include <string_view>

/// \file
/// \brief Which organisation a key stands for, and whether a request may start now.

namespace yuccascale::kernel::requests {

/// \returns SHA-256 of \a text in lower-case hex.
[[nodiscard]] std::string digestOf(std::string_view text);

/// \brief Finds the organisation of a key. Compares every record in constant time.
/// \returns its name; empty when the key is unknown or withdrawn.
[[nodiscard]] std::string organisationOf(const state::table_set &tables,
                                         std::string_view keyDigest);

/// \brief Whether a request may be sent to an endpoint now.
enum class start_check {
    Allowed,
    KeyWithdrawn, ///< the key no longer stands for the request's organisation
    NotFresh,     ///< this entry cannot tell which keys are valid
    Banned,       ///< the request crashed endpoints
};

/// \brief Checks the key, the freshness lease and the banned fingerprints.
[[nodiscard]] start_check checkStart(instant now, const control_view &view, const request &request);

} // namespace yuccascale::kernel::requests

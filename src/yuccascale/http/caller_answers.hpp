#pragma once

#include "yuccascale/kernel/requests/request.hpp"

#include <span>
#include <string>

/// \file
/// \brief Status codes and JSON bodies of the replies that an entry makes itself.

namespace yuccascale::http {

/// \brief The address at which an entry serves callers.
struct offered_address
{
    std::string address; ///< IP:port
    std::string zone;
    int weight = 1;
};

/// \returns the HTTP status of an error.
[[nodiscard]] int statusOf(kernel::error_kind kind) noexcept;

/// \returns the body of a typed error.
/// \param addresses other entries that the caller may try
[[nodiscard]] std::string errorBody(const kernel::requests::refusal &reason,
                                    const std::string &requestId,
                                    std::span<const offered_address> addresses);

/// \returns the body of `GET /v1/addresses`.
[[nodiscard]] std::string addressesBody(std::uint64_t revision, kernel::milliseconds timeToLive,
                                        std::span<const offered_address> addresses);

} // namespace yuccascale::http

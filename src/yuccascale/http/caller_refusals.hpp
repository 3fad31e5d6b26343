#pragma once

#include "yuccascale/kernel/requests/request.hpp"
#include "yuccascale/net/http_message.hpp"

#include <cstdint>

/// \file
/// \brief Refusals of requests that were not admitted.

namespace yuccascale::http {

/// \returns whether an error is said for want of a row in the tables.
[[nodiscard]] bool isNegative(kernel::error_kind kind) noexcept;

/// \returns whether an earlier attempt of the request may have been run.
[[nodiscard]] bool sentBefore(const net::http_request &httpRequest);

/// \returns the refusal of a request that finds no memory.
[[nodiscard]] kernel::requests::refusal memoryRefusal();

/// \returns the refusal of a request that is shed while the entry is short of processor time.
/// \param requestNumber spreads the advised delays of callers refused one after the other
[[nodiscard]] kernel::requests::refusal overloadRefusal(const net::http_request &httpRequest,
                                                        std::uint64_t requestNumber);

} // namespace yuccascale::http

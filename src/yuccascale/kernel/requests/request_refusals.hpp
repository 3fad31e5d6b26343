#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/requests/request.hpp"
#include "yuccascale/kernel/requests/request_actions.hpp"

/// \file
/// \brief Refusals of requests that were not begun.

namespace yuccascale::kernel::requests {

/// Retry delay advised when the entry's tables are not confirmed or the log is unavailable.
inline constexpr milliseconds controlRetryAfter{500};
/// Retry delay advised when the endpoints failed or the deadline passed.
inline constexpr milliseconds endpointRetryAfter{1'000};

/// \returns the refusal of an entry that is shutting down. It advises no delay, since another entry
/// takes the request at once.
[[nodiscard]] refusal leavingRefusal();

/// \returns why a request may not start; an empty refusal when it may.
[[nodiscard]] refusal refusalOf(start_check check);

} // namespace yuccascale::kernel::requests

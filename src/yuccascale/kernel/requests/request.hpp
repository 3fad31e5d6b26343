#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/error.hpp"
#include "yuccascale/kernel/state/tables.hpp"

#include <cstdint>
#include <string>

/// \file
/// \brief A caller's request, its refusal and its usage, as the decision code sees them.

namespace yuccascale::kernel::requests {

/// \brief A request that an entry has read whole.
struct request
{
    std::string id;           ///< the caller's, or made by the entry
    std::string endpointId;   ///< towards endpoints; unique even when two callers pick the same id
    std::string organisation; ///< empty on a route open to all
    std::string keyDigest;    ///< SHA-256 of its key in hex; empty on a route open to all
    state::route route;       ///< as in force when the request came
    std::string method;
    std::string path; ///< with its query, as an endpoint sees it
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    std::string fingerprint;       ///< digest of route, method, path and body
    bool streamed = false;         ///< the caller wants server-sent events
    std::int64_t promptTokens = 0; ///< estimated
    std::int64_t outputTokens = 0; ///< expected at most
    bool sentBefore = false;       ///< the caller shows that an entry has had it before
    std::int64_t resumeFrom = 0;   ///< pieces that the caller already has
    instant receivedAt{};
    instant deadline{}; ///< of the whole answer
};

/// \brief Why a request gets no answer.
struct refusal
{
    error_kind kind = error_kind::Internal;
    std::string message;      ///< names the remedy
    bool mayHaveRun = false;  ///< false only when no endpoint can have run it
    nanoseconds retryAfter{}; ///< zero when coming back does not help
};

/// \brief Tokens of one answer.
struct token_usage
{
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t completionTokens = 0;
};

/// \brief An answer that is not streamed.
struct whole_answer
{
    int status = 200;
    std::string contentType;
    std::string body;
};

} // namespace yuccascale::kernel::requests

#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/error.hpp"
#include "yuccascale/kernel/requests/header_field.hpp"
#include "yuccascale/kernel/state/tables.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// \brief A caller's request, its refusal and its usage, as the decision code sees them.

namespace yuccascale::kernel::requests {

/// \brief A part of a prompt that several requests may share.
struct prompt_part
{
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
};

/// \brief When the usage of a request is counted.
enum class usage_commit_point {
    BeforeEnd, ///< committed before the last piece leaves, so that a whole answer always counts
    AtStart,   ///< once it has begun to run; nothing waits for the log
};

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
    instant deadline{};             ///< of the whole answer
    header_list headers;            ///< passed on to endpoints as they came
    std::vector<prompt_part> parts; ///< of the prompt, in order; the last one is its own
    std::string lastPieceId;        ///< name of the last piece that the caller has, if it told one
    usage_commit_point usageCommitPoint = usage_commit_point::BeforeEnd;

    /// \returns whether its single run is claimed in the log.
    [[nodiscard]] bool claimed() const noexcept { return !route.idempotent && route.claimed; }
};

/// \brief Start of a streamed answer, as the endpoint gave it.
struct stream_head
{
    int status = 200;
    header_list headers;
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
struct complete_answer
{
    int status = 200;
    std::string contentType;
    std::string body;
    header_list headers = {}; ///< besides the content type
};

} // namespace yuccascale::kernel::requests

#include "yuccascale/http/caller_refusals.hpp"

namespace yuccascale::http {

using kernel::error_kind;
using kernel::milliseconds;
using kernel::requests::refusal;

namespace {

/// Retry delay advised to callers whose requests are shed, and the step between two of them.
constexpr milliseconds minShedRetry{500};
constexpr milliseconds shedRetryStep{125};
constexpr std::uint64_t shedRetrySteps = 8;
/// Told to callers whose requests find no memory.
constexpr kernel::seconds memoryRetry{1};

} // namespace

bool isNegative(error_kind kind) noexcept
{
    return kind == error_kind::NotFound || kind == error_kind::Unauthorized
            || kind == error_kind::Forbidden;
}

bool sentBefore(const net::http_request &httpRequest)
{
    return !httpRequest.header("Idempotency-Key").empty()
            || !httpRequest.header("X-Resume-Token").empty();
}

refusal memoryRefusal()
{
    return {error_kind::Overloaded, "the memory for requests is used up; retry at another address",
            false, memoryRetry};
}

refusal overloadRefusal(const net::http_request &httpRequest, std::uint64_t requestNumber)
{
    const auto steps = static_cast<int>(requestNumber % shedRetrySteps);
    return {error_kind::Overloaded,
            "this entry is short of processor time; retry at another address",
            sentBefore(httpRequest), minShedRetry + steps * shedRetryStep};
}

} // namespace yuccascale::http

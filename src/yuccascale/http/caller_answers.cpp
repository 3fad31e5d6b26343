#include "yuccascale/http/caller_answers.hpp"

#include "yuccascale/kernel/json_text.hpp"

#include <array>

namespace yuccascale::http {

namespace {

using kernel::json;

/// Indexed by error_kind.
constexpr std::array<int, 14> statusByErrorKind{400, 404, 409, 401, 403, 503, 503,
                                                429, 504, 503, 502, 502, 500, 429};

} // namespace

int statusOf(kernel::error_kind kind) noexcept
{
    return statusByErrorKind[static_cast<std::size_t>(kind)];
}

std::string errorBody(const kernel::requests::refusal &reason, const std::string &requestId,
                      std::span<const offered_address> addresses)
{
    json error{{"kind", kernel::errorKindName(reason.kind)},
               {"message", reason.message},
               {"may_have_run", reason.mayHaveRun},
               {"request_id", requestId}};
    if (reason.retryAfter > kernel::nanoseconds::zero()) {
        error["retry_after_ms"]
                = std::chrono::ceil<kernel::milliseconds>(reason.retryAfter).count();
    }
    json others = json::array();
    for (const offered_address &offered : addresses)
        others.push_back(offered.address);
    error["addresses"] = std::move(others);
    return kernel::toText({{"error", std::move(error)}});
}

std::string addressesBody(std::uint64_t revision, kernel::milliseconds timeToLive,
                          std::span<const offered_address> addresses)
{
    json rows = json::array();
    for (const offered_address &offered : addresses)
        rows.push_back(
                {{"address", offered.address}, {"zone", offered.zone}, {"weight", offered.weight}});
    return kernel::toText(
            {{"revision", revision}, {"ttl_ms", timeToLive.count()}, {"addresses", rows}});
}

} // namespace yuccascale::http

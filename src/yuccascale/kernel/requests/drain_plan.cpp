#include "yuccascale/kernel/requests/drain_plan.hpp"

#include <algorithm>

namespace yuccascale::kernel::requests {

namespace {

/// Part of the time limit that remains to send the last bytes and to end the process.
constexpr int reserveDivisor = 16;
constexpr milliseconds minReserve{50};
constexpr milliseconds maxReserve{500};
/// An answer may take longer than all recent ones: half as long again is allowed for.
constexpr int marginNumerator = 3;
constexpr int marginDenominator = 2;
/// Part of the time limit in which estimates are used, however long callers hold the list.
constexpr int estimateDivisor = 4;

} // namespace

drain_plan::drain_plan(instant since, nanoseconds limit, nanoseconds addressTtl) noexcept
{
    if (limit <= nanoseconds::zero())
        return;
    const nanoseconds reserve
            = std::clamp<nanoseconds>(limit / reserveDivisor, minReserve, maxReserve);
    m_closingTime = reserve / 2;
    m_end = since + std::max(limit - reserve, nanoseconds::zero());
    m_estimatesUntil = since + std::min(addressTtl, limit / estimateDivisor);
}

/// A request that is cut must be one that can be sent again; the entry that passed one on can send
/// it to another one instead.
bool drain_plan::mayEstimate(const request &callerRequest) const noexcept
{
    return callerRequest.receivedAt <= m_estimatesUntil && callerRequest.route.idempotent
            && !callerRequest.relay;
}

bool drain_plan::endsInTime(instant now, const request &callerRequest,
                            std::optional<nanoseconds> longestAnswer) const noexcept
{
    if (callerRequest.deadline <= m_end)
        return true;
    return longestAnswer && mayEstimate(callerRequest)
            && now + *longestAnswer * marginNumerator / marginDenominator <= m_end;
}

} // namespace yuccascale::kernel::requests

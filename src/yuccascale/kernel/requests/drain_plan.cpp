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

} // namespace

drain_plan::drain_plan(instant since, nanoseconds limit) noexcept
{
    if (limit <= nanoseconds::zero())
        return;
    const nanoseconds reserve
            = std::clamp<nanoseconds>(limit / reserveDivisor, minReserve, maxReserve);
    m_end = since + std::max(limit - reserve, nanoseconds::zero());
}

bool drain_plan::endsInTime(instant now, instant answerBy,
                            std::optional<nanoseconds> longestAnswer) const noexcept
{
    if (answerBy <= m_end)
        return true;
    return longestAnswer && now + *longestAnswer * marginNumerator / marginDenominator <= m_end;
}

} // namespace yuccascale::kernel::requests

#include "yuccascale/kernel/requests/memory_shedding.hpp"

#include <algorithm>

namespace yuccascale::kernel::requests {

namespace {

/// Part of the limit that other connections may hold beside one that exceeds it alone, and that is
/// freed beyond need, so that a full budget is not searched again for each piece that arrives.
constexpr std::size_t reserveDivisor = 8;
/// Added to each age, so that connections that have just begun are compared by their bytes.
constexpr milliseconds leastAge{100};

/// \returns bytes times the time for which they were held, counting time without progress twice. A
/// caller that sends a byte now and then remains old.
[[nodiscard]] double costOf(const memory_holder &holder, instant now) noexcept
{
    const std::chrono::duration<double> age = now - holder.since + leastAge;
    const std::chrono::duration<double> idle = now - holder.progressedAt;
    return static_cast<double>(holder.bytes) * (age + idle).count();
}

} // namespace

bool memorySuffices(const memory_totals &totals) noexcept
{
    return totals.held <= totals.limit
            || totals.held - std::min(totals.held, totals.greatest)
            <= totals.limit / reserveDivisor;
}

std::vector<std::uint64_t> holdersToShed(const memory_totals &totals,
                                         std::vector<memory_holder> holders, instant now)
{
    std::vector<std::uint64_t> chosen;
    if (memorySuffices(totals))
        return chosen;
    std::ranges::sort(holders, [now](const memory_holder &one, const memory_holder &other) {
        return costOf(one, now) > costOf(other, now);
    });
    const std::size_t target = totals.limit - totals.limit / reserveDivisor;
    std::size_t held = totals.held;
    for (const memory_holder &holder : holders) {
        if (held <= target)
            break;
        chosen.push_back(holder.id);
        held -= std::min(held, holder.bytes);
    }
    return chosen;
}

} // namespace yuccascale::kernel::requests

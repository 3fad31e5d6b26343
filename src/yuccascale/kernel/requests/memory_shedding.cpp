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

[[nodiscard]] std::size_t bytesOf(const std::vector<memory_holder> &holders) noexcept
{
    std::size_t bytes = 0;
    for (const memory_holder &holder : holders)
        bytes += holder.bytes;
    return bytes;
}

[[nodiscard]] std::vector<std::uint64_t> idsOf(const std::vector<memory_holder> &holders)
{
    std::vector<std::uint64_t> ids;
    ids.reserve(holders.size());
    for (const memory_holder &holder : holders)
        ids.push_back(holder.id);
    return ids;
}

/// Keeps the first holders that have to be shed until no more than \a target is held.
/// \returns what is held then.
std::size_t takeUntil(std::size_t target, std::size_t held, std::vector<memory_holder> &holders)
{
    std::size_t count = 0;
    while (count < holders.size() && held > target)
        held -= std::min(held, holders[count++].bytes);
    holders.resize(count);
    return held;
}

/// Removes holders without which the limit is still reached. When requests that run hold nearly all
/// of it, a large newcomer has to be shed whoever else is.
void spareTheNeedless(std::size_t limit, std::size_t held, std::vector<memory_holder> &chosen)
{
    std::erase_if(chosen, [limit, &held](const memory_holder &holder) {
        if (held + holder.bytes > limit)
            return false;
        held += holder.bytes;
        return true;
    });
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
    if (memorySuffices(totals))
        return {};
    std::ranges::sort(holders, [now](const memory_holder &one, const memory_holder &other) {
        return costOf(one, now) > costOf(other, now);
    });
    const std::size_t target = totals.limit - totals.limit / reserveDivisor;
    const std::size_t least = totals.held - std::min(totals.held, bytesOf(holders));
    if (least <= target) {
        takeUntil(target, totals.held, holders);
        return idsOf(holders);
    }
    if (least > totals.limit)
        return {};
    spareTheNeedless(totals.limit, takeUntil(totals.limit, totals.held, holders), holders);
    return idsOf(holders);
}

} // namespace yuccascale::kernel::requests

#include "yuccascale/kernel/policy/prefix_homes.hpp"

#include <xxhash.h>

#include <cmath>

namespace yuccascale::kernel::policy {

double homeScore(std::uint64_t part, std::string_view engine, double weight) noexcept
{
    constexpr double steps = 9007199254740992.0; // 2^53, so that the draw is exact
    const std::uint64_t hash = XXH64(engine.data(), engine.size(), part);
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) / steps;
    return -weight / std::log(uniform);
}

} // namespace yuccascale::kernel::policy

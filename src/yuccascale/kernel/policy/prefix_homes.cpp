#include "yuccascale/kernel/policy/prefix_homes.hpp"

#include <xxhash.h>

namespace yuccascale::kernel::policy {

std::uint64_t homeWeight(std::uint64_t part, std::string_view engine) noexcept
{
    return XXH64(engine.data(), engine.size(), part);
}

} // namespace yuccascale::kernel::policy

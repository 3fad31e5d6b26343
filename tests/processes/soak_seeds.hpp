#pragma once

#include <cstdlib>
#include <numeric>
#include <span>
#include <vector>

/// \file
/// \brief Seeds and sizes of the soaks, from the environment.

namespace yuccascale::processes {

[[nodiscard]] inline unsigned environmentNumber(const char *variable, unsigned fallback)
{
    const char *text = std::getenv(variable); // NOLINT(concurrency-mt-unsafe): before any thread
    return text == nullptr ? fallback : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

/// \returns YUCCASCALE_SOAK_SEEDS seeds from YUCCASCALE_SOAK_FIRST on; \a ciSeeds if that is unset.
[[nodiscard]] inline std::vector<unsigned> soakSeeds(std::span<const unsigned> ciSeeds)
{
    const unsigned count = environmentNumber("YUCCASCALE_SOAK_SEEDS", 0);
    if (count == 0)
        return {ciSeeds.begin(), ciSeeds.end()};
    std::vector<unsigned> seeds(count);
    std::iota(seeds.begin(), seeds.end(), environmentNumber("YUCCASCALE_SOAK_FIRST", 1));
    return seeds;
}

/// \returns YUCCASCALE_SOAK_NODES, or \a ciNodes if that is unset.
[[nodiscard]] inline int soakNodes(int ciNodes)
{
    return static_cast<int>(
            environmentNumber("YUCCASCALE_SOAK_NODES", static_cast<unsigned>(ciNodes)));
}

} // namespace yuccascale::processes

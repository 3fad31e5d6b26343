#pragma once

#include "yuccascale/kernel/requests/request.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// \brief What an entry tells the other entries of endpoints: prompts placed, failures seen.

namespace yuccascale::kernel::requests {

/// The other entries are told of prompts of so many tokens; shorter ones hardly hold up anyone.
inline constexpr std::int64_t minAnnouncedTokens = 1'024;

/// \brief A long prompt on its way to an engine.
struct placement
{
    std::string pool;
    std::string endpoint;           ///< generates, and holds the parts once it has begun
    std::string prefillEndpoint;    ///< reads the prompt; the same engine, or one that fills for it
    std::int64_t tokens = 0;        ///< to be read
    nanoseconds timeToFirstToken{}; ///< until the first token, as predicted
    std::vector<prompt_part> parts; ///< shared by many requests
};

/// \brief A request failed at an endpoint, or it could not be reached.
struct endpoint_failure
{
    std::string pool;
    std::string endpoint;
    bool crashed = false; ///< it is gone or out of reach; else it only failed the request
};

/// \brief What an entry has to tell at once.
struct endpoint_updates
{
    std::vector<placement> placements;
    std::vector<endpoint_failure> failures;

    [[nodiscard]] bool empty() const noexcept { return placements.empty() && failures.empty(); }
};

} // namespace yuccascale::kernel::requests

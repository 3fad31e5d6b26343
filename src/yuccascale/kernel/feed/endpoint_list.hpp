#pragma once

#include "yuccascale/kernel/json.hpp"
#include "yuccascale/kernel/state/tables.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// \brief The list of endpoints as the platform shows it.

namespace yuccascale::kernel::feed {

/// \brief An endpoint as the platform lists it. It is not part of the tables: the list is read
/// again continuously and need not be stored.
struct listed_endpoint
{
    std::string pool;
    state::endpoint row;

    [[nodiscard]] bool operator==(const listed_endpoint &) const = default;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(listed_endpoint, pool, row)
};

/// \brief The platform's list of endpoints.
struct endpoint_list
{
    std::uint64_t version = 0; ///< rises on each node with each list that it installs; 0: none yet
    std::vector<listed_endpoint> endpoints;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(endpoint_list, version, endpoints)
};

} // namespace yuccascale::kernel::feed

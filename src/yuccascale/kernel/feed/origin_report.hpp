#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <string>
#include <vector>

/// \file
/// \brief What a node tells another that began to watch the tables later.

namespace yuccascale::kernel::feed {

/// \brief How long a node has watched without a gap.
struct watched_span
{
    milliseconds time{};
    bool fromFirstRevision = false; ///< nothing was in force before it

    [[nodiscard]] bool operator==(const watched_span &) const = default;
};

/// \brief A software version of a pool, or a pool of a route, that is no longer in force.
struct former_name
{
    std::string owner; ///< the pool or the route
    std::string name;
    milliseconds goneFor{};

    [[nodiscard]] bool operator==(const former_name &) const = default;
};

/// \brief A deadline of a route that is no longer in force.
struct former_deadline
{
    std::string route;
    milliseconds deadline{};
    milliseconds goneFor{};

    [[nodiscard]] bool operator==(const former_deadline &) const = default;
};

/// \brief How long a node has watched, and what was in force meanwhile and is no longer. Without
/// content, the node has said nothing.
struct origin_report
{
    watched_span tables;
    watched_span endpoints;
    std::vector<former_name> versions;
    std::vector<former_name> pools;
    std::vector<former_deadline> deadlines;

    [[nodiscard]] bool operator==(const origin_report &) const = default;
};

} // namespace yuccascale::kernel::feed

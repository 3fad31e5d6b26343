#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/state/commands.hpp"

#include <optional>
#include <string>

/// \file
/// \brief Validation of edits of the tables.

namespace yuccascale::kernel::state {

/// Longest deadline of a route.
inline constexpr milliseconds maxRouteDeadline{3'600'000};

/// Most endpoints that one request of a route may be sent to.
inline constexpr int maxRouteAttempts = 100;

/// Greatest priority of a route; the lowest is its negative.
inline constexpr int maxRoutePriority = 100;

/// \brief Checks an edit on its own: each row is edited once, and names and values are in range.
/// \returns the first problem, with row, field and remedy, or nothing.
[[nodiscard]] std::optional<std::string> problemInEdit(const edit_tables &edit);

/// \brief Checks that the rows to remove exist in \a before.
[[nodiscard]] std::optional<std::string> problemInRemovals(const table_set &before,
                                                           const edit_tables &edit);

/// \brief Checks that the rows of a table set fit together: references, kinds, steady endpoints of
/// non-idempotent routes, and unique names, hosts with prefixes and key digests.
[[nodiscard]] std::optional<std::string> problemInReferences(const table_set &tables);

} // namespace yuccascale::kernel::state

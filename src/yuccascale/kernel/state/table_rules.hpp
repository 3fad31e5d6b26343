#pragma once

#include "yuccascale/kernel/state/commands.hpp"

#include <optional>
#include <string>

/// \file
/// \brief What an edit must satisfy to be accepted.

namespace yuccascale::kernel::state {

/// \brief Checks an edit by itself: no row twice, names and values in range.
/// \returns what is wrong, with row, field and remedy, or nothing.
[[nodiscard]] std::optional<std::string> problemInEdit(const edit_tables &edit);

/// \brief Checks that the rows to remove exist in \a before.
[[nodiscard]] std::optional<std::string> problemInRemovals(const table_set &before,
                                                           const edit_tables &edit);

/// \brief Checks that the rows of a whole table set fit together.
[[nodiscard]] std::optional<std::string> problemInReferences(const table_set &tables);

} // namespace yuccascale::kernel::state

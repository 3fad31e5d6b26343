#pragma once

#include "yuccascale/kernel/error.hpp"
#include "yuccascale/kernel/state/tables.hpp"

#include <string>
#include <vector>

/// \file
/// \brief Reads table rows from a YAML file that holds one row or a list of rows.

namespace yuccascale::cli {

/// \returns the routes of \a file, or every problem with its line.
[[nodiscard]] kernel::result<std::vector<kernel::state::route>>
readRouteFile(const std::string &file);

/// \returns the pools of \a file, or every problem with its line.
[[nodiscard]] kernel::result<std::vector<kernel::state::pool>>
readPoolFile(const std::string &file);

/// \returns the organisations of \a file, or every problem with its line.
[[nodiscard]] kernel::result<std::vector<kernel::state::organisation>>
readOrganisationFile(const std::string &file);

} // namespace yuccascale::cli

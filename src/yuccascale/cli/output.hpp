#pragma once

#include "yuccascale/cli/command.hpp"
#include "yuccascale/kernel/error.hpp"
#include "yuccascale/kernel/json.hpp"

#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief Prints results as JSON or as aligned columns, depending on --output.

namespace yuccascale::cli {

/// \brief Prints \a rows, an array of objects, with the fields of \a columns.
void printRows(const kernel::json &rows, std::span<const std::string_view> columns);

/// \brief Prints one object, a line for each value.
void printObject(const kernel::json &object);

/// \returns a value on one line: strings without quotes, a list of objects as its length.
[[nodiscard]] std::string plainText(const kernel::json &value);

/// \brief Prints an error with its remedy on the standard error stream.
/// \returns the exit code for its kind.
[[nodiscard]] exit_code reportError(const kernel::error &problem);

} // namespace yuccascale::cli

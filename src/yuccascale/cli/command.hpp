#pragma once

#include "yuccascale/kernel/error.hpp"

#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief Definition of a command of the command line.

namespace yuccascale::cli {

/// \brief Exit codes, documented in docs/operators.md.
enum exit_code { Success = 0, Failure = 1, Usage = 2, Conflict = 3, Unreachable = 4 };

/// \brief The positional arguments after a command's name.
using command_arguments = std::span<const std::string>;

/// \brief One command, such as "route put".
struct command
{
    std::string_view group;     ///< first word of the name
    std::string_view action;    ///< second word of the name; empty when it has only one
    std::string_view arguments; ///< names of the mandatory arguments, such as "FILE"
    std::string_view summary;
    std::string_view example;
    kernel::result<void> (*run)(command_arguments arguments);
};

/// \returns the number of arguments that the command requires.
[[nodiscard]] std::size_t argumentCount(const command &definition);

} // namespace yuccascale::cli

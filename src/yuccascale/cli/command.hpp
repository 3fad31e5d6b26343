#pragma once

#include "yuccascale/kernel/error.hpp"

#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief What a command of the command line is.

namespace yuccascale::cli {

/// \brief Exit codes, told in docs/operators.md.
enum exit_code { Success = 0, Failure = 1, Usage = 2, Conflict = 3, Unreachable = 4 };

/// \brief The words after a command's own name.
using command_arguments = std::span<const std::string>;

/// \brief One command, such as "route put".
struct command
{
    std::string_view group;     ///< first word
    std::string_view action;    ///< second word; empty when the group is the command
    std::string_view arguments; ///< names of the words that must follow, such as "FILE"
    std::string_view summary;
    std::string_view example;
    kernel::result<void> (*run)(command_arguments arguments);
};

/// \returns the number of words that must follow the command's name.
[[nodiscard]] std::size_t argumentCount(const command &definition);

} // namespace yuccascale::cli

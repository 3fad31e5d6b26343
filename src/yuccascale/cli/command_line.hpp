#pragma once

/// \file
/// \brief The command line of the yuccascale binary.

namespace yuccascale::cli {

/// \brief Exit codes, told in docs/operators.md.
enum exit_code { Success = 0, Failure = 1, Usage = 2, Conflict = 3, Unreachable = 4 };

/// \brief Runs the command that the arguments name.
/// \returns an exit_code.
[[nodiscard]] int runCommandLine(int argc, char **argv);

} // namespace yuccascale::cli

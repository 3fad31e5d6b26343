#pragma once

#include "yuccascale/cli/command.hpp"

/// \file
/// \brief The command line of the yuccascale binary.

namespace yuccascale::cli {

/// \brief Runs the command that the arguments name.
/// \returns an exit_code.
[[nodiscard]] int runCommandLine(int argc, char **argv);

} // namespace yuccascale::cli

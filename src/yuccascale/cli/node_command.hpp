#pragma once

#include "yuccascale/cli/command.hpp"

/// \file
/// \brief The command that runs a node.

namespace yuccascale::cli {

/// \brief Runs a node with the settings file of --settings until it is shut down.
[[nodiscard]] kernel::result<void> runNode(command_arguments arguments);

} // namespace yuccascale::cli

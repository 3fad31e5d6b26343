#pragma once

#include "yuccascale/cli/command.hpp"

/// \file
/// \brief Commands that need no running node.

namespace yuccascale::cli {

/// \brief Prints the catalogue of log events; its markdown form is docs/events.md.
[[nodiscard]] kernel::result<void> printEvents(command_arguments arguments);

/// \brief Checks a settings file as a node would before it starts.
[[nodiscard]] kernel::result<void> checkSettings(command_arguments arguments);

/// \brief Prints the version.
[[nodiscard]] kernel::result<void> printVersion(command_arguments arguments);

} // namespace yuccascale::cli

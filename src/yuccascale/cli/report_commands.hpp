#pragma once

#include "yuccascale/cli/command.hpp"

/// \file
/// \brief Commands that show what the system does.

namespace yuccascale::cli {

/// \brief Shows who leads, what is degraded and what to do.
[[nodiscard]] kernel::result<void> showStatus(command_arguments arguments);

/// \brief Tells the story of a request, a role change or an endpoint order.
[[nodiscard]] kernel::result<void> explainId(command_arguments arguments);

/// \brief Waits until --revision, or a later one, is in force at every address of --address.
/// \returns error_kind::DeadlineExceeded naming the nodes that have an older one.
[[nodiscard]] kernel::result<void> waitForRevision(command_arguments arguments);

} // namespace yuccascale::cli

#pragma once

#include "yuccascale/cli/command.hpp"

/// \file
/// \brief Commands that show the state of the system.

namespace yuccascale::cli {

/// \brief Shows the leader, the degraded states and their remedies.
[[nodiscard]] kernel::result<void> showStatus(command_arguments arguments);

/// \brief Shows the events and decisions for a request, a role change or an endpoint order.
[[nodiscard]] kernel::result<void> explainId(command_arguments arguments);

/// \brief Waits until --revision, or a later one, is in force at every address of --address.
/// \returns error_kind::DeadlineExceeded naming the nodes that did not answer or have an older one.
[[nodiscard]] kernel::result<void> waitForRevision(command_arguments arguments);

} // namespace yuccascale::cli

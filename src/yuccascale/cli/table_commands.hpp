#pragma once

#include "yuccascale/cli/command.hpp"
#include "yuccascale/cli/operator_client.hpp"

#include <functional>

/// \file
/// \brief Commands that list and edit the tables. Each edit is a compare-and-set on the revision of
///        the tables.

namespace yuccascale::cli {

[[nodiscard]] kernel::result<void> listRoutes(command_arguments arguments);
[[nodiscard]] kernel::result<void> putRoutes(command_arguments arguments);
[[nodiscard]] kernel::result<void> removeRoute(command_arguments arguments);

[[nodiscard]] kernel::result<void> listPools(command_arguments arguments);
[[nodiscard]] kernel::result<void> putPools(command_arguments arguments);
[[nodiscard]] kernel::result<void> removePool(command_arguments arguments);

[[nodiscard]] kernel::result<void> listOrganisations(command_arguments arguments);
[[nodiscard]] kernel::result<void> putOrganisations(command_arguments arguments);
[[nodiscard]] kernel::result<void> removeOrganisation(command_arguments arguments);

/// \brief Makes an edit based on --from-revision, or on the revision in force. In the latter case
///        the node may lag a little, so the edit is retried from the newer revision on a conflict.
/// \param attempt makes the edit based on the given revision
[[nodiscard]] kernel::result<void>
editFromRevision(const operator_client &client,
                 const std::function<kernel::result<void>(std::uint64_t)> &attempt);

/// \brief Commits \a edit and prints the new revision.
[[nodiscard]] kernel::result<void> commitEdit(const operator_client &client,
                                              kernel::state::edit_tables edit);

} // namespace yuccascale::cli

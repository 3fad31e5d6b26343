#pragma once

#include <span>
#include <string>
#include <vector>

/// \file
/// \brief Finds entries that were replaced by a restart of their node.

namespace yuccascale::kernel::usage {

/// \brief Finds entries whose node has a live entry with a higher incarnation; the older ones no
/// longer run.
/// \param liveEntries entries as "NODE#INCARNATION"
[[nodiscard]] std::vector<std::string> replacedEntries(std::span<const std::string> liveEntries);

} // namespace yuccascale::kernel::usage

#pragma once

#include <span>
#include <string>
#include <vector>

/// \file
/// \brief Entries that a restart of their node has replaced.

namespace yuccascale::kernel::usage {

/// \brief Finds entries whose node counts under a higher incarnation now, so that they are gone.
/// \param live entries as "NODE#INCARNATION"
[[nodiscard]] std::vector<std::string> replacedEntries(std::span<const std::string> liveEntries);

} // namespace yuccascale::kernel::usage

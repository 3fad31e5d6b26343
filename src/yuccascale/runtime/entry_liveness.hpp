#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"

#include <span>
#include <string>
#include <vector>

/// \file
/// \brief Detects entries that have stopped for good, from the node reports that the leader
/// receives.

namespace yuccascale::runtime {

/// \brief Finds entries that a newer process of the same node has replaced, or that have sent no
/// report for a minute.
/// \param entries node names with incarnations, such as "perth-a-1#1700000000000"
/// \param reports the latest report of each node, with its age
/// \param leadingFor how long this node has been leader; an entry without any report counts as dead
///        only after a minute of that, since a live one would have reported by then
/// \returns the dead entries.
[[nodiscard]] std::vector<std::string>
deadEntries(std::span<const std::string> entries,
            std::span<const kernel::feed::node_report> reports, kernel::nanoseconds leadingFor);

} // namespace yuccascale::runtime

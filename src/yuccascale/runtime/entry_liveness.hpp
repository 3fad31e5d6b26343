#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"

#include <span>
#include <string>
#include <vector>

/// \file
/// \brief Which entries are gone for good, as far as the leader hears.

namespace yuccascale::runtime {

/// \brief Finds entries that another process of the same node has replaced, or that were not heard
/// for a minute.
/// \param entries names with incarnations, such as "perth-a-1#1700000000000"
/// \param reports the newest report of each node heard, with its age
/// \param listening how long this node has led, and so would have heard a node that lives
/// \returns those that are gone.
[[nodiscard]] std::vector<std::string>
deadEntries(std::span<const std::string> entries,
            std::span<const kernel::feed::node_report> reports, kernel::nanoseconds leadingFor);

} // namespace yuccascale::runtime

#pragma once

#include "yuccascale/kernel/state/order_ledger.hpp"
#include "yuccascale/kernel/state/usage_windows.hpp"

#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief The part of the replicated state that the leader's duties read.

namespace yuccascale::kernel::state {

/// \brief A copy taken at one log index.
struct leader_view
{
    std::uint64_t appliedIndex = 0;
    std::shared_ptr<const table_set> tables;
    std::vector<order_record> openOrders; ///< oldest first
    std::uint64_t highestFence = 0;       ///< highest fencing token of all orders
    usage_view usage;
    std::vector<std::string> liveEntries; ///< entries whose usage watermarks a window waits for
    /// Wall clock; until then the weight store gets no requests
    std::int64_t fetchesHeldUntilMs = 0;
};

} // namespace yuccascale::kernel::state

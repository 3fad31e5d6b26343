#pragma once

#include "yuccascale/kernel/state/order_ledger.hpp"
#include "yuccascale/kernel/state/usage_windows.hpp"

#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief What the leader's duties read of the replicated state.

namespace yuccascale::kernel::state {

/// \brief A copy taken at one log index.
struct leader_view
{
    std::uint64_t appliedIndex = 0;
    std::shared_ptr<const table_set> tables;
    std::vector<order_record> openOrders; ///< oldest first
    std::uint64_t highestFence = 0;       ///< of all orders
    usage_view usage;
    std::vector<std::string> liveEntries; ///< whose usage marks are waited for
    std::int64_t fetchesHeldUntilMs = 0;  ///< wall clock; the weight store asked for a pause
};

} // namespace yuccascale::kernel::state

#pragma once

#include "yuccascale/kernel/json.hpp"
#include "yuccascale/kernel/state/order_ledger.hpp"

/// \file
/// \brief Explains an order from its record in the log.

namespace yuccascale::kernel::orders {

/// \returns what was ordered, why, under which fence, and its outcome.
[[nodiscard]] json explainOrder(const state::order_record &order);

} // namespace yuccascale::kernel::orders

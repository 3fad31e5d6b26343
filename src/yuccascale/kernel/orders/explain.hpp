#pragma once

#include "yuccascale/kernel/json.hpp"
#include "yuccascale/kernel/state/order_ledger.hpp"

/// \file
/// \brief The story of an order, from the log.

namespace yuccascale::kernel::orders {

/// \returns what was ordered, why, under which fence, and what came of it.
[[nodiscard]] json explainOrder(const state::order_record &order);

} // namespace yuccascale::kernel::orders

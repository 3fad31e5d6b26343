#pragma once

#include "yuccascale/kernel/orders/order_driver.hpp"
#include "yuccascale/kernel/usage/window_reporter.hpp"
#include "yuccascale/runtime/settings.hpp"

/// \file
/// \brief Timeouts and intervals of the leader's duties, derived from the settings.

namespace yuccascale::runtime {

/// \returns the times of orders. A send times out after at most half a lease, because it is
///          permitted only when it ends within the lease.
[[nodiscard]] kernel::orders::order_times orderTimes(const settings &config);

/// \returns the times of usage reports, whose sends are bounded like those of orders.
[[nodiscard]] kernel::usage::usage_times usageTimes(const settings &config);

} // namespace yuccascale::runtime

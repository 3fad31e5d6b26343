#pragma once

#include "yuccascale/kernel/events.hpp"
#include "yuccascale/kernel/policy/demand_capacity.hpp"

#include <span>
#include <string>
#include <vector>

/// \file
/// \brief What the orders of endpoints rest on, as fields of a log event and as metrics.

namespace yuccascale::runtime {

/// \returns the fields of capacity_planned.
[[nodiscard]] std::vector<kernel::event_field>
capacityFields(const kernel::policy::capacity_status &status);

/// \returns the metrics in the Prometheus text format; empty without pools.
[[nodiscard]] std::string capacityMetrics(std::span<const kernel::policy::capacity_status> pools);

} // namespace yuccascale::runtime

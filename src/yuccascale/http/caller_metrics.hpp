#pragma once

#include "yuccascale/http/caller_services.hpp"
#include "yuccascale/net/memory_budget.hpp"

#include <map>
#include <string>
#include <vector>

/// \file
/// \brief Gauges of an entry that are set when its metrics are read.

namespace yuccascale::http {

/// \brief Sets the gauges of requests and of the event loops.
void setLoopGauges(caller_services &services);

/// \brief Sets the gauges of the memory that callers hold.
void setMemoryGauges(runtime::metrics &metrics, const net::memory_shortage &memory);

/// \returns gauges of the rates and paces learnt from endpoints that report a pace.
[[nodiscard]] std::string learntText(
        const std::map<std::string, std::vector<kernel::requests::learnt_endpoint>> &learntByPool);

} // namespace yuccascale::http

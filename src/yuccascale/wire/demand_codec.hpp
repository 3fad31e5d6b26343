#pragma once

#include "yuccascale/kernel/requests/demand_meter.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Codec of the demand that entries report to the leader.

namespace yuccascale::wire {

[[nodiscard]] std::string encodeDemands(std::span<const kernel::requests::demand_report> reports);

/// \returns the reports; none when \a bytes are not a valid message. Negative, infinite and NaN
///          numbers are read as zero.
[[nodiscard]] std::vector<kernel::requests::demand_report> decodeDemands(std::string_view bytes);

} // namespace yuccascale::wire

#pragma once

#include "yuccascale/kernel/requests/charge_book.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief FlatBuffers form of the charges that entries tell each other.

namespace yuccascale::wire {

[[nodiscard]] std::string encodeCharges(std::span<const kernel::requests::pool_charge> charges);

/// \returns the charges; none when \a bytes are not such. Costs that are negative or not finite are
///          left out.
[[nodiscard]] std::vector<kernel::requests::pool_charge> decodeCharges(std::string_view bytes);

} // namespace yuccascale::wire

#pragma once

#include "yuccascale/kernel/requests/charge_book.hpp"
#include "yuccascale/kernel/requests/placement.hpp"

#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief FlatBuffers form of what entries tell each other of the load that they give.

namespace yuccascale::wire {

/// \brief What an entry charged and placed since it last told the others.
struct load_message
{
    std::vector<kernel::requests::pool_charge> charges;
    kernel::requests::endpoint_updates news = {};

    [[nodiscard]] bool empty() const noexcept { return charges.empty() && news.empty(); }
};

[[nodiscard]] std::string encodeLoad(const load_message &message);

/// \returns the message; an empty one when \a bytes are not such. Charges and placements whose
///          figures cannot be meant are left out.
[[nodiscard]] load_message decodeLoad(std::string_view bytes);

} // namespace yuccascale::wire

#pragma once

#include "yuccascale/kernel/requests/charge_book.hpp"
#include "yuccascale/kernel/requests/placement.hpp"
#include "yuccascale/kernel/requests/quota_report.hpp"

#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Codec of the load that entries report to each other.

namespace yuccascale::wire {

/// \brief Charges, placements, failures and quotas of an entry since its previous message.
struct load_message
{
    std::vector<kernel::requests::pool_charge> charges;
    kernel::requests::endpoint_updates updates = {};
    std::vector<kernel::requests::quota_report> quotas = {};

    [[nodiscard]] bool empty() const noexcept
    {
        return charges.empty() && updates.empty() && quotas.empty();
    }
};

[[nodiscard]] std::string encodeLoad(const load_message &message);

/// \returns the message; an empty one when \a bytes are not a valid message. Charges and placements
///          with invalid figures are left out.
[[nodiscard]] load_message decodeLoad(std::string_view bytes);

} // namespace yuccascale::wire

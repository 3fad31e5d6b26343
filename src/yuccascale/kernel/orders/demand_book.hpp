#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/policy/fleet.hpp"
#include "yuccascale/kernel/requests/demand_meter.hpp"

#include <map>
#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief The demand on each pool, summed over the entries' reports.

namespace yuccascale::kernel::orders {

/// \brief Newest report of each entry; old ones no longer count. Not thread-safe.
class demand_aggregator
{
public:
    /// \param validity how long a report counts
    explicit demand_aggregator(nanoseconds validity)
        : m_validity(validity)
    { }

    /// \brief Takes in all reports of one entry; they replace its earlier ones.
    void update(instant now, std::string_view entry,
                std::span<const requests::demand_report> reports);

    /// \returns the sum for a pool.
    [[nodiscard]] policy::pool_demand poolDemand(instant now, std::string_view pool) const;

private:
    struct entry_reports
    {
        instant receivedAt{};
        std::map<std::string, requests::demand_report, std::less<>> byPool;
    };

    nanoseconds m_validity;
    std::map<std::string, entry_reports, std::less<>> m_entries;
};

} // namespace yuccascale::kernel::orders

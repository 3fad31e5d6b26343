#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/policy/fleet.hpp"
#include "yuccascale/kernel/requests/demand_meter.hpp"

#include <map>
#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief Sums the demand that the entries report for each pool.

namespace yuccascale::kernel::orders {

/// \brief Keeps the newest report of each entry and ignores expired ones. Not thread-safe.
class demand_aggregator
{
public:
    /// \param validity age after which a report is ignored
    explicit demand_aggregator(nanoseconds validity)
        : m_validity(validity)
    { }

    /// \brief Replaces the reports of one entry.
    void update(instant now, std::string_view entry,
                std::span<const requests::demand_report> reports);

    /// \returns the demand on a pool, summed over the entries with valid reports.
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

#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/policy/measured_work.hpp"
#include "yuccascale/kernel/requests/demand_meter.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief Adds the work that the entries report for each pool, span by span.

namespace yuccascale::kernel::orders {

/// \brief Keeps the spans of the last tens of seconds. Not thread-safe.
///
/// The spans of a report are placed by its time of arrival, so that the entries' clocks need not
/// agree.
class work_book
{
public:
    /// \brief Adds the reports of one entry; a report without work is ignored.
    void update(instant now, std::string_view entry,
                std::span<const requests::demand_report> reports);

    /// \returns the work of a pool.
    /// \param entriesRunning entries that should report
    [[nodiscard]] policy::measured_work work(instant now, std::string_view pool,
                                             int entriesRunning) const;

private:
    using span_index = std::int64_t; ///< time in spans

    struct entry_state
    {
        instant reportedAt{};
        double prefillTokensPerSecond = 0;
    };

    /// Work of one span, with the requests of the reports that arrived in it.
    struct span_sum
    {
        requests::work_span work;
        requests::request_counts counts;
    };

    struct pool_state
    {
        std::map<std::string, entry_state, std::less<>> entries;
        std::map<span_index, span_sum> spans;
    };

    static void add(instant now, pool_state &pool, const requests::work_report &report);
    static void addRates(instant now, const pool_state &pool, policy::measured_work &work);
    static void addStrain(instant now, const pool_state &pool, policy::measured_work &work);
    static void addEntries(instant now, const pool_state &pool, policy::measured_work &work);

    std::map<std::string, pool_state, std::less<>> m_pools;
};

} // namespace yuccascale::kernel::orders

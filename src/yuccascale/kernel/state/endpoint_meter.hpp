#pragma once

#include "yuccascale/kernel/state/snapshot_stream.hpp"
#include "yuccascale/kernel/state/tables.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

/// \file
/// \brief Time that endpoints ran, for the costs in a usage window. Integers only.

namespace yuccascale::kernel::state {

/// \brief Endpoints that are charged alike.
struct cost_group
{
    std::string pool;
    std::string zone; ///< availability zone
    endpoint_tenure tenure = endpoint_tenure::Steady;
    std::int64_t microPerHour = 0; ///< price in millionths of the currency unit

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(cost_group, pool, zone, tenure, microPerHour)

    [[nodiscard]] bool operator==(const cost_group &) const = default;
    [[nodiscard]] bool operator<(const cost_group &other) const
    {
        return std::tie(pool, zone, tenure, microPerHour)
                < std::tie(other.pool, other.zone, other.tenure, other.microPerHour);
    }
};

/// \brief Follows which endpoints run, by the rows of the pool table.
class endpoint_meter
{
public:
    /// \brief Takes in the endpoints that run from \a atMs on.
    /// \param atMs never earlier than the end of the last frozen window, or it counts as that end
    void update(const std::map<std::string, pool> &pools, std::int64_t atMs);

    /// \brief Sums the milliseconds run in a window and forgets what ended before its end.
    [[nodiscard]] std::map<cost_group, std::int64_t> closeWindow(std::int64_t startMs,
                                                                 std::int64_t endMs);

    /// \returns the start of the earliest time not closed yet; 0 when nothing ran.
    [[nodiscard]] std::int64_t earliestMs() const noexcept;

    void save(snapshot_writer &out) const;
    void load(snapshot_reader &in);

private:
    struct endpoint_run
    {
        std::string name;
        cost_group group;
        std::int64_t fromMs = 0;
        std::int64_t untilMs = 0; ///< of an ended run

        NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(endpoint_run, name, group, fromMs, untilMs)
    };

    void endRun(endpoint_run run, std::int64_t atMs);

    std::map<std::string, endpoint_run> m_running; ///< by endpoint name
    std::vector<endpoint_run> m_ended;             ///< in a window that is still open
    std::int64_t m_closedUntilMs = 0;
};

} // namespace yuccascale::kernel::state

#pragma once

#include "yuccascale/kernel/state/snapshot_stream.hpp"
#include "yuccascale/kernel/state/tables.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

/// \file
/// \brief Run times of endpoints, for the costs in a usage window. Uses integer arithmetic only.

namespace yuccascale::kernel::state {

/// \brief Attributes by which run times of endpoints are summed.
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

/// \brief Records when the endpoints of the pool table ran.
class endpoint_meter
{
public:
    /// \brief Sets the endpoints that run from \a atMs on.
    /// \param atMs a time before the end of the last closed window counts as that end
    void update(const std::map<std::string, pool> &pools, std::int64_t atMs);

    /// \brief Sums the milliseconds run in a window and discards runs that ended by its end.
    [[nodiscard]] std::map<cost_group, std::int64_t> closeWindow(std::int64_t startMs,
                                                                 std::int64_t endMs);

    /// \returns the end of the last closed window, or the start of the earliest run when no window
    ///          was closed; 0 when nothing ran.
    [[nodiscard]] std::int64_t earliestMs() const noexcept;

    void save(snapshot_writer &out) const;
    void load(snapshot_reader &in);

private:
    struct endpoint_run
    {
        std::string name;
        cost_group group;
        std::int64_t fromMs = 0;
        std::int64_t untilMs = 0; ///< end of the run; 0 while it lasts

        NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(endpoint_run, name, group, fromMs, untilMs)
    };

    void endRun(endpoint_run run, std::int64_t atMs);

    std::map<std::string, endpoint_run> m_running; ///< by endpoint name
    std::vector<endpoint_run> m_ended;             ///< in a window that is not closed yet
    std::int64_t m_closedUntilMs = 0;
};

} // namespace yuccascale::kernel::state

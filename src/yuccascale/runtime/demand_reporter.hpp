#pragma once

#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/orders/demand_book.hpp"
#include "yuccascale/kernel/orders/work_book.hpp"
#include "yuccascale/kernel/transport.hpp"
#include "yuccascale/runtime/periodic_task.hpp"
#include "yuccascale/runtime/settings.hpp"

#include <functional>
#include <mutex>
#include <string_view>
#include <vector>

/// \file
/// \brief Entries report the demand on each pool to the leader, which sums the reports.

namespace yuccascale::runtime {

/// \brief Reports this entry's demand to the leader and stores the reports that other entries send
///        to this node. Thread-safe.
class demand_reporter
{
public:
    /// \param measureDemand returns this entry's demand since the previous call
    /// \param thread for the periodic work; null: one of its own
    demand_reporter(const settings &settings, kernel::clock &clock, kernel::transport &transport,
                    kernel::control_client &control,
                    std::function<std::vector<kernel::requests::demand_report>()> measureDemand,
                    std::shared_ptr<periodic_thread> thread = nullptr);

    void start() { m_task.start(); }
    void stop() { m_task.stop(); }

    /// \returns the sum of the demand on a pool reported to this node; only the leader receives
    ///          reports.
    [[nodiscard]] kernel::policy::pool_demand demandOn(std::string_view pool) const;

    /// \returns the work on a pool that \a entriesRunning entries report to this node.
    [[nodiscard]] kernel::policy::measured_work workOn(std::string_view pool,
                                                       int entriesRunning) const;

private:
    void report();
    void receive(std::string_view entry,
                 const std::vector<kernel::requests::demand_report> &reports);

    const settings &m_settings;
    kernel::clock &m_clock;
    kernel::transport &m_transport;
    kernel::control_client &m_control;
    std::function<std::vector<kernel::requests::demand_report>()> m_measureDemand;
    mutable std::mutex m_mutex;
    kernel::orders::demand_aggregator m_demand;
    kernel::orders::work_book m_work;
    periodic_task m_task;
};

} // namespace yuccascale::runtime

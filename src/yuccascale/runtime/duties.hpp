#pragma once

#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/feed/endpoint_list_copy.hpp"
#include "yuccascale/kernel/feed/list_read_schedule.hpp"
#include "yuccascale/kernel/leadership.hpp"
#include "yuccascale/kernel/orders/drivers.hpp"
#include "yuccascale/kernel/orders/fleet_scheduler.hpp"
#include "yuccascale/kernel/orders/order_driver.hpp"
#include "yuccascale/kernel/policy/demand_capacity.hpp"
#include "yuccascale/kernel/state/leader_view.hpp"
#include "yuccascale/kernel/usage/window_reporter.hpp"
#include "yuccascale/runtime/duties_workers.hpp"
#include "yuccascale/runtime/duty_drivers.hpp"
#include "yuccascale/runtime/periodic_task.hpp"
#include "yuccascale/runtime/settings.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

/// \file
/// \brief The work of the leader: orders, usage reports, engine roles, placement, and reading the
///        platform's VM and endpoint lists.

namespace yuccascale::runtime {

/// \brief The parts of the node that leader_duties uses.
struct duty_context
{
    const settings &config;
    const kernel::leadership_source &leadershipSource;
    kernel::control_client &control;
    std::function<kernel::state::leader_view()> readState; ///< reads this node's state machine
    std::function<std::vector<kernel::orders::pool_status>(kernel::instant)>
            poolStates;                                                   ///< may be null
    std::function<std::vector<std::string>(kernel::instant)> deadEntries; ///< may be null
    kernel::event_sink &events;
    const kernel::clock &clock;
    /// Called with each endpoint list read from the platform; may be null.
    std::function<void(kernel::feed::endpoint_reading)> onEndpointList;
    /// The cluster's agreed wall time; null: this VM's wall clock is used.
    std::function<kernel::wall_time()> agreedTime;
    /// When the platform was asked for this node's list of endpoints, by any node; nothing when
    /// that is not known. Null: only the leader reads the list.
    std::function<std::optional<kernel::instant>()> endpointsAskedAt = {};
    std::shared_ptr<worker_threads> workers = nullptr; ///< null: threads of its own
    std::shared_ptr<periodic_thread> thread = nullptr; ///< for rounds; null: one of its own
    /// Measured work of a pool. Null: no endpoint is given back.
    kernel::policy::demand_capacity::work_source workOf = {};
};

/// \brief Runs the leader's duties on its own threads. While this node does not lead, it only reads
/// the endpoint list, and only once its copy is too old.
///
/// \example
///     leader_duties duties(context, std::move(drivers));
///     duties.start();
class leader_duties
{
public:
    leader_duties(duty_context context, duty_drivers drivers);
    ~leader_duties();
    leader_duties(const leader_duties &) = delete;
    leader_duties &operator=(const leader_duties &) = delete;

    void start();

    /// \brief Stops the thread that runs the rounds; the destructor waits for calls in flight.
    void stop();

    /// \brief Runs one round: handles the results of finished calls and starts new calls. Called by
    ///        the thread of start(), and by tests.
    void tick();

    /// \returns what the orders of this leader rest on, of each pool that follows its demand; empty
    ///          on a node that does not lead.
    [[nodiscard]] std::vector<kernel::policy::capacity_status> capacity() const;

private:
    using held_leadership = std::optional<kernel::leadership>;

    void execute(const kernel::orders::query_order &action);
    void execute(const kernel::orders::inspect_target &action);
    void execute(const kernel::orders::fetch_weights &action);
    void execute(kernel::orders::send_order action);
    void execute(kernel::orders::submit_command action);
    void executeUsage(kernel::usage::usage_action action);
    void scheduleFleet(kernel::instant now, const held_leadership &leadership,
                       const kernel::state::leader_view &view);
    void retireEntries(kernel::instant now, const kernel::state::leader_view &view);
    void readVmsAndOffers(kernel::instant now);
    void readEndpointList(kernel::instant now, const held_leadership &leadership);
    void handleEndpointList(kernel::instant askedAt, std::uint64_t fence,
                            const kernel::orders::endpoint_listing &listing);
    void recordIgnored(const std::vector<kernel::orders::ignored_entry> &entries);
    void orderEndpointCounts(const kernel::leadership &leadership,
                             const std::vector<kernel::feed::listed_endpoint> &endpointList);
    [[nodiscard]] std::vector<kernel::policy::reasoned_order>
    decideCounts(kernel::instant now,
                 const std::vector<kernel::feed::listed_endpoint> &endpointList);
    void sendCount(const kernel::leadership &leadership, kernel::instant now,
                   const kernel::policy::reasoned_order &chosen);
    void handleCountAnswer(const kernel::policy::count_order &order, std::uint64_t fence,
                           bool accepted);
    void publishCapacity(kernel::instant now);
    void forgetCapacity();
    void markLeavingEndpoints(const std::vector<kernel::orders::vm_row> &vms);
    [[nodiscard]] kernel::orders::order_target *targetAt(const std::string &address) const;
    [[nodiscard]] kernel::orders::send_permit permitFor(std::uint64_t fence,
                                                        kernel::instant decidedAt) const;
    [[nodiscard]] std::int64_t wallMs() const;

    /// Runs a blocking call on a worker; \a onDone gets its outcome in the next tick().
    template<typename Call, typename Handler>
    void runOnWorker(Call call, Handler onDone);

    /// Proposes a command to the log on a worker.
    template<typename Handler>
    void propose(kernel::state::command command, Handler onDone);

    /// Proposes a command whose outcome is awaited before the next retirements, fleet decisions and
    /// reads of the VM list.
    void submit(kernel::state::command command);

    duty_context m_context;
    duty_drivers m_drivers;
    kernel::orders::order_driver m_orderDriver;
    kernel::usage::window_reporter m_usageReporter;
    kernel::orders::fleet_scheduler m_fleetScheduler;
    std::vector<kernel::policy::endpoint_offer> m_offers;
    std::shared_ptr<const kernel::state::table_set> m_tables; ///< read in the last round
    kernel::instant m_nextListRead{};
    bool m_readingLists = false;
    kernel::feed::list_read_schedule m_listReads;
    bool m_readingEndpoints = false;
    kernel::policy::cheap_headroom m_headroom;
    kernel::policy::demand_capacity m_demandCapacity;
    std::uint64_t m_countsFence = 0; ///< fence of the term that both belong to
    kernel::instant m_nextCapacityLine{};
    mutable std::mutex m_capacityMutex;
    std::vector<kernel::policy::capacity_status> m_capacity; ///< guarded by m_capacityMutex
    bool m_endpointListAvailable = true; ///< the last read of the endpoint list succeeded
    std::set<kernel::orders::ignored_entry> m_ignoredEntries; ///< of the last endpoint list
    int m_pendingSubmits = 0; ///< orders, retirements and notices in flight

    periodic_task m_task;
    duties_workers m_workers; ///< declared last: its jobs use the other members
};

} // namespace yuccascale::runtime

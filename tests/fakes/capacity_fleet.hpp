#pragma once

#include "yuccascale/kernel/orders/work_book.hpp"
#include "yuccascale/kernel/policy/demand_capacity.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief A pool's endpoints on a platform that takes orders, under a fluid load: work arrives,
///        queues in front of all serving endpoints together, and is reported as entries do.

namespace yuccascale::fakes {

using kernel::instant;
using kernel::milliseconds;
using kernel::nanoseconds;
using kernel::seconds;

/// \brief Work offered at one moment.
struct offered_load
{
    double tokensPerSecond = 0;
    double requestsPerSecond = 0;
    double steadyShare = 0.1; ///< of it, that only steady endpoints may run
};

/// \brief What callers got and what it cost.
struct fleet_result
{
    double offered = 0;
    double late = 0;        ///< requests that waited for longer than the target
    double longestWait = 0; ///< seconds
    double cost = 0;        ///< seconds of endpoints times their price
    double steadySeconds = 0;
    double cheapSeconds = 0;
};

/// \brief A pool in three zones. Times are those of the load; the first step is at 100 s.
class capacity_fleet
{
public:
    using load_function = std::function<offered_load(double)>; ///< of the seconds since the start
    using rule = std::function<std::vector<kernel::policy::count_order>(instant)>;

    explicit capacity_fleet(int most = 30, int steadyInZone = 15);

    /// \brief Runs for a time; \a decide is asked each 500 ms.
    void run(seconds time, const load_function &load, const rule &decide);

    /// \brief Runs with a new or given policy.
    void run(seconds time, const load_function &load, kernel::policy::demand_capacity &policy);

    /// \brief Reclaims all cheap endpoints of a zone after a second of notice.
    void reclaim(const std::string &zone);

    [[nodiscard]] int steady(const std::string &zone = {}) const;
    [[nodiscard]] int cheap(const std::string &zone = {}) const;
    [[nodiscard]] instant now() const noexcept { return m_now; }
    [[nodiscard]] std::vector<kernel::feed::listed_endpoint> list() const;

    kernel::state::table_set tables;
    fleet_result result;
    std::vector<kernel::policy::count_order> sent;        ///< all orders that the rule gave
    std::vector<kernel::policy::reasoned_order> reasoned; ///< the same with reasons
    std::function<bool(const kernel::policy::count_order &)> losesOrder; ///< lost on its way
    std::map<std::string, bool> refusesCheap;                            ///< by zone
    nanoseconds orderDelay{};  ///< until the platform executes an order
    int reportingEntries = 20; ///< of 20
    bool reportsWork = true;   ///< false: the entries are of a former build
    double reportedFactor = 1; ///< wrong reports: work times this
    bool reportsLate = true;

    static constexpr double engineTokensPerSecond = 50'000;
    static constexpr int entries = 20;
    static constexpr int slots = 16;

private:
    struct endpoint
    {
        std::string zone;
        kernel::state::endpoint_tenure tenure{};
        double price = 1;
        instant readyAt{};
        std::optional<instant> goneAt; ///< draining since it is set
    };

    struct pending_order
    {
        kernel::policy::count_order order;
        instant executeAt{};
    };

    void step(const load_function &load);
    void executeDue();
    bool execute(const kernel::policy::count_order &order);
    void serve(const offered_load &load);
    void report();
    [[nodiscard]] int count(kernel::state::endpoint_tenure tenure, const std::string &zone) const;
    [[nodiscard]] bool serving(const endpoint &one) const;

    instant m_now{seconds(100)};
    std::vector<endpoint> m_endpoints;
    std::vector<pending_order> m_pending;
    kernel::orders::work_book m_book;
    double m_backlogTokens = 0;
    std::vector<kernel::requests::work_span> m_history; ///< by step since the start
    std::vector<kernel::requests::request_counts> m_counts;
};

} // namespace yuccascale::fakes

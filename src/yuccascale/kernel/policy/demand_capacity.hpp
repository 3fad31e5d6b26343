#pragma once

#include "yuccascale/kernel/policy/cheap_headroom.hpp"
#include "yuccascale/kernel/policy/count_orders.hpp"
#include "yuccascale/kernel/policy/measured_work.hpp"
#include "yuccascale/kernel/policy/zone_plan.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Decides on orders of steady and cheap endpoints so that their number follows the demand.
///
/// Addresses fleets whose steady endpoints are more than the load needs, under load that swings
/// within seconds: what is missing is ordered at once, and what is not needed is given back a few
/// endpoints at a time, after the load was observed, while nobody waits, and only if the endpoints
/// that serve already can carry the load.

namespace yuccascale::kernel::policy {

/// \brief An order and the reason for it, for the log.
struct reasoned_order
{
    count_order order;
    std::string_view reason;
};

/// \brief What a pool's capacity rests on, for log and metrics.
struct capacity_status
{
    std::string pool;
    measured_work work;
    zone_plan plan;
    serving_capacity serving;
    std::string_view held; ///< why nothing is reduced; empty when something may be
};

/// \brief Decides on orders of endpoints; one instance per term of a leader. Not thread-safe.
class demand_capacity
{
public:
    /// Returns the measured work of a pool.
    using work_source = std::function<measured_work(const std::string &pool)>;

    /// \brief Decides on a list of endpoints that was just read.
    /// \returns the orders to submit now.
    [[nodiscard]] std::vector<reasoned_order> decide(instant now, const state::table_set &tables,
                                                     std::span<const feed::listed_endpoint> listed,
                                                     const work_source &workOf);

    /// \brief Records the platform's answer to an order; false also stands for none.
    void answered(instant now, const count_order &order, bool accepted);

    /// \returns what the last decision rests on, of each pool that follows its demand.
    [[nodiscard]] std::vector<capacity_status> status() const;

private:
    /// A reduction that is under way or whose effect is observed.
    struct reduction
    {
        instant orderedAt{};
        std::optional<instant> shownAt; ///< in the list
        std::vector<count_order> orders;
        std::map<std::string, zone_counts> before; ///< by zone
    };

    struct planned_counts
    {
        instant at{};
        std::map<std::string, zone_counts> zones;
    };

    struct pool_state
    {
        bool small = true;                     ///< left to cheap_headroom
        instant lastKnownAt{};                 ///< or when the pool was first seen
        bool observed = false;                 ///< in this term, for long enough
        std::optional<instant> knownSince;     ///< the work has been known without a gap
        std::map<std::string, int> mostSteady; ///< seen by zone; those zones are in use
        std::deque<planned_counts> recent;     ///< plans of the last seconds
        /// By zone, what is kept until keptUntil after an undone reduction.
        std::map<std::string, zone_counts> kept;
        instant keptUntil{};
        nanoseconds keptTime{};
        count_orders orders;
        std::optional<reduction> last;
        instant reduceFrom{}; ///< nothing is reduced before
        bool reduced = false;
        pool_strain usual; ///< mean before the first reduction
        int usualSamples = 0;
        capacity_status status;
    };

    /// One pool in one decision.
    struct decision
    {
        instant now;
        const std::string &pool;
        const state::endpoint_scaling &scaling;
        pool_state &state;
        std::vector<zone_supply> zones;
        std::vector<reasoned_order> orders;
        bool strained = false;
    };

    [[nodiscard]] static std::vector<zone_supply>
    suppliesOf(instant now, const std::string &pool, const state::endpoint_scaling &scaling,
               std::span<const feed::listed_endpoint> listed, pool_state &state);
    static void decidePool(decision &current, const measured_work &work, double slots);
    static void noteKnown(decision &current, const measured_work &work);
    static void learnUsual(pool_state &state, const measured_work &work);
    [[nodiscard]] static bool reductionUnderWay(const decision &current);
    static void rememberPlan(decision &current, const zone_plan &plan);
    [[nodiscard]] static int leastOf(const decision &current, const zone_supply &zone,
                                     state::endpoint_tenure tenure);
    static void planWithoutDemand(decision &current, zone_plan &plan);
    static void raise(decision &current, const zone_plan &plan);
    static void raiseCheap(decision &current, const zone_supply &zone, const zone_plan &plan);
    static void raiseTenure(decision &current, const zone_supply &zone,
                            state::endpoint_tenure tenure, int listedCount, int wanted,
                            std::string_view reason);
    static void undoReduction(decision &current);
    static void followReduction(decision &current);
    [[nodiscard]] static std::string_view reasonToHold(const decision &current,
                                                       const zone_plan &plan);
    static void reduce(decision &current, const zone_plan &plan);
    [[nodiscard]] static std::vector<count_order>
    reductionOf(const decision &current, const zone_plan &plan, state::endpoint_tenure tenure);

    cheap_headroom m_headroom; ///< for small pools
    std::map<std::string, pool_state> m_pools;
};

} // namespace yuccascale::kernel::policy

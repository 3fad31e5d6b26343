#include "fakes/capacity_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <iostream>

/// \file
/// \brief What callers get and what is paid when the number of endpoints follows the demand, beside
///        cheap_headroom and beside a rule that knows the future.

namespace yuccascale::kernel::policy {

namespace {

using fakes::capacity_fleet;
using fakes::offered_load;
using state::endpoint_tenure;

constexpr double engine = capacity_fleet::engineTokensPerSecond;

/// Load in engines; some requests of each kind.
offered_load engines(double count)
{
    return {count * engine, count * 60, 0.1};
}

/// Long requests at 3.4 times their rate while short ones are at a quarter, and the reverse.
offered_load waves(double since)
{
    const bool crest = std::fmod(since, 2.8) < 1.4;
    return engines(crest ? 9 : 3);
}

capacity_fleet::load_function constant(double count)
{
    return [count](double) { return engines(count); };
}

/// Runs cheap_headroom on the same load.
fakes::fleet_result underHeadroom(seconds time, const capacity_fleet::load_function &load)
{
    capacity_fleet fleet;
    cheap_headroom policy;
    fleet.run(time, load,
              [&](instant now) { return policy.decide(now, fleet.tables, fleet.list()); });
    return fleet.result;
}

/// The cost of a rule that knows the load of the next 5 s, and orders the cheapest plan for it.
double costOfForesight(seconds time, const capacity_fleet::load_function &load)
{
    double cost = 0;
    for (double since = 0; since < static_cast<double>(time.count()); since += 0.25) {
        double peak = 0;
        double second = 0;
        for (double ahead = 0; ahead < 5; ahead += 0.25) {
            second += load(since + ahead).tokensPerSecond * 0.25;
            if (ahead >= 1)
                second -= load(since + ahead - 1).tokensPerSecond * 0.25;
            peak = std::max(peak, second / engine);
        }
        const capacity_plan plan = planCapacity({peak * 1.6 + 1, peak * 0.1, 3, 3, 90, 1.0, 0.22});
        cost += 0.25 * (plan.steady + 0.22 * plan.cheap);
    }
    return cost;
}

bool reduces(const capacity_fleet &fleet, endpoint_tenure tenure)
{
    return std::ranges::any_of(fleet.reasoned, [&](const reasoned_order &one) {
        return one.order.tenure == tenure && one.reason == "not needed for the load";
    });
}

} // namespace

/// Guards against a fleet that is paid for and not needed, and against one that follows waves.
TEST(demand_capacity, wavesAreCarriedByFewerSteadyEndpoints)
{
    capacity_fleet fleet;
    demand_capacity policy;
    fleet.run(seconds(120), waves, policy);
    const auto headroom = underHeadroom(seconds(120), waves);
    std::cout << "waves: late " << fleet.result.late << " of " << fleet.result.offered
              << ", longest wait " << fleet.result.longestWait << " s, cost " << fleet.result.cost
              << " (headroom " << headroom.cost << ", late " << headroom.late << ", foresight "
              << costOfForesight(seconds(120), waves) << "), at the end " << fleet.steady()
              << " steady and " << fleet.cheap() << " cheap\n";
    EXPECT_EQ(fleet.result.late, 0);
    EXPECT_LE(fleet.steady(), 20);
    EXPECT_LT(fleet.result.cost, 0.7 * headroom.cost);
    for (const char *zone : {"a", "b", "c"})
        EXPECT_GE(fleet.steady(zone), 3) << zone;
}

/// Guards against a new leader that takes a calm first second for the load.
TEST(demand_capacity, nothingIsReducedBeforeTenSecondsWereObserved)
{
    capacity_fleet fleet;
    demand_capacity policy;
    fleet.run(seconds(10), constant(2), policy);
    EXPECT_EQ(fleet.steady(), 45);
    EXPECT_EQ(fleet.cheap(), 45) << "cheap ones are ready from the start, as with cheap_headroom";
    fleet.run(seconds(5), constant(2), policy);
    EXPECT_LT(fleet.steady(), 45);
}

/// Guards against steps that follow each other before the list shows and callers feel the last one.
TEST(demand_capacity, onlyAFewAreReducedInAStep)
{
    capacity_fleet fleet;
    demand_capacity policy;
    int before = fleet.steady();
    for (int second = 0; second < 40; ++second) {
        fleet.run(seconds(1), constant(2), policy);
        EXPECT_LE(before - fleet.steady(), 9);
        before = fleet.steady();
    }
    std::map<std::string, int> last{{"a", 15}, {"b", 15}, {"c", 15}};
    for (const reasoned_order &one : fleet.reasoned) {
        if (one.order.tenure != endpoint_tenure::Steady)
            continue;
        EXPECT_LE(last[one.order.zone] - one.order.count, 3);
        last[one.order.zone] = one.order.count;
    }
}

/// Guards against capacity that is missing when callers that had left return together.
TEST(demand_capacity, aStepToTwiceTheLoadIsCarried)
{
    const auto load = [](double since) { return engines(since < 60 ? 6 : 12); };
    capacity_fleet fleet;
    demand_capacity policy;
    fleet.run(seconds(120), load, policy);
    EXPECT_EQ(fleet.result.late, 0);
    EXPECT_GE(fleet.steady(), 24) << "the mean load at half use";
}

/// Guards against endpoints that are ordered again only when they are missed.
TEST(demand_capacity, aSlowRiseAndFallIsFollowed)
{
    const auto load = [](double since) {
        return engines(4 + 14 * std::max(0.0, 1 - std::abs(since - 120) / 80));
    };
    capacity_fleet fleet;
    demand_capacity policy;
    fleet.run(seconds(60), load, policy);
    const int low = fleet.steady();
    fleet.run(seconds(65), load, policy);
    const int high = fleet.steady();
    fleet.run(seconds(175), load, policy);
    EXPECT_GT(high, low + 10);
    EXPECT_LT(fleet.steady(), high - 10);
    EXPECT_EQ(fleet.result.late, 0);
    EXPECT_LT(fleet.result.cost, 0.8 * underHeadroom(seconds(300), load).cost);
}

/// Guards against a plan that the loss of one zone's cheap endpoints breaks.
TEST(demand_capacity, aZoneReclaimedAtThePeakIsNotFelt)
{
    capacity_fleet fleet;
    demand_capacity policy;
    fleet.run(seconds(60), waves, policy);
    ASSERT_LE(fleet.steady(), 20);
    const int other = fleet.cheap("b");
    fleet.refusesCheap["a"] = true;
    fleet.reclaim("a");
    fleet.run(seconds(20), waves, policy);
    EXPECT_EQ(fleet.cheap("a"), 0);
    EXPECT_EQ(fleet.result.late, 0);
    EXPECT_TRUE(fleet.steady() > 20 || fleet.cheap("b") > other)
            << "the next loss has to be covered by other zones";
    fleet.refusesCheap["a"] = false;
    fleet.run(seconds(60), waves, policy);
    EXPECT_GT(fleet.cheap("a"), 5);
    EXPECT_LE(fleet.steady(), 24);
    EXPECT_EQ(fleet.result.late, 0);
}

/// Guards against steady endpoints that are given back while cheap ones can't be had.
TEST(demand_capacity, withoutCheapEndpointsTheSteadyOnesStayAsNeeded)
{
    capacity_fleet fleet;
    demand_capacity policy;
    fleet.refusesCheap = {{"a", true}, {"b", true}, {"c", true}};
    fleet.run(seconds(90), waves, policy);
    EXPECT_EQ(fleet.cheap(), 0);
    EXPECT_GE(fleet.steady(), 2 * 9);
    EXPECT_EQ(fleet.result.late, 0);
}

/// Guards against endpoints that are ordered back when all cheap zones fail one after the other.
TEST(demand_capacity, steadyOnesAreOrderedAgainAtOnceWhenCheapOnesAreRefused)
{
    capacity_fleet fleet;
    demand_capacity policy;
    fleet.run(seconds(60), waves, policy);
    const int before = fleet.steady();
    fleet.refusesCheap = {{"a", true}, {"b", true}, {"c", true}};
    for (const char *zone : {"a", "b", "c"})
        fleet.reclaim(zone);
    fleet.run(seconds(7), waves, policy);
    EXPECT_GT(fleet.steady(), before + 5);
}

/// Guards against a leader that repeats the former one's reductions or undoes them.
TEST(demand_capacity, aNewLeaderContinuesFromTheList)
{
    capacity_fleet fleet;
    demand_capacity first;
    fleet.run(seconds(14), waves, first);
    const int reduced = fleet.steady();
    ASSERT_LT(reduced, 45);
    const int cheap = fleet.cheap();
    demand_capacity second;
    fleet.sent.clear();
    fleet.run(seconds(9), waves, second);
    EXPECT_TRUE(fleet.sent.empty()) << "it observes first";
    EXPECT_EQ(fleet.steady(), reduced);
    EXPECT_EQ(fleet.cheap(), cheap);
    fleet.run(seconds(60), waves, second);
    EXPECT_LE(fleet.steady(), 20);
    EXPECT_EQ(fleet.result.late, 0);
}

/// Guards against an order that a lost leader had decided on and that never left.
TEST(demand_capacity, anOrderLostWithItsLeaderIsDecidedAgain)
{
    capacity_fleet fleet;
    demand_capacity first;
    fleet.losesOrder
            = [](const count_order &order) { return order.tenure == endpoint_tenure::Steady; };
    fleet.run(seconds(12), waves, first);
    ASSERT_TRUE(reduces(fleet, endpoint_tenure::Steady));
    EXPECT_EQ(fleet.steady(), 45);
    fleet.losesOrder = {};
    demand_capacity second;
    fleet.run(seconds(60), waves, second);
    EXPECT_LE(fleet.steady(), 20);
}

/// Guards against entries that fall silent, or are of a former build, being taken for calm.
TEST(demand_capacity, unknownDemandShrinksNothing)
{
    capacity_fleet former;
    former.reportsWork = false;
    demand_capacity policy;
    former.run(seconds(60), constant(1), policy);
    EXPECT_EQ(former.steady(), 45);
    EXPECT_EQ(former.cheap(), 45);

    capacity_fleet few;
    few.reportingEntries = 17; // of 20
    demand_capacity ofFew;
    few.run(seconds(60), constant(1), ofFew);
    EXPECT_EQ(few.steady(), 45);

    capacity_fleet stale;
    demand_capacity ofStale;
    stale.run(seconds(14), constant(1), ofStale);
    const int reduced = stale.steady();
    stale.reportsWork = false;
    stale.run(seconds(4), constant(1), ofStale);
    stale.sent.clear();
    stale.run(seconds(40), constant(1), ofStale);
    EXPECT_GE(stale.steady(), reduced - 9) << "only the step before the reports were old";
    EXPECT_FALSE(std::ranges::any_of(stale.sent, [](const count_order &order) {
        return order.tenure == endpoint_tenure::Steady;
    }));
}

/// Guards against cheap endpoints that are ordered up to the bound for reports that are late once,
/// and against a rise that is not followed while the load is observed anew.
TEST(demand_capacity, aGapInTheReportsChangesNothingButARiseIsFollowed)
{
    capacity_fleet fleet;
    demand_capacity policy;
    fleet.run(seconds(90), constant(4), policy);
    const int steady = fleet.steady();
    const int cheap = fleet.cheap();
    ASSERT_LT(cheap, 40);
    fleet.sent.clear();
    fleet.reportsWork = false;
    fleet.run(seconds(5), constant(4), policy);
    fleet.reportsWork = true;
    fleet.run(seconds(3), constant(4), policy);
    EXPECT_TRUE(fleet.sent.empty());
    fleet.run(seconds(6), constant(8), policy);
    EXPECT_GT(fleet.steady() + fleet.cheap(), steady + cheap);
    EXPECT_EQ(fleet.result.late, 0);
}

/// Guards against a wrong measure of work: callers wait while a tenth of the work is reported, and
/// reductions go on, or are repeated until callers wait again.
TEST(demand_capacity, aReductionAfterWhichCallersWaitIsUndone)
{
    capacity_fleet fleet;
    demand_capacity policy;
    fleet.reportedFactor = 0.1;
    const auto load = constant(40);
    int least = fleet.steady() + fleet.cheap();
    for (int second = 0; second < 120; ++second) {
        fleet.run(seconds(1), load, policy);
        if (second > 10)
            least = std::min(least, fleet.steady() + fleet.cheap());
    }
    EXPECT_GE(least, 30) << "one step below the 40 that the load needs";
    EXPECT_GE(fleet.steady() + fleet.cheap(), 40);
    EXPECT_GT(fleet.result.late, 0) << "the measure is wrong enough to be felt";
    EXPECT_LT(fleet.result.late, 0.1 * fleet.result.offered);
}

/// Guards against steady endpoints that are missed and not ordered again when the measure is wrong
/// and cheap ones can't be had, and against trials that follow each other.
TEST(demand_capacity, withoutCheapEndpointsAnUndoneReductionOrdersSteadyOnesAgain)
{
    capacity_fleet fleet;
    demand_capacity policy;
    fleet.reportedFactor = 0.1;
    fleet.refusesCheap = {{"a", true}, {"b", true}, {"c", true}};
    fleet.run(seconds(240), constant(30), policy);
    EXPECT_GT(fleet.result.late, 0);
    EXPECT_LT(fleet.result.late, 0.15 * fleet.result.offered);
    EXPECT_GE(fleet.steady(), 30);
}

/// Guards against steady endpoints that are given back for cheap ones that never come.
TEST(demand_capacity, steadyOnesStayUntilOthersServe)
{
    capacity_fleet fleet;
    demand_capacity policy;
    fleet.losesOrder
            = [](const count_order &order) { return order.tenure == endpoint_tenure::Cheap; };
    fleet.run(seconds(60), waves, policy);
    EXPECT_EQ(fleet.cheap(), 0);
    EXPECT_GE(fleet.steady(), 36) << "twice nine engines at half use";
}

/// Guards against reductions while first tokens are late for a reason that the work doesn't show.
TEST(demand_capacity, nothingIsReducedWhileCallersWait)
{
    capacity_fleet fleet;
    demand_capacity policy;
    fleet.reportedFactor = 0.02;
    const auto load = [](double since) { return engines(since < 9 ? 60 : 120); };
    fleet.run(seconds(40), load, policy);
    EXPECT_GT(fleet.result.late, 0.5 * fleet.result.offered);
    EXPECT_FALSE(reduces(fleet, endpoint_tenure::Steady));
    EXPECT_FALSE(reduces(fleet, endpoint_tenure::Cheap));
    EXPECT_EQ(fleet.steady(), 45);
}

/// Guards against a pool that is shrunk although it needs what it has.
TEST(demand_capacity, aLoadThatNeedsAllKeepsAll)
{
    capacity_fleet fleet;
    demand_capacity policy;
    fleet.run(seconds(90), constant(48), policy);
    EXPECT_EQ(fleet.steady(), 45);
    EXPECT_EQ(fleet.cheap(), 45);
    EXPECT_DOUBLE_EQ(fleet.result.cost, underHeadroom(seconds(90), constant(48)).cost);
}

/// Guards against small pools that are served differently from before.
TEST(demand_capacity, aSmallFleetIsLeftFull)
{
    capacity_fleet fleet(12, 6);
    demand_capacity policy;
    fleet.run(seconds(90), constant(1), policy);
    capacity_fleet before(12, 6);
    cheap_headroom headroom;
    before.run(seconds(90), constant(1),
               [&](instant now) { return headroom.decide(now, before.tables, before.list()); });
    EXPECT_EQ(fleet.sent, before.sent);
    EXPECT_EQ(fleet.steady(), 18);
}

/// Guards against orders that are lost for good, and against two steps on one that is only late.
TEST(demand_capacity, lostAndLateOrdersAreDecidedAgainFromTheList)
{
    capacity_fleet lossy;
    demand_capacity ofLossy;
    int number = 0;
    lossy.losesOrder = [&number](const count_order &) { return ++number % 2 == 0; };
    lossy.run(seconds(120), waves, ofLossy);
    EXPECT_LE(lossy.steady(), 20);
    EXPECT_EQ(lossy.result.late, 0);

    capacity_fleet slow;
    demand_capacity ofSlow;
    slow.orderDelay = seconds(6);
    slow.run(seconds(150), waves, ofSlow);
    EXPECT_LE(slow.steady(), 24);
    for (const char *zone : {"a", "b", "c"})
        EXPECT_GE(slow.steady(zone), 3) << zone;
    EXPECT_EQ(slow.result.late, 0);
}

/// Guards against work that only steady endpoints may run being left without them at its crest.
TEST(demand_capacity, workThatRunsOnceKeepsSteadyEndpoints)
{
    const auto load = [](double since) {
        offered_load offered = engines(std::fmod(since, 2.8) < 1.4 ? 9 : 1);
        offered.steadyShare = 0.9;
        return offered;
    };
    capacity_fleet fleet;
    demand_capacity policy;
    fleet.run(seconds(120), load, policy);
    EXPECT_GE(fleet.steady(), 17) << "nine tenths of nine engines at half use";
    EXPECT_EQ(fleet.result.late, 0);
}

/// Guards against a zone that is left without steady endpoints when its cheap ones are reclaimed.
TEST(demand_capacity, aLoadNearZeroKeepsThreeSteadyEndpointsInEachZone)
{
    capacity_fleet fleet;
    demand_capacity policy;
    fleet.run(seconds(90), constant(0.1), policy);
    for (const char *zone : {"a", "b", "c"})
        EXPECT_EQ(fleet.steady(zone), 3) << zone;
    EXPECT_GE(fleet.cheap() + fleet.steady(), 9);
}

/// Guards against figures that no fleet can have; they keep everything and break nothing.
TEST(demand_capacity, absurdDemandKeepsAll)
{
    capacity_fleet fleet;
    demand_capacity policy;
    fleet.reportedFactor = 1e300;
    fleet.run(seconds(40), constant(1), policy);
    EXPECT_EQ(fleet.steady(), 45);
    EXPECT_EQ(fleet.cheap(), 45);
}

/// Guards against bounds of a stored document that overflow when they are added up over zones, or
/// order more than the most.
TEST(policy_scaling_bounds, areSoundWhateverIsStored)
{
    const auto boundsOf = [](int least, int most) {
        state::endpoint_scaling scaling;
        scaling.least = least;
        scaling.most = most;
        const state::endpoint_scaling sound = soundBounds(scaling);
        return std::pair(sound.least, sound.most);
    };
    EXPECT_EQ(boundsOf(1, 12), std::pair(1, 12));
    EXPECT_EQ(boundsOf(5, 2), std::pair(2, 2));
    EXPECT_EQ(boundsOf(-1, -1), std::pair(0, 0));
    EXPECT_EQ(boundsOf(2'147'483'647, 2'147'483'647), std::pair(mostPerZone, mostPerZone));
}

} // namespace yuccascale::kernel::policy

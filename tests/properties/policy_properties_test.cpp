#include "fakes/policy_fleet.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>

namespace yuccascale {

using namespace fakes;

namespace {

/// Calls the placement policy for 120 rounds, enough for it to settle, applying each change at
/// once.
void runUntilStable(placement_policy &placement, policy_fleet &fleet, const pool_demand &demand,
                    double &now)
{
    for (int round = 0; round < 120; ++round, now += 5) {
        for (const placement_change &change :
             placement.decide(at(now), demand, {}, fleet.views, {}, policy_fleet::offers()))
            fleet.apply(change, at(now));
    }
}

} // namespace

TEST(policy_properties, everyOrganisationGetsItsFairShareWhileTwoOverload)
{
    EXPECT_TRUE(rc::check("every organisation gets at least 90% of its fair share", [] {
        constexpr int organisations = 8;
        constexpr double capacity = 8'000; // cost served per tick
        auto queue = makeStrategy<fair_queue_registry>("fair_share");
        std::array<double, organisations> wanted{};
        std::array<double, organisations> served{};
        std::uint64_t ticket = 0;
        double credit = 0;
        for (int tick = 0; tick < 60; ++tick) {
            for (int index = 0; index < organisations; ++index) {
                const double ask = (index < 2 ? 10.0 : 0.95) * capacity / organisations;
                double asked = 0;
                while (asked < ask) {
                    const double cost = *rc::gen::inRange(20, 400);
                    queue->push(at(tick),
                                waitingRequest(++ticket, std::to_string(index), cost, at(tick)));
                    asked += cost;
                }
                wanted[static_cast<std::size_t>(index)] += asked;
            }
            for (credit += capacity; credit > 0;) {
                const auto next = queue->pop(at(tick));
                if (!next)
                    break;
                served[static_cast<std::size_t>(std::stoi(next->organisation))] += next->cost;
                credit -= next->cost;
            }
        }
        for (int index = 0; index < organisations; ++index) {
            const double fair = std::min(wanted[static_cast<std::size_t>(index)],
                                         60 * capacity / organisations);
            RC_ASSERT(served[static_cast<std::size_t>(index)] >= 0.9 * fair);
        }
    }));
}

TEST(policy_properties, roleChangesStayBoundedUnderANoisyRequestMix)
{
    EXPECT_TRUE(rc::check("on average at most one role change per engine in ten minutes", [] {
        auto roles = makeStrategy<role_policy_registry>("mix_following");
        policy_fleet fleet(18);
        std::map<std::string, double> changingUntil;
        int changes = 0;
        for (double now = 2; now < 600; now += 2) {
            const double noise = *rc::gen::inRange(-50, 50) / 100.0;
            for (engine_view &view : fleet.views)
                view.changing = changingUntil[view.row->name] > now;
            std::set<std::string> zones;
            for (const engine_view &view : fleet.views) {
                if (view.changing)
                    RC_ASSERT(zones.insert(view.row->zone).second);
            }
            RC_ASSERT(zones.size() <= 3U);
            for (const role_change &change : roles->decide(
                         at(now), demandOf(3 * (1 + noise), 10 * (1 - noise)), {}, fleet.views)) {
                ++changes;
                RC_ASSERT(!change.reason.empty());
                changingUntil[change.endpoint] = now + 8;
                for (engine_view &view : fleet.views) {
                    if (view.row->name == change.endpoint) {
                        view.role = change.newRole;
                        view.roleSince = at(now);
                    }
                }
            }
        }
        RC_ASSERT(changes <= 18);
    }));
}

TEST(policy_properties, placementCarriesTheLoadAfterLossOfTheLargestCheapZone)
{
    EXPECT_TRUE(rc::check(
            "the remaining endpoints carry the load, the steady ones all non-idempotent load", [] {
                const double load = *rc::gen::inRange(10, 250) / 10.0;
                auto placement = makeStrategy<placement_policy_registry>("steady_and_cheap");
                policy_fleet fleet(*rc::gen::inRange(1, 20));
                pool_demand demand = demandOf(0.2 * load, 0.8 * load);
                demand.nonIdempotentShare = *rc::gen::inRange(0, 40) / 100.0;
                double now = 0;
                runUntilStable(*placement, fleet, demand, now);
                int largest = 0;
                for (const std::string &zone : policyZones)
                    largest = std::max(largest, fleet.count(endpoint_tenure::Cheap, zone));
                const int steady = fleet.count(endpoint_tenure::Steady);
                RC_ASSERT(steady + fleet.count(endpoint_tenure::Cheap) - largest >= load - 1e-6);
                RC_ASSERT(steady >= load * demand.nonIdempotentShare);
            }));
}

TEST(policy_properties, reclaimedOfferIsNotStartedAgainForFiveMinutes)
{
    EXPECT_TRUE(
            rc::check("no cheap endpoint starts in the zone for five minutes, then some do", [] {
                const std::string lost = policyZones[*rc::gen::inRange<std::size_t>(0, 3)];
                auto placement = makeStrategy<placement_policy_registry>("steady_and_cheap");
                policy_fleet fleet(4);
                placement->reclaimed(at(0), lost, "cheap-engine");
                for (double now = 0; now < 300; now += 5) {
                    for (const placement_change &change :
                         placement->decide(at(now), demandOf(3, 12), {}, fleet.views, {},
                                           policy_fleet::offers())) {
                        RC_ASSERT(!change.start || change.offer.tenure == endpoint_tenure::Steady
                                  || change.offer.zone != lost);
                        fleet.apply(change, at(now));
                    }
                }
                double now = 301;
                runUntilStable(*placement, fleet, demandOf(5, 18), now);
                RC_ASSERT(fleet.count(endpoint_tenure::Cheap, lost) > 0);
            }));
}

} // namespace yuccascale

#include "fakes/policy_fleet.hpp"

#include <gtest/gtest.h>

#include <set>

namespace yuccascale {

using namespace fakes;

TEST(policy_roles, changesAtMostOneEnginePerZoneAtOnce)
{
    auto roles = makeStrategy<role_policy_registry>("mix_following");
    policy_fleet fleet(18);
    for (std::size_t index = 0; index < 14; ++index) {
        fleet.views[index].role = engine_role::Decode;
        fleet.views[index].running
                = static_cast<int>(index % 3); // the engines of one zone are the least busy
    }
    for (double now = 2; now < 60; now += 2)
        EXPECT_TRUE(roles->decide(at(now), demandOf(3, 14), {}, fleet.views).empty());
    const auto changes = roles->decide(at(60), demandOf(10, 6), {}, fleet.views);
    std::set<std::string> zones;
    for (const role_change &change : changes) {
        EXPECT_EQ(change.newRole, engine_role::Mixed);
        for (engine_view &view : fleet.views) {
            if (view.row->name != change.endpoint)
                continue;
            EXPECT_TRUE(zones.insert(view.row->zone).second) << view.row->zone;
            view.changing = true;
        }
    }
    EXPECT_EQ(changes.size(), 3U);
    EXPECT_TRUE(roles->decide(at(62), demandOf(10, 6), {}, fleet.views).empty());
}

} // namespace yuccascale

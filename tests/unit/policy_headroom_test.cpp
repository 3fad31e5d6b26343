#include "yuccascale/kernel/policy/cheap_headroom.hpp"

#include <gtest/gtest.h>

namespace yuccascale::kernel::policy {

namespace {

constexpr instant start{seconds(100)};

state::table_set tablesWith(double cheapPrice)
{
    state::table_set tables;
    state::pool &pool = tables.pools["engines"];
    pool.name = "engines";
    pool.scaling = {{1, 12, cheapPrice, {{"a", 0.85}, {"b", 1.2}, {"elsewhere", 1.0}}}};
    return tables;
}

std::vector<feed::listed_endpoint> listed(int steady, int cheap, const std::string &zone)
{
    std::vector<feed::listed_endpoint> out;
    for (int number = 0; number < steady + cheap; ++number) {
        feed::listed_endpoint one;
        one.pool = "engines";
        one.row.zone = zone;
        one.row.tenure
                = number < steady ? state::endpoint_tenure::Steady : state::endpoint_tenure::Cheap;
        out.push_back(one);
    }
    return out;
}

} // namespace

TEST(cheap_headroom, ordersCheapEndpointsUpToTheMaximumOfEachZone)
{
    cheap_headroom policy;
    std::vector<feed::listed_endpoint> now = listed(6, 0, "a");
    const auto other = listed(5, 2, "b");
    now.insert(now.end(), other.begin(), other.end());
    const auto orders = policy.decide(start, tablesWith(0.22), now);
    ASSERT_EQ(orders.size(), 2U) << "no order for a zone without endpoints of the pool";
    EXPECT_EQ(orders[0], (count_order{"engines", "a", state::endpoint_tenure::Cheap, 6}));
    EXPECT_EQ(orders[1].count, 7);
    EXPECT_TRUE(policy.decide(start + seconds(1), tablesWith(0.22), now).empty())
            << "the ordered endpoints are starting";
}

TEST(cheap_headroom, reordersReclaimedEndpointsAndRetriesRefusedOrdersSooner)
{
    cheap_headroom policy;
    const auto now = listed(6, 0, "a");
    const auto first = policy.decide(start, tablesWith(0.22), now);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_TRUE(policy.decide(start + seconds(1), tablesWith(0.22), listed(6, 6, "a")).empty());
    EXPECT_EQ(policy.decide(start + seconds(9), tablesWith(0.22), now).size(), 1U);
    policy.refused(start + seconds(9), first[0]);
    EXPECT_TRUE(policy.decide(start + seconds(10), tablesWith(0.22), now).empty());
    EXPECT_EQ(policy.decide(start + seconds(13), tablesWith(0.22), now).size(), 1U);
}

TEST(cheap_headroom, ordersNothingAboveThePriceLimit)
{
    cheap_headroom policy;
    EXPECT_TRUE(policy.decide(start, tablesWith(0.7), listed(6, 0, "a")).empty());
    EXPECT_TRUE(policy.decide(start, tablesWith(0), listed(6, 0, "a")).empty());
    EXPECT_TRUE(policy.decide(start, {}, listed(6, 0, "a")).empty());
}

} // namespace yuccascale::kernel::policy

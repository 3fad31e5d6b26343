#include "fakes/state_commands.hpp"

#include <gtest/gtest.h>

namespace yuccascale::kernel::state {

namespace {

using namespace fakes;

open_order changeRole(const std::string &target, std::uint64_t fence)
{
    return {target, order_kind::ChangeRole, "decode", fence, "mix", ""};
}

} // namespace

TEST(orders_ledger, aSecondOpenOrderForATargetIsRefused)
{
    applied_log log;
    EXPECT_TRUE(log.apply(firstEdit(), "op-1").accepted);
    const command_result first = log.apply(changeRole("e1", 3), "order-1");
    EXPECT_TRUE(first.accepted);
    log.restart();
    EXPECT_EQ(log.apply(changeRole("e1", 3), "order-1").index, first.index)
            << "sending the same command again must not open a second order";
    const command_result second = log.apply(changeRole("e1", 4), "order-2");
    EXPECT_EQ(second.kind, error_kind::Conflict);
    EXPECT_EQ(second.detail.at("orderId"), first.index);
    EXPECT_TRUE(log.apply(changeRole("e2", 4), "order-3").accepted);
}

TEST(orders_ledger, refusesALeaderWithAnOlderFence)
{
    applied_log log;
    EXPECT_TRUE(log.apply(firstEdit(), "op-1").accepted);
    EXPECT_TRUE(log.apply(changeRole("e1", 3), "order-1").accepted);
    EXPECT_EQ(log.apply(changeRole("e2", 2), "order-2").kind, error_kind::Forbidden);
}

TEST(orders_ledger, aDifferentSecondOutcomeIsRefused)
{
    applied_log log;
    EXPECT_TRUE(log.apply(firstEdit(), "op-1").accepted);
    const std::uint64_t id = log.apply(changeRole("e1", 3), "order-1").index;
    EXPECT_TRUE(log.apply(settle_order{id, order_outcome::Done, "", 0, {}}).accepted);
    EXPECT_TRUE(log.apply(settle_order{id, order_outcome::Done, "", 0, {}}).accepted);
    EXPECT_EQ(log.apply(settle_order{id, order_outcome::Refused, "", 0, {}}).kind,
              error_kind::Conflict);
    EXPECT_EQ(log.state().order(id)->end, order_outcome::Done);
}

TEST(orders_ledger, aStartedEndpointJoinsItsPoolAndAStoppedOneLeaves)
{
    applied_log log;
    EXPECT_TRUE(log.apply(firstEdit(), "op-1").accepted);
    const open_order start{
            "platform/perth-b/cheap", order_kind::StartEndpoint, "cheap", 1, "backlog", "brief"};
    const std::uint64_t started = log.apply(start, "order-1").index;
    EXPECT_TRUE(log.apply(settle_order{started,
                                       order_outcome::Done,
                                       "",
                                       0,
                                       {makeEndpoint("c1", endpoint_tenure::Cheap)}})
                        .accepted);
    EXPECT_EQ(log.state().tables()->pools.at("brief").endpoints.size(), 3U);
    const open_order stop{"c1", order_kind::StopEndpoint, "", 1, "idle", ""};
    const std::uint64_t stopped = log.apply(stop, "order-2").index;
    EXPECT_TRUE(log.state().tables()->pools.at("brief").endpoints[2].draining);
    EXPECT_TRUE(log.apply(settle_order{stopped, order_outcome::Done, "", 0, {}}).accepted);
    EXPECT_EQ(log.state().tables()->pools.at("brief").endpoints.size(), 2U);
}

TEST(orders_ledger, oldestSettledOrderIsDroppedBeyondTheLimit)
{
    limits bounds;
    bounds.settledOrders = 2;
    applied_log log(bounds);
    EXPECT_TRUE(log.apply(firstEdit(), "op-1").accepted);
    std::vector<std::uint64_t> ids;
    for (int number = 0; number < 3; ++number) {
        ids.push_back(log.apply(changeRole("e1", 1), "order-" + std::to_string(number)).index);
        EXPECT_TRUE(log.apply(settle_order{ids.back(), order_outcome::Done, "", 0, {}}).accepted);
    }
    EXPECT_FALSE(log.state().order(ids[0]).has_value());
    EXPECT_TRUE(log.state().order(ids[1]).has_value());
}

} // namespace yuccascale::kernel::state

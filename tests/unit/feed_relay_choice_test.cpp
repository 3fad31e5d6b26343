#include "yuccascale/kernel/feed/relay_choice.hpp"

#include <gtest/gtest.h>

namespace yuccascale::kernel::feed {

namespace {

constexpr instant start{seconds(100)};

[[nodiscard]] node_report controlNode(const std::string &link, const std::string &zone)
{
    node_report report;
    report.node = report.link = link;
    report.zone = zone;
    report.control = true;
    return report;
}

const std::vector<std::string> seeds{"a", "b", "c"};
const std::vector<node_report> nodes{controlNode("a", "z1"), controlNode("b", "z2"),
                                     controlNode("self", "z2")};

} // namespace

TEST(feed_relay_choice, ordersTheOwnZoneFirstAndUnlistedSeedsLast)
{
    const relay_choice relays({"self", "z2"});
    EXPECT_EQ(relays.order(nodes, seeds), (std::vector<std::string>{"b", "a", "c"}));
}

TEST(feed_relay_choice, avoidsANodeThatFailedAndReturnsToItLater)
{
    relay_choice relays({"self", "z2"});
    const std::vector<std::string> ordered = relays.order(nodes, seeds);
    relays.unreachable(start, "b");
    EXPECT_EQ(relays.choose(start + seconds(5), ordered), "a")
            << "each poll of a node that is cut off costs a poll timeout";
    EXPECT_EQ(relays.choose(start + seconds(60), ordered), "b");
}

/// Guards against entries that wait for a frozen leader again while its successor is not ready yet.
TEST(feed_relay_choice, prefersANodeThatIsOutdatedToOneThatIsUnreachable)
{
    relay_choice relays({"self", "z2"});
    const std::vector<std::string> ordered = relays.order(nodes, seeds);
    relays.unreachable(start, "b");
    relays.outdated(start + milliseconds(10), "a");
    relays.outdated(start + milliseconds(20), "c");
    EXPECT_EQ(relays.choose(start + milliseconds(600), ordered), "a");
    EXPECT_EQ(relays.choose(start + seconds(28), ordered), "a");
}

TEST(feed_relay_choice, triesTheNodeWhoseFailureIsOldestWhenAllHaveFailed)
{
    relay_choice relays({"self", "z2"});
    const std::vector<std::string> ordered = relays.order(nodes, seeds);
    instant now = start;
    for (const std::string relay : {"a", "c", "b"})
        relays.unreachable(now += milliseconds(10), relay);
    EXPECT_EQ(relays.choose(now, ordered), "a");
    relays.upToDate("c");
    EXPECT_EQ(relays.choose(now, ordered), "c");
    EXPECT_TRUE(relays.choose(now, {}).empty());
}

} // namespace yuccascale::kernel::feed

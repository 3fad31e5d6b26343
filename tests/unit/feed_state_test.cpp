#include "fakes/manual_clock.hpp"
#include "yuccascale/kernel/feed/feed_state.hpp"

#include <gtest/gtest.h>

namespace yuccascale::kernel::feed {

namespace {

constexpr seconds freshness{2};

std::shared_ptr<state::table_set> tablesAt(std::uint64_t revision)
{
    auto tables = std::make_shared<state::table_set>();
    tables->revision = revision;
    for (std::uint64_t number = 1; number <= revision; ++number) {
        const std::string id = "k" + std::to_string(number);
        tables->keys[id] = {id, "north", "digest"};
    }
    return tables;
}

/// A leader, a relay that polls it, and an entry that polls either, with one clock.
class feed_state_test : public testing::Test
{
protected:
    feed_state m_leader{freshness};
    feed_state m_relay{freshness};
    feed_state m_entry{freshness};
    fakes::manual_clock m_clock;

    void installOnLeader(std::uint64_t revision, std::uint64_t bans = 0)
    {
        m_leader.installConfirmedState(m_clock.now(), m_clock.now(),
                                       {tablesAt(revision), bans, {"fingerprint"}},
                                       reportOf("leader"));
    }

    static node_report reportOf(const std::string &name)
    {
        node_report report;
        report.node = name;
        report.link = name;
        return report;
    }

    /// Names of the nodes that the leader offers, in the order offered.
    [[nodiscard]] std::vector<std::string> offeredNodes() const
    {
        std::vector<std::string> names;
        for (const node_report &node : m_leader.nodes())
            names.push_back(node.node);
        return names;
    }

    bool poll(feed_state &from, feed_state &to, const std::string &name)
    {
        const node_report self = reportOf(name);
        const feed_request request = from.request(m_clock.now(), self, true);
        return from.install(m_clock.now(), to.answer(m_clock.now(), name, request));
    }
};

} // namespace

TEST_F(feed_state_test, passesARevisionOnThroughARelay)
{
    installOnLeader(3);
    EXPECT_TRUE(poll(m_relay, m_leader, "relay"));
    EXPECT_TRUE(poll(m_entry, m_relay, "entry"));
    EXPECT_EQ(json(*m_entry.view().tables), json(*tablesAt(3)));
    EXPECT_TRUE(m_entry.view().fresh(m_clock.now()));
}

/// Guards against a control node that runs out of memory after a series of large documents.
TEST(table_history, keepsFewerStepsWhenTheyAreLarge)
{
    constexpr std::size_t maxRows = 100;
    table_history history(1'024, maxRows);
    history.advance(tablesAt(1));
    for (std::uint64_t revision = 2; revision <= 40; ++revision) {
        auto tables = std::make_shared<state::table_set>();
        tables->revision = revision;
        for (int number = 0; number < 20; ++number) {
            const std::string id = std::to_string(revision) + "-" + std::to_string(number);
            tables->keys[id] = {id, "north", "digest"};
        }
        history.advance(tables);
    }
    EXPECT_TRUE(history.editsSince(39)) << "the newest step is kept";
    EXPECT_FALSE(history.editsSince(36)) << "each step changes 40 rows";
}

TEST_F(feed_state_test, sendsOnlyTheEditsToANodeThatHasAnOlderRevision)
{
    installOnLeader(3);
    poll(m_entry, m_leader, "entry");
    installOnLeader(4);
    installOnLeader(5);
    const node_report self = reportOf("entry");
    const feed_reply reply
            = m_leader.answer(m_clock.now(), "entry", m_entry.request(m_clock.now(), self, true));
    EXPECT_EQ(reply.edits.size(), 2U);
    EXPECT_TRUE(reply.fullTables.empty());
    m_entry.install(m_clock.now(), reply);
    EXPECT_EQ(json(*m_entry.view().tables), json(*tablesAt(5)));
}

TEST_F(feed_state_test, anOvertakenReplyNeitherRevertsTablesNorExtendsFreshness)
{
    installOnLeader(3);
    const node_report self = reportOf("entry");
    const feed_reply overtakenReply
            = m_leader.answer(m_clock.now(), "entry", m_entry.request(m_clock.now(), self, true));
    installOnLeader(4);
    poll(m_entry, m_leader, "entry");
    m_clock.advance(seconds(1));
    EXPECT_FALSE(m_entry.install(m_clock.now(), overtakenReply));
    EXPECT_EQ(m_entry.view().tables->revision, 4U);
    EXPECT_EQ(m_entry.view().freshUntil, instant(freshness));
}

TEST_F(feed_state_test, freshnessCountsFromWhenTheRelayAskedTheLeader)
{
    installOnLeader(1);
    poll(m_relay, m_leader, "relay");
    m_clock.advance(milliseconds(1'500));
    poll(m_entry, m_relay, "entry");
    EXPECT_TRUE(m_entry.view().fresh(m_clock.now()));
    m_clock.advance(milliseconds(500));
    EXPECT_FALSE(m_entry.view().fresh(m_clock.now()));
}

TEST_F(feed_state_test, aRelayWithoutFreshTablesConfirmsNothing)
{
    installOnLeader(1);
    poll(m_relay, m_leader, "relay");
    m_clock.advance(freshness);
    poll(m_entry, m_relay, "entry");
    EXPECT_EQ(m_entry.view().tables, nullptr);
}

TEST_F(feed_state_test, silentAndLeavingNodesAreNotOffered)
{
    installOnLeader(1);
    poll(m_entry, m_leader, "entry");
    poll(m_relay, m_leader, "relay");
    installOnLeader(1);
    EXPECT_EQ(offeredNodes(), (std::vector<std::string>{"entry", "relay", "leader"}));
    node_report leaving = reportOf("entry");
    leaving.leaving = true;
    (void)m_leader.answer(m_clock.now(), "entry", m_entry.request(m_clock.now(), leaving, false));
    installOnLeader(1);
    EXPECT_EQ(offeredNodes(), (std::vector<std::string>{"relay", "leader"}));
    m_clock.advance(seconds(5));
    installOnLeader(1);
    EXPECT_EQ(offeredNodes(), std::vector<std::string>{"leader"});
}

TEST_F(feed_state_test, passesBannedFingerprintsOn)
{
    installOnLeader(1, 7);
    poll(m_relay, m_leader, "relay");
    poll(m_entry, m_relay, "entry");
    EXPECT_TRUE(m_entry.view().bannedFingerprints->contains("fingerprint"));
}

TEST_F(feed_state_test, agreedTimeIsRightThoughTwoOfFourClocksAreWrong)
{
    constexpr std::int64_t trueMs = 1'700'000'000'000;
    constexpr std::int64_t stepMs = 2'400;
    const auto reportWallClock = [&](const std::string &name, std::int64_t wallMs) {
        node_report self = reportOf(name);
        self.wallMs = wallMs;
        (void)m_leader.answer(m_clock.now(), name, m_entry.request(m_clock.now(), self, false));
    };
    reportWallClock("a", trueMs + 2);
    reportWallClock("b", trueMs + stepMs);
    reportWallClock("c", trueMs - 1);
    node_report self = reportOf("leader");
    self.wallMs = trueMs - stepMs;
    m_leader.installConfirmedState(m_clock.now(), m_clock.now(), {tablesAt(1), 0, {}}, self);
    m_clock.advance(seconds(1));
    poll(m_entry, m_leader, "entry");
    const auto agreed = m_entry.agreedTime(m_clock.now());
    ASSERT_TRUE(agreed);
    EXPECT_NEAR(static_cast<double>(agreed->time_since_epoch().count()), trueMs + 1'000, 5);
}

TEST_F(feed_state_test, keepsTheNewestEndpointListThoughARelayLags)
{
    installOnLeader(1);
    poll(m_relay, m_leader, "relay");
    EXPECT_TRUE(m_leader.installEndpoints({5, {{"engines", {}}}}));
    poll(m_entry, m_leader, "entry");
    EXPECT_EQ(m_entry.endpoints()->version, 5U);
    EXPECT_FALSE(m_entry.installEndpoints({4, {}}));
    poll(m_entry, m_relay, "entry");
    EXPECT_EQ(m_entry.endpoints()->version, 5U);
    EXPECT_EQ(m_entry.endpoints()->endpoints.size(), 1U);
}

/// Guards against an edit that is acknowledged though an entry of a relay that was cut off for a
/// while still uses older tables.
TEST_F(feed_state_test, aRelayNamesEachNodeWhoseLeaseMayMatter)
{
    feed_state relay(seconds(10), seconds(2));
    poll(m_entry, relay, "entry");
    m_clock.advance(milliseconds(7'900));
    const auto reports = relay.request(m_clock.now(), reportOf("relay"), true).reports;
    ASSERT_EQ(reports.size(), 2U);
    EXPECT_EQ(reports.back().node, "entry");
    EXPECT_EQ(reports.back().ageMs, 7'900);
}

/// Guards against a process that was replaced and that no relay speaks of any more.
TEST_F(feed_state_test, aRelayNamesAProcessThatWasReplacedToo)
{
    feed_state relay(milliseconds(4'700), seconds(2));
    node_report former = reportOf("entry");
    former.incarnation = 1;
    node_report later = former;
    later.incarnation = 2;
    static_cast<void>(
            relay.answer(m_clock.now(), "entry", m_entry.request(m_clock.now(), former, true)));
    m_clock.advance(seconds(1));
    static_cast<void>(
            relay.answer(m_clock.now(), "entry", m_entry.request(m_clock.now(), later, true)));
    const auto reports = relay.request(m_clock.now(), reportOf("relay"), true).reports;
    ASSERT_EQ(reports.size(), 3U);
    EXPECT_EQ(reports[1].incarnation, 1U);
    EXPECT_EQ(reports[1].ageMs, 1'000);
    EXPECT_EQ(reports[2].incarnation, 2U);
}

} // namespace yuccascale::kernel::feed

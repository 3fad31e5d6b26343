#include "fakes/manual_clock.hpp"
#include "yuccascale/kernel/feed/feed_state.hpp"
#include "yuccascale/wire/feed_codec.hpp"

#include <gtest/gtest.h>
#include <xxhash.h>

#include <algorithm>
#include <random>

/// \file
/// \brief Changes of the lists of endpoints and nodes in place of whole lists.

namespace yuccascale::kernel::feed {

namespace {

constexpr seconds freshness{4};
constexpr std::size_t nodeCount = 300;
constexpr std::size_t endpointCount = 3'003;

using rows = std::vector<listed_endpoint>;

[[nodiscard]] listed_endpoint endpointOf(std::size_t number)
{
    listed_endpoint out;
    out.pool = "engines";
    out.row.name = "endpoint-" + std::to_string(number);
    out.row.address = "10.1.2.3:" + std::to_string(10'000 + number);
    out.row.zone = "zone-" + std::to_string(number % 3);
    return out;
}

[[nodiscard]] rows endpointsOf(std::size_t count)
{
    rows out;
    for (std::size_t number = 0; number < count; ++number)
        out.push_back(endpointOf(number));
    return out;
}

[[nodiscard]] node_report reportOf(const std::string &name)
{
    node_report report;
    report.node = report.link = report.callers = name;
    report.zone = "zone-1";
    report.incarnation = 1'700'000'000'000U;
    return report;
}

[[nodiscard]] std::vector<std::string> namesOf(const feed_state &state)
{
    std::vector<std::string> out;
    for (const node_report &node : state.nodes())
        out.push_back(node.node);
    std::ranges::sort(out);
    return out;
}

/// The digest as former builds make it.
[[nodiscard]] std::uint64_t formerDigest(const rows &list)
{
    const std::string bytes = toCbor(list);
    return std::max<std::uint64_t>(XXH3_64bits(bytes.data(), bytes.size()), 1);
}

/// A leader, two relays and an entry, with one clock; messages pass through the codec.
class feed_changes : public testing::Test
{
protected:
    feed_changes()
    {
        m_clock.advance(seconds(100));
        m_tables->revision = 1;
        confirm();
    }

    void confirm()
    {
        m_leader.installConfirmedState(m_clock.now(), m_clock.now(), {m_tables, 0, {}},
                                       reportOf("leader"));
    }

    void show(rows list)
    {
        m_clock.advance(milliseconds(10));
        static_cast<void>(m_leader.readEndpoints({m_clock.now(), 5, std::move(list)}));
    }

    /// \returns the request of \a from as 30bf086 would send it, if \a former.
    [[nodiscard]] feed_request requestOf(const feed_state &from, const std::string &name,
                                         bool former = false) const
    {
        feed_request request = from.request(m_clock.now(), reportOf(name), true);
        if (former) {
            request.takesEndpointChanges = false;
            request.nodesDigest = 0;
        }
        return wire::decodeFeedRequest(wire::encodeFeedRequest(request)).value();
    }

    /// \returns the answer as it arrives; counts its bytes.
    feed_reply answer(feed_state &to, const feed_request &request, const std::string &name)
    {
        const std::string bytes = wire::encodeFeedReply(to.answer(m_clock.now(), name, request));
        m_replyBytes = bytes.size();
        return wire::decodeFeedReply(bytes).value();
    }

    feed_reply poll(feed_state &from, feed_state &to, const std::string &name, bool former = false)
    {
        feed_reply reply = answer(to, requestOf(from, name, former), name);
        static_cast<void>(from.install(m_clock.now(), reply, m_clock.now()));
        return reply;
    }

    /// Fills the lists up to the size of a large fleet.
    void fill()
    {
        for (std::size_t number = 1; number < nodeCount; ++number) {
            feed_request request;
            request.reports = {reportOf("node-" + std::to_string(number))};
            static_cast<void>(m_leader.answer(m_clock.now(), "node", request));
        }
        confirm();
        show(endpointsOf(endpointCount));
        poll(m_entry, m_leader, "node-1");
        ASSERT_EQ(m_entry.nodes().size(), nodeCount);
        ASSERT_EQ(m_entry.endpoints()->endpoints.size(), endpointCount);
    }

    fakes::manual_clock m_clock;
    std::shared_ptr<state::table_set> m_tables = std::make_shared<state::table_set>();
    feed_state m_leader{freshness};
    feed_state m_relay{freshness};
    feed_state m_other{freshness};
    feed_state m_entry{freshness};
    std::size_t m_replyBytes = 0;
};

} // namespace

/// Guards against changes that are applied at the wrong place, for any two lists.
TEST(endpoint_change, turnsEachListIntoEachOther)
{
    std::mt19937 random(7); // NOLINT(cert-msc51-cpp): the same lists in each run
    for (int round = 0; round < 500; ++round) {
        rows from = endpointsOf(random() % 30);
        rows to = from;
        std::ranges::shuffle(from, random);
        if (round % 2 == 0)
            to = from;
        for (int edit = 0; edit < 5 && !to.empty(); ++edit) {
            const auto at = static_cast<std::ptrdiff_t>(random() % to.size());
            if (random() % 3 == 0)
                to.erase(to.begin() + at);
            else if (random() % 2 == 0)
                to.insert(to.begin() + at, endpointOf(100 + random() % 50));
            else
                to[static_cast<std::size_t>(at)].row.draining = true;
        }
        const endpoint_change change = difference(from, to);
        EXPECT_EQ(withChange(from, change), to);
        endpoint_encodings encodings(from);
        ASSERT_TRUE(encodings.apply(change));
        EXPECT_EQ(encodings.digest(), formerDigest(to));
    }
}

/// Guards against a digest that former builds make in another way.
TEST(endpoint_change, hasTheDigestOfFormerBuildsAtEachSize)
{
    for (const std::size_t size : {0U, 1U, 23U, 24U, 255U, 256U, 3'003U, 65'536U})
        EXPECT_EQ(endpoint_encodings(endpointsOf(size)).digest(), formerDigest(endpointsOf(size)));
}

/// Guards against a node that reads beyond its list, or takes a part of a change for the whole.
TEST(endpoint_change, isRefusedWhenItsPositionsDoNotFit)
{
    const rows list = endpointsOf(3);
    for (const endpoint_change &change :
         {endpoint_change{0, 0, 0, {3}, {}, {}}, endpoint_change{0, 0, 0, {1, 1}, {}, {}},
          endpoint_change{0, 0, 0, {2, 1}, {}, {}}, endpoint_change{0, 0, 0, {}, {9}, {list[0]}},
          endpoint_change{0, 0, 0, {}, {1}, {}}, endpoint_change{0, 0, 0, {0, 1, 2, 3}, {}, {}}})
        EXPECT_FALSE(withChange(list, change));
}

/// Guards against replies that grow with the lists.
TEST_F(feed_changes, aReplyIsSmallWhateverTheSizeOfTheLists)
{
    fill();
    poll(m_entry, m_leader, "node-1");
    EXPECT_LT(m_replyBytes, 256U) << "nothing changed";
    rows list = endpointsOf(endpointCount);
    list[1'500].row.draining = true;
    show(list);
    const feed_reply reply = poll(m_entry, m_leader, "node-1");
    EXPECT_LT(m_replyBytes, 1'024U) << "one row changed";
    EXPECT_TRUE(reply.endpoints.empty());
    EXPECT_EQ(m_entry.endpoints()->endpoints, list);
    node_report lost = reportOf("node-7");
    lost.endpointsLost = true;
    feed_request request;
    request.reports = {lost};
    static_cast<void>(m_leader.answer(m_clock.now(), "node-7", request));
    confirm();
    poll(m_entry, m_leader, "node-1");
    EXPECT_LT(m_replyBytes, 1'024U) << "one node changed";
    EXPECT_TRUE(std::ranges::find(m_entry.nodes(), "node-7", &node_report::node)->endpointsLost);
}

/// Guards against rows that are encoded for each peer again.
TEST_F(feed_changes, aChangeIsEncodedOnceForAllPeers)
{
    fill();
    rows list = endpointsOf(endpointCount);
    list.pop_back();
    show(list);
    const feed_request request = requestOf(m_entry, "node-1");
    const auto first = m_leader.answer(m_clock.now(), "node-1", request).endpointChanges;
    const auto second = m_leader.answer(m_clock.now(), "node-2", request).endpointChanges;
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first, second);
}

/// Guards against copies that differ from the leader's after any course of changes, lost replies,
/// restarts, changes of relay, and with former builds in between.
TEST_F(feed_changes, copiesEndAsTheLeaders)
{
    std::mt19937 random(11); // NOLINT(cert-msc51-cpp): the same course in each run
    rows list = endpointsOf(60);
    std::size_t next = list.size();
    std::size_t changesSent = 0;
    for (int round = 0; round < 2'000; ++round) {
        const auto at = static_cast<std::ptrdiff_t>(random() % (list.size() + 1));
        if (at == std::ssize(list) || random() % 3 == 0)
            list.insert(list.begin() + at, endpointOf(next++));
        else if (random() % 2 == 0 && list.size() > 40)
            list.erase(list.begin() + at);
        else
            list[static_cast<std::size_t>(at)].row.startedMs = round;
        show(list);
        const std::string name = "node-" + std::to_string(random() % 20);
        feed_request report;
        report.reports = {reportOf(name)};
        report.reports.front().endpointsLost = random() % 2 == 0;
        static_cast<void>(m_leader.answer(m_clock.now(), name, report));
        confirm();
        const bool former = random() % 10 == 0;
        if (random() % 3 != 0)
            poll(m_relay, m_leader, "relay", former);
        if (random() % 5 == 0)
            poll(m_other, m_leader, "other", former);
        if (random() % 5 == 0)
            static_cast<void>(answer(random() % 2 == 0 ? m_relay : m_other,
                                     requestOf(m_entry, "entry"),
                                     "entry")); // lost
        const feed_reply reply
                = poll(m_entry, random() % 2 == 0 ? m_relay : m_other, "entry", random() % 10 == 0);
        changesSent += reply.endpointChanges.empty() ? 0 : 1;
        if (random() % 100 == 0)
            m_relay = feed_state(freshness);
        if (random() % 100 == 0)
            m_entry = feed_state(freshness);
        if (random() % 4 != 0)
            continue;
        poll(m_relay, m_leader, "relay");
        poll(m_entry, m_relay, "entry");
        ASSERT_EQ(m_entry.endpoints()->endpoints, list) << "round " << round;
        ASSERT_EQ(digestOf(m_entry.nodes()), digestOf(m_leader.nodes())) << "round " << round;
        ASSERT_EQ(m_entry.endpointsAskedAt(), m_leader.endpointsAskedAt());
    }
    EXPECT_GT(changesSent, 500U);
}

/// Guards against a list that is another one than announced, and against a wait for the next poll.
TEST_F(feed_changes, aResultWithAnotherDigestIsDroppedAndTheWholeListAskedFor)
{
    rows list = endpointsOf(30);
    show(list);
    poll(m_entry, m_leader, "entry");
    const rows former = list;
    list[3].row.draining = true;
    show(list);
    feed_reply reply = answer(m_leader, requestOf(m_entry, "entry"), "entry");
    ASSERT_EQ(reply.endpointChanges.size(), 1U);
    endpoint_change wrong = reply.endpointChanges.front()->value();
    wrong.put.front().row.address = "10.9.9.9:1";
    reply.endpointChanges = {makeEncoded(wrong)};
    EXPECT_FALSE(m_entry.install(m_clock.now(), reply, m_clock.now()));
    EXPECT_EQ(m_entry.endpoints()->endpoints, former);
    EXPECT_TRUE(m_entry.takeMissedChanges());
    EXPECT_FALSE(m_entry.takeMissedChanges());
    EXPECT_EQ(poll(m_entry, m_leader, "entry").endpoints.size(), 1U);
    EXPECT_EQ(m_entry.endpoints()->endpoints, list);
    list[4].row.draining = true;
    show(list);
    EXPECT_TRUE(poll(m_entry, m_leader, "entry").endpoints.empty()) << "changes again";
}

TEST_F(feed_changes, nodesWithAnotherDigestAreDroppedAndTheWholeListAskedFor)
{
    fill();
    m_clock.advance(milliseconds(100));
    feed_request request;
    request.reports = {reportOf("new")};
    static_cast<void>(m_leader.answer(m_clock.now(), "new", request));
    confirm();
    feed_reply reply = answer(m_leader, requestOf(m_entry, "node-1"), "node-1");
    ASSERT_EQ(reply.nodeChanges.size(), 1U);
    node_change wrong = *reply.nodeChanges.front();
    wrong.put.front().zone = "elsewhere";
    reply.nodeChanges = {std::make_shared<const node_change>(wrong)};
    static_cast<void>(m_entry.install(m_clock.now(), reply, m_clock.now()));
    EXPECT_EQ(m_entry.nodes().size(), nodeCount);
    EXPECT_TRUE(m_entry.takeMissedChanges());
    EXPECT_EQ(poll(m_entry, m_leader, "node-1").nodes.size(), nodeCount + 1);
    EXPECT_EQ(namesOf(m_entry), namesOf(m_leader));
}

/// Guards against an answer that says that nothing changed, taken for a list without nodes after
/// another answer has replaced the list.
TEST_F(feed_changes, anOvertakenAnswerWithoutNodesEmptiesNoList)
{
    fill();
    const feed_reply unchanged = answer(m_leader, requestOf(m_entry, "node-1"), "node-1");
    feed_request request;
    request.reports = {reportOf("new")};
    static_cast<void>(m_leader.answer(m_clock.now(), "new", request));
    confirm();
    poll(m_entry, m_leader, "node-1");
    static_cast<void>(m_entry.install(m_clock.now(), unchanged, m_clock.now()));
    EXPECT_EQ(m_entry.nodes().size(), nodeCount + 1);
    EXPECT_TRUE(m_entry.takeMissedChanges());
}

/// Guards against nodes that stay in the lists of others after they have ended.
TEST_F(feed_changes, aSilentNodeLeavesTheListsOfAllNodes)
{
    fill();
    m_clock.advance(milliseconds(2'900));
    confirm();
    poll(m_entry, m_leader, "node-1");
    EXPECT_EQ(m_entry.nodes().size(), nodeCount);
    m_clock.advance(milliseconds(200));
    confirm();
    poll(m_entry, m_leader, "node-1");
    EXPECT_EQ(namesOf(m_entry), (std::vector<std::string>{"leader", "node-1"}));
}

/// Guards against a relay that answers with changes it does not know.
TEST_F(feed_changes, aRelayThatForgotSendsTheWholeList)
{
    fill();
    m_relay = feed_state(freshness);
    rows list = endpointsOf(endpointCount);
    list.pop_back();
    show(list);
    poll(m_relay, m_leader, "node-2");
    const feed_reply reply = poll(m_entry, m_relay, "node-1");
    EXPECT_EQ(reply.endpoints.size(), 1U);
    EXPECT_EQ(m_entry.endpoints()->endpoints, list);
}

/// Guards against a relay that passes on whole lists though it got changes.
TEST_F(feed_changes, aRelayPassesOnTheChangesThatItGot)
{
    fill();
    poll(m_relay, m_leader, "node-2");
    rows list = endpointsOf(endpointCount);
    for (int change = 0; change < 3; ++change) {
        list.pop_back();
        show(list);
        confirm();
    }
    EXPECT_EQ(poll(m_relay, m_leader, "node-2").endpointChanges.size(), 3U);
    EXPECT_EQ(poll(m_entry, m_relay, "node-1").endpointChanges.size(), 3U);
    EXPECT_LT(m_replyBytes, 1'024U);
    EXPECT_EQ(m_entry.endpoints()->endpoints, list);
}

/// Guards against a list that is asked for earlier and takes the place of a later one.
TEST_F(feed_changes, anOlderListComesByNoChange)
{
    show(endpointsOf(30));
    poll(m_entry, m_leader, "entry");
    rows list = endpointsOf(30);
    list[1].row.draining = true;
    show(list);
    const feed_reply older = answer(m_leader, requestOf(m_entry, "entry"), "entry");
    ASSERT_FALSE(older.endpointChanges.empty());
    m_clock.advance(milliseconds(500));
    static_cast<void>(m_entry.readEndpoints({m_clock.now(), 0, endpointsOf(30)}));
    static_cast<void>(m_entry.readEndpoints({m_clock.now() + seconds(1), 0, endpointsOf(30)}));
    const instant sentAt = m_clock.now() - milliseconds(500);
    EXPECT_FALSE(m_entry.installEndpoints(sentAt, sentAt, older));
    EXPECT_EQ(m_entry.endpoints()->endpoints, endpointsOf(30));
}

/// Guards against memory that grows with the number of changes.
TEST(change_history, keepsAFewStepsAndBytes)
{
    change_history<int> history({4, 100});
    for (int step = 0; step < 10; ++step)
        history.add(static_cast<std::uint64_t>(step), static_cast<std::uint64_t>(step) + 1, step,
                    10);
    EXPECT_EQ(history.since(6), (std::vector<int>{6, 7, 8, 9}));
    EXPECT_TRUE(history.since(5).empty());
    history.add(10, 11, 10, 85);
    EXPECT_EQ(history.since(9), (std::vector<int>{9, 10}));
    EXPECT_TRUE(history.since(8).empty());
    history.add(20, 21, 20, 1);
    EXPECT_TRUE(history.since(10).empty()) << "nothing leads from there to the newest";
    history.add(21, 22, 21, 101);
    EXPECT_TRUE(history.since(21).empty()) << "too large to be kept";
}

} // namespace yuccascale::kernel::feed

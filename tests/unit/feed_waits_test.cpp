#include "fakes/held_transport.hpp"
#include "fakes/manual_clock.hpp"
#include "fakes/null_event_sink.hpp"
#include "yuccascale/runtime/feed_service.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

/// \file
/// \brief What the feed learns while a poll of a silent node is still waiting.

namespace yuccascale::runtime {

namespace {

using namespace kernel;
using fakes::held_transport;

/// Beyond any time that the service may take; a test that waits for so long fails.
constexpr milliseconds limit{10'000};
constexpr milliseconds freshness{4'700};
/// No other node is asked for silence alone before a test fails.
constexpr milliseconds intervalBeyondLimit = 6 * limit;
constexpr instant start{seconds(100)};

/// A control node that can become the leader.
class changing_leader final : public leader_state_reader
{
public:
    [[nodiscard]] std::string leader() const override { return isSelf ? "c" : "a"; }
    [[nodiscard]] result<feed::confirmed_state> confirmedReading(instant) override
    {
        auto tables = std::make_shared<state::table_set>();
        tables->revision = 9;
        return feed::confirmed_state{tables, 0, {}};
    }

    std::atomic<bool> isSelf{false};
};

/// A node whose round of polls runs on another thread, beside "a", which answers nothing.
class feed_waits : public testing::Test
{
protected:
    feed_waits()
    {
        m_clock.advance(start.time_since_epoch());
        m_nodes.hold("a");
    }
    ~feed_waits() override
    {
        m_nodes.end();
        if (m_round.valid())
            m_round.wait();
    }

    void makeService(const std::string &link, std::vector<std::string> seeds,
                     leader_state_reader *reader, milliseconds interval = milliseconds(600),
                     std::shared_ptr<worker_threads> workers = nullptr)
    {
        m_settings.node = m_settings.linkAddress = link;
        m_settings.zone = "perth-a";
        m_settings.seeds = std::move(seeds);
        m_settings.control.freshness = freshness;
        m_settings.control.feedInterval = interval;
        m_feed = std::make_unique<feed_service>(m_settings, m_clock, m_nodes, m_events, 1, reader,
                                                std::move(workers));
    }

    void beginRound()
    {
        m_round = std::async(std::launch::async, [this] { m_feed->pollRound(); });
        ASSERT_TRUE(m_nodes.waitForCall("a", limit));
    }

    [[nodiscard]] bool waitForRevision(std::uint64_t revision) const
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < end) {
            const auto tables = m_feed->view().tables;
            if (tables && tables->revision == revision)
                return true;
            std::this_thread::sleep_for(milliseconds(1));
        }
        return false;
    }

    settings m_settings;
    fakes::manual_clock m_clock;
    fakes::null_event_sink m_events;
    held_transport m_nodes{freshness};
    std::unique_ptr<feed_service> m_feed;
    std::future<void> m_round;
};

} // namespace

/// Guards against tables that grow old while a poll of a silent node waits, though another node
/// answers.
TEST_F(feed_waits, anotherNodeIsAskedWhileTheFirstIsSilent)
{
    makeService("entry", {"a"}, nullptr);
    beginRound();
    m_nodes.install("b", 7, start);
    m_feed->setSeeds({"a", "b"});
    EXPECT_TRUE(waitForRevision(7));
}

/// Guards against a lost lease when two control nodes vanish: commits that wait for the log took
/// all threads but one, so that the third node was not asked before the poll of the first had
/// ended.
TEST_F(feed_waits, aThirdNodeIsAskedWhileTwoAreSilentAndCommitsWait)
{
    constexpr milliseconds interval{600};
    const auto workers = std::make_shared<worker_threads>(7);
    makeService("entry", {"a", "b", "c"}, nullptr, interval, workers);
    const std::vector<std::string> order = m_feed->controlNodes();
    m_nodes.release("a");
    m_nodes.hold(order.at(0));
    m_nodes.hold(order.at(1));
    m_nodes.install(order.at(2), 7, start);
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    worker_pool commits({16, 1, worker_group::Callers}, workers);
    for (int count = 0; count < 20; ++count)
        commits.run([released] { released.wait(); });
    const auto begin = std::chrono::steady_clock::now();
    m_round = std::async(std::launch::async, [this] { m_feed->pollRound(); });
    EXPECT_TRUE(waitForRevision(7));
    // two hedge delays of half an interval each; given up polls take longer than two intervals
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 2 * interval);
    release.set_value();
}

/// Guards against a new leader that has its own tables in force only after a poll of the former one
/// ends.
TEST_F(feed_waits, aNewLeaderReadsItsOwnTablesWhileAPollOfTheFormerOneWaits)
{
    changing_leader reader;
    makeService("c", {"a"}, &reader, intervalBeyondLimit);
    beginRound();
    reader.isSelf = true;
    m_feed->pollSoon();
    EXPECT_TRUE(waitForRevision(9));
}

/// Guards against a notification that is put off until a poll of a silent node ends.
TEST_F(feed_waits, theNodeThatNotifiesIsAskedAtOnce)
{
    makeService("entry", {"a"}, nullptr, intervalBeyondLimit);
    m_nodes.install("b", 7, start);
    beginRound();
    m_feed->setSeeds({"a", "b"});
    static_cast<void>(m_nodes.ownHandler("b", {}));
    EXPECT_TRUE(waitForRevision(7));
}

/// Guards against a list of endpoints that is known and not used before the whole round has ended.
TEST_F(feed_waits, whatArrivesIsPutToUseBeforeTheRoundEnds)
{
    makeService("entry", {"b", "a"}, nullptr);
    const std::vector<std::string> order = m_feed->controlNodes();
    const std::string &first = order.front();
    const std::string &second = order.back();
    m_nodes.release("a");
    m_nodes.hold(second);
    m_nodes.install(first, 7, start);
    m_nodes.installEndpoints(first, {5, {}});
    m_nodes.setNow(start + seconds(3)); // behind: the round goes on to the next node
    m_clock.advance(seconds(3));
    std::atomic<std::uint64_t> listUsed{0};
    m_feed->setListener([&] { listUsed = m_feed->view().endpoints->version; });
    m_round = std::async(std::launch::async, [this] { m_feed->pollRound(); });
    ASSERT_TRUE(m_nodes.waitForCall(second, limit));
    const auto end = std::chrono::steady_clock::now() + limit;
    while (listUsed != 5 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(milliseconds(1));
    EXPECT_EQ(listUsed, 5U);
}

/// Guards against freshness and tables that go back when a held reply arrives after a newer one.
TEST_F(feed_waits, aReplyThatANewerOneHasOvertakenTakesNothingBack)
{
    makeService("entry", {"a"}, nullptr);
    m_nodes.install("a", 6, start);
    beginRound();
    m_nodes.install("b", 7, start);
    m_feed->setSeeds({"a", "b"});
    ASSERT_TRUE(waitForRevision(7));
    const instant freshUntil = m_feed->view().freshUntil;
    m_nodes.release("a");
    m_round.wait();
    EXPECT_EQ(m_feed->view().tables->revision, 7U);
    EXPECT_GE(m_feed->view().freshUntil, freshUntil);
}

} // namespace yuccascale::runtime

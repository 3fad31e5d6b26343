#include "fakes/held_transport.hpp"
#include "fakes/manual_clock.hpp"
#include "yuccascale/runtime/events.hpp"
#include "yuccascale/runtime/feed_service.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <mutex>
#include <thread>

/// \file
/// \brief What a node does when its list of endpoints grows old.

namespace yuccascale::runtime {

namespace {

using namespace kernel;
using fakes::held_transport;

/// Beyond any time that the service may take; a test that waits for so long fails.
constexpr milliseconds limit{10'000};
constexpr milliseconds freshness{4'700};
constexpr instant start{seconds(100)};

/// This node leads.
class own_leader final : public leader_state_reader
{
public:
    [[nodiscard]] std::string leader() const override { return "self"; }
    [[nodiscard]] result<feed::confirmed_state> confirmedReading(instant) override
    {
        auto tables = std::make_shared<state::table_set>();
        tables->revision = 7;
        return feed::confirmed_state{tables, 0, {}};
    }
};

/// Keeps the numbers of the events.
class event_numbers final : public event_sink
{
public:
    using event_sink::record;
    void record(const event_kind &kind, std::span<const event_field>) override
    {
        const std::lock_guard lock(m_mutex);
        m_numbers.push_back(kind.number());
    }

    [[nodiscard]] int count(const event_kind &kind) const
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<int>(std::ranges::count(m_numbers, kind.number()));
    }

private:
    mutable std::mutex m_mutex;
    std::vector<int> m_numbers;
};

/// An entry or a leader beside the control nodes "a", "b" and "c".
class feed_list_waits : public testing::Test
{
protected:
    feed_list_waits()
    {
        m_clock.advance(start.time_since_epoch());
        for (const std::string node : {"a", "b", "c"})
            m_nodes.install(node, 7, start);
    }
    ~feed_list_waits() override { m_nodes.end(); }

    void makeService(leader_state_reader *reader = nullptr)
    {
        m_settings.node = m_settings.linkAddress = "self";
        m_settings.zone = "perth-a";
        m_settings.seeds = {"a", "b", "c"};
        m_settings.control.freshness = freshness;
        m_settings.control.feedInterval = milliseconds(600);
        m_settings.promises.drainNotice = seconds(3);
        m_feed = std::make_unique<feed_service>(m_settings, m_clock, m_nodes, m_events, 1, reader);
    }

    static feed::endpoint_reading reading(instant askedAt, const std::string &name)
    {
        feed::endpoint_reading out{askedAt, 5, {{"engines", {}}}};
        out.endpoints.back().row.name = name;
        return out;
    }

    /// Tables are confirmed at all nodes now.
    void advance(milliseconds time)
    {
        m_clock.advance(time);
        for (const std::string node : {"a", "b", "c"})
            m_nodes.install(node, 7, m_clock.now());
    }

    [[nodiscard]] std::size_t pollsOf(const std::function<void()> &action)
    {
        const std::size_t before = m_nodes.calls().size();
        action();
        return m_nodes.calls().size() - before;
    }

    [[nodiscard]] bool waitForEndpoint(const std::string &name) const
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < end) {
            const auto listed = m_feed->view().endpoints;
            if (!listed->endpoints.empty() && listed->endpoints.front().row.name == name)
                return true;
            std::this_thread::sleep_for(milliseconds(1));
        }
        return false;
    }

    settings m_settings;
    fakes::manual_clock m_clock;
    event_numbers m_events;
    held_transport m_nodes{freshness};
    std::unique_ptr<feed_service> m_feed;
};

} // namespace

/// Guards against an entry that keeps a draining endpoint, as the relay that it polls has confirmed
/// tables and an old list.
TEST_F(feed_list_waits, anotherNodeIsAskedWhileTheListOfTheRelayIsOld)
{
    makeService();
    for (const std::string node : {"a", "b", "c"})
        m_nodes.readEndpoints(node, reading(start, "old"));
    m_feed->pollRound();
    ASSERT_TRUE(waitForEndpoint("old"));
    const std::string relay = m_feed->controlNodes().front();
    advance(milliseconds(2'300));
    m_nodes.readEndpoints(relay == "a" ? "b" : "a", reading(m_clock.now(), "young"));
    m_feed->pollRound();
    EXPECT_TRUE(waitForEndpoint("young"));
}

/// Guards against a leader that cannot read the list and asks nobody for it.
TEST_F(feed_list_waits, aLeaderThatCannotReadTheListAsksAnotherControlNode)
{
    own_leader reader;
    makeService(&reader);
    m_feed->setEndpoints(reading(start, "old"));
    advance(milliseconds(2'300));
    m_nodes.readEndpoints("a", reading(m_clock.now(), "young"));
    m_nodes.readEndpoints("b", reading(m_clock.now(), "young"));
    m_nodes.readEndpoints("c", reading(m_clock.now(), "young"));
    m_feed->pollRound();
    EXPECT_TRUE(waitForEndpoint("young"));
    EXPECT_EQ(m_feed->view().leader, "self");
}

/// Guards against polls in calm that only the list would need.
TEST_F(feed_list_waits, oneNodeIsPolledInEachRoundOfCalm)
{
    makeService();
    for (int round = 0; round < 10; ++round) {
        for (const std::string node : {"a", "b", "c"})
            m_nodes.readEndpoints(node, reading(m_clock.now() - milliseconds(1'100), "same"));
        EXPECT_EQ(pollsOf([&] { m_feed->pollRound(); }), 1U);
        advance(milliseconds(600));
    }
}

/// Guards against entries that ask all control nodes in each round while the platform is down.
TEST_F(feed_list_waits, aPlatformThatIsDownCostsFewPolls)
{
    makeService();
    for (const std::string node : {"a", "b", "c"})
        m_nodes.readEndpoints(node, reading(start, "old"));
    constexpr int rounds = 50; // 30 s
    const std::size_t polls = pollsOf([&] {
        for (int round = 0; round < rounds; ++round) {
            m_feed->pollRound();
            advance(milliseconds(600));
        }
    });
    EXPECT_LE(polls, static_cast<std::size_t>(rounds) + 30);
}

/// Guards against a list that grows old and shows it in no log.
TEST_F(feed_list_waits, anOldListAndItsRenewalAreRecordedOnce)
{
    makeService();
    for (const std::string node : {"a", "b", "c"})
        m_nodes.readEndpoints(node, reading(start, "same"));
    m_feed->pollRound();
    ASSERT_TRUE(waitForEndpoint("same"));
    advance(milliseconds(3'100));
    m_feed->start();
    const auto waitFor = [&](const event_kind &kind) {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (m_events.count(kind) == 0 && std::chrono::steady_clock::now() < end) {
            m_feed->pollSoon();
            std::this_thread::sleep_for(milliseconds(1));
        }
        return m_events.count(kind);
    };
    EXPECT_EQ(waitFor(endpointListOld), 1);
    for (const std::string node : {"a", "b", "c"})
        m_nodes.readEndpoints(node, reading(m_clock.now(), "same"));
    EXPECT_EQ(waitFor(endpointListRenewed), 1);
    m_feed->stop();
    EXPECT_EQ(m_events.count(endpointListOld), 1);
}

} // namespace yuccascale::runtime

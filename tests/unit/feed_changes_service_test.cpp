#include "fakes/manual_clock.hpp"
#include "fakes/null_event_sink.hpp"
#include "yuccascale/runtime/feed_service.hpp"
#include "yuccascale/wire/feed_codec.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <mutex>
#include <thread>

/// \file
/// \brief A feed_service that sends and takes changes of lists.

namespace yuccascale::runtime {

namespace {

using namespace kernel;

constexpr seconds freshness{4};

[[nodiscard]] std::vector<feed::listed_endpoint> listOf(int endpoints)
{
    std::vector<feed::listed_endpoint> out;
    for (int number = 0; number < endpoints; ++number) {
        out.emplace_back();
        out.back().pool = "engines";
        out.back().row.name = "endpoint-" + std::to_string(number);
    }
    return out;
}

/// A leader whose next changes may be falsified on their way.
class leading_node final : public transport
{
public:
    explicit leading_node(clock &clock)
        : m_clock(clock)
    {
        m_tables->revision = 1;
    }

    void handle(channel, handler handler) override { ownHandler = std::move(handler); }
    void post(std::string_view, channel, std::string) override { }

    [[nodiscard]] result<std::string> call(std::string_view, channel, std::string payload,
                                           call_timeout) override
    {
        BOOST_LEAF_AUTO(request, wire::decodeFeedRequest(payload));
        const std::lock_guard lock(m_mutex);
        const instant now = m_clock.now();
        static_cast<void>(m_state.installConfirmedState(now, now, {m_tables, 0, {}}, m_self));
        feed::feed_reply reply = m_state.answer(now, "entry", request);
        if (m_falsified && !reply.endpointChanges.empty()) {
            feed::endpoint_change wrong = reply.endpointChanges.front()->value();
            wrong.put.front().row.address = "10.9.9.9:1";
            reply.endpointChanges = {makeEncoded(std::move(wrong))};
            ++m_falsifiedReplies;
        }
        return wire::encodeFeedReply(reply);
    }

    void show(std::vector<feed::listed_endpoint> list)
    {
        const std::lock_guard lock(m_mutex);
        static_cast<void>(m_state.readEndpoints({m_clock.now(), 5, std::move(list)}));
    }

    void falsify()
    {
        const std::lock_guard lock(m_mutex);
        m_falsified = true;
    }

    [[nodiscard]] int falsifiedReplies()
    {
        const std::lock_guard lock(m_mutex);
        return m_falsifiedReplies;
    }

    handler ownHandler;

private:
    clock &m_clock;
    std::mutex m_mutex;
    feed::feed_state m_state{freshness};
    std::shared_ptr<state::table_set> m_tables = std::make_shared<state::table_set>();
    feed::node_report m_self{"leader"};
    bool m_falsified = false;
    int m_falsifiedReplies = 0;
};

[[nodiscard]] settings entrySettings()
{
    settings out;
    out.node = out.linkAddress = "entry";
    out.roles.entry = true;
    out.seeds = {"leader"};
    out.control.freshness = freshness;
    out.control.feedInterval = seconds(60);
    return out;
}

/// \returns whether \a feed had \a list within 10 s.
[[nodiscard]] bool gets(const feed_service &feed, const std::vector<feed::listed_endpoint> &list)
{
    const auto end = std::chrono::steady_clock::now() + seconds(10);
    while (std::chrono::steady_clock::now() < end) {
        if (feed.view().endpoints->endpoints == list)
            return true;
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

} // namespace

/// Guards against a node that keeps an old list for a whole interval after a change did not fit.
TEST(feed_changes_service, asksForTheWholeListAtOnceWhenAChangeDidNotFit)
{
    const settings config = entrySettings();
    fakes::manual_clock clock;
    clock.advance(seconds(100));
    leading_node leader(clock);
    fakes::null_event_sink events;
    std::vector<feed::listed_endpoint> list = listOf(30);
    leader.show(list);
    feed_service feed(config, clock, leader, events, 1, nullptr);
    feed.start();
    ASSERT_TRUE(gets(feed, list));
    clock.advance(milliseconds(100));
    list[7].row.draining = true;
    leader.show(list);
    leader.falsify();
    clock.advance(milliseconds(100));
    feed.pollSoon();
    EXPECT_TRUE(gets(feed, list));
    EXPECT_EQ(leader.falsifiedReplies(), 1);
    feed.stop();
}

/// Guards against whole lists that are sent unnoticed.
TEST(feed_changes_service, countsWholeListsAndChanges)
{
    const settings config = entrySettings();
    fakes::manual_clock clock;
    clock.advance(seconds(100));
    leading_node transport(clock);
    fakes::null_event_sink events;
    feed_service feed(config, clock, transport, events, 1, nullptr);
    std::vector<feed::listed_endpoint> list = listOf(30);
    feed.setEndpoints({clock.now(), 5, list});
    feed::feed_state entry(freshness);
    const auto poll = [&] {
        clock.advance(milliseconds(10));
        const feed::feed_request request = entry.request(clock.now(), {"other"}, false);
        const std::string bytes = transport.ownHandler("other", wire::encodeFeedRequest(request));
        const feed::feed_reply reply = wire::decodeFeedReply(bytes).value();
        static_cast<void>(entry.installEndpoints(clock.now(), clock.now(), reply));
    };
    poll();
    EXPECT_EQ(feed.load().wholeEndpointLists, 1U);
    EXPECT_EQ(feed.load().endpointChanges, 0U);
    list[7].row.draining = true;
    clock.advance(milliseconds(10));
    feed.setEndpoints({clock.now(), 5, list});
    poll();
    poll();
    EXPECT_EQ(feed.load().wholeEndpointLists, 1U);
    EXPECT_EQ(feed.load().endpointChanges, 1U);
    EXPECT_EQ(entry.endpoints()->endpoints, list);
}

} // namespace yuccascale::runtime

#include "fakes/control_log.hpp"
#include "fakes/null_event_sink.hpp"
#include "yuccascale/http/caller_server.hpp"
#include "yuccascale/kernel/requests/key_check.hpp"
#include "yuccascale/kernel/requests/negative_answer.hpp"
#include "yuccascale/runtime/system_clock.hpp"

#include <gtest/gtest.h>
#include <httplib.h>

#include <atomic>
#include <future>
#include <thread>

/// \file
/// \brief What an entry says of a key or a route that its tables do not hold.

namespace yuccascale::http {

namespace {

using kernel::milliseconds;
using kernel::requests::negative_answer_rule;
using kernel::requests::negative_verdict;

constexpr milliseconds propagation{2'000};
constexpr milliseconds feedInterval{600};
constexpr milliseconds askLimit{10'000};

/// An entry whose tables a test edits and confirms.
class unconfirmed_tables : public testing::Test
{
protected:
    unconfirmed_tables()
    {
        m_settings.node = "perth-a-1";
        m_settings.zone = "perth-a";
        m_settings.roles = {true, false};
        m_settings.callerAddress = "127.0.0.1:0";
        m_settings.control.feedInterval = feedInterval;
        m_settings.promises.tablePropagation = propagation;
        kernel::state::edit_tables edit;
        kernel::state::pool pool;
        pool.name = "engines";
        pool.model = "assistant";
        edit.putPools = {pool};
        edit.putRoutes = {{"briefing", "engines"}};
        edit.putOrganisations = {{"swanfield", 1.0}};
        EXPECT_TRUE(m_control.edit(edit).accepted);
        m_server = std::make_unique<caller_server>(
                caller_server_dependencies{m_settings,
                                           m_clock,
                                           m_events,
                                           m_control,
                                           m_loops,
                                           "0123456789abcdef",
                                           1,
                                           nullptr,
                                           nullptr,
                                           nullptr,
                                           {},
                                           nullptr,
                                           [this] { ++m_asked; }});
        kernel::error problem;
        EXPECT_TRUE(kernel::succeeded([&] { return m_server->start(); }, problem));
        m_loops.start();
    }
    ~unconfirmed_tables() override
    {
        m_server->stop();
        m_loops.stop();
    }

    void setAge(kernel::nanoseconds age) { m_control.setConfirmedAt(m_clock.now() - age); }

    [[nodiscard]] int statusOf(const std::string &route, const std::string &key)
    {
        httplib::Client caller("127.0.0.1", m_server->port());
        caller.set_read_timeout(20);
        const auto answer = caller.Post(
                "/v1/chat/completions", {{"Authorization", "Bearer " + key}},
                R"({"model":")" + route + R"(","prompt":"file"})", "application/json");
        return answer ? answer->status : 0;
    }

    void addKey(const std::string &key)
    {
        kernel::state::edit_tables edit;
        edit.putKeys = {{"k-" + key, "swanfield", kernel::requests::digestOf(key)}};
        static_cast<void>(m_control.edit(edit));
    }

    void waitUntilAsked()
    {
        const auto end = std::chrono::steady_clock::now() + askLimit;
        while (m_asked == 0 && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(milliseconds(1));
        EXPECT_GT(m_asked, 0);
    }

    runtime::settings m_settings;
    runtime::system_clock m_clock;
    fakes::null_event_sink m_events;
    fakes::control_log m_control;
    net::event_loops m_loops{2};
    std::atomic<int> m_asked{0};
    std::unique_ptr<caller_server> m_server;
};

} // namespace

TEST(negative_answer, needsTablesThatWereConfirmedWithinThePromise)
{
    const negative_answer_rule rule{propagation, feedInterval};
    const kernel::instant arrival{std::chrono::seconds(100)};
    EXPECT_EQ(rule.judge(arrival, arrival, arrival - propagation), negative_verdict::Final);
    const kernel::instant old = arrival - propagation - milliseconds(1);
    EXPECT_EQ(rule.judge(arrival, arrival, old), negative_verdict::AwaitConfirmation);
    EXPECT_EQ(rule.judge(arrival + feedInterval, arrival, old), negative_verdict::NotReady);
    const negative_answer_rule unbounded{{}, feedInterval};
    EXPECT_EQ(unbounded.judge(arrival, arrival, old), negative_verdict::Final);
}

/// Guards against a 401 for a key whose edit was acknowledged longer ago than the promise.
TEST_F(unconfirmed_tables, aKeyIsNotUnknownBeforeTheTablesAreConfirmed)
{
    setAge(propagation + milliseconds(500));
    auto status = std::async(std::launch::async, [this] { return statusOf("briefing", "new"); });
    waitUntilAsked();
    addKey("new");
    setAge(milliseconds(0));
    m_server->scheduleFeedUpdate();
    EXPECT_EQ(status.get(), 503) << "known now; the pool has no endpoint";
}

/// Guards against a 404 for a route whose edit was acknowledged longer ago than the promise.
TEST_F(unconfirmed_tables, aRouteIsNotUnknownBeforeTheTablesAreConfirmed)
{
    addKey("known");
    setAge(propagation + milliseconds(500));
    auto status = std::async(std::launch::async, [this] { return statusOf("later", "known"); });
    waitUntilAsked();
    kernel::state::edit_tables edit;
    edit.putRoutes = {{"later", "engines"}};
    static_cast<void>(m_control.edit(edit));
    setAge(milliseconds(0));
    m_server->scheduleFeedUpdate();
    EXPECT_EQ(status.get(), 503) << "known now; the pool has no endpoint";
}

TEST_F(unconfirmed_tables, aWrongKeyIsRefusedOnceTheTablesAreConfirmed)
{
    setAge(propagation + milliseconds(500));
    auto status = std::async(std::launch::async, [this] { return statusOf("briefing", "wrong"); });
    waitUntilAsked();
    setAge(milliseconds(0));
    m_server->scheduleFeedUpdate();
    EXPECT_EQ(status.get(), 401);
}

TEST_F(unconfirmed_tables, nothingIsSaidOfAKeyWhenNoConfirmationComes)
{
    setAge(propagation + milliseconds(500));
    EXPECT_EQ(statusOf("briefing", "new"), 503);
}

/// Current tables hold nothing up and ask no control node, whatever the keys are.
TEST_F(unconfirmed_tables, wrongKeysAreRefusedAtOnceFromCurrentTables)
{
    setAge(propagation / 2);
    for (int number = 0; number < 50; ++number)
        EXPECT_EQ(statusOf("briefing", "wrong-" + std::to_string(number)), 401);
    EXPECT_EQ(m_asked, 0);
}

/// Guards against a herd of questions at the control nodes: a burst of wrong keys costs one a feed
/// interval.
TEST_F(unconfirmed_tables, aBurstOfWrongKeysAsksOnce)
{
    setAge(propagation + milliseconds(500));
    constexpr int callers = 40;
    std::vector<std::future<int>> burst;
    burst.reserve(callers);
    for (int number = 0; number < callers; ++number)
        burst.push_back(
                std::async(std::launch::async, [this] { return statusOf("briefing", "x"); }));
    waitUntilAsked();
    std::this_thread::sleep_for(feedInterval / 4);
    EXPECT_LE(m_asked, 1);
    setAge(milliseconds(0));
    m_server->scheduleFeedUpdate();
    for (std::future<int> &one : burst)
        EXPECT_EQ(one.get(), 401);
}

} // namespace yuccascale::http

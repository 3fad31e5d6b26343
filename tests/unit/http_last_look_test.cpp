#include "fakes/control_log.hpp"
#include "http_fake_engine.hpp"
#include "yuccascale/http/caller_pools.hpp"
#include "yuccascale/http/caller_server.hpp"
#include "yuccascale/kernel/json.hpp"
#include "yuccascale/kernel/requests/events.hpp"
#include "yuccascale/kernel/requests/key_check.hpp"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <future>

/// \file
/// \brief A request whose endpoint drains after it was assigned and before its first byte leaves.

namespace yuccascale::http {

namespace {

using kernel::json;

constexpr const char *callerKey = "yk_mehta";

/// Runs an action when a request is sent for the given time, with the name of its endpoint.
class sent_hook final : public kernel::event_sink
{
public:
    using event_sink::record;
    void record(const kernel::event_kind &kind,
                std::span<const kernel::event_field> fields) override
    {
        if (kind.number() == kernel::requests::sendWithheld.number())
            ++withheld;
        if (kind.number() != kernel::requests::requestRouted.number() || ++m_sent != at)
            return;
        const auto endpoint = std::ranges::find(fields, "endpoint", &kernel::event_field::name);
        onSent(endpoint->value);
    }

    int at = 0; ///< the first, second, ... time
    std::function<void(const std::string &endpoint)> onSent;
    std::atomic<int> withheld{0};

private:
    int m_sent = 0;
};

/// One entry with one loop before two engines, and a route with one attempt.
class last_look : public testing::Test
{
protected:
    last_look()
    {
        m_settings.node = "ahmedabad-1";
        m_settings.zone = "ahmedabad";
        m_settings.roles = {true, true};
        m_settings.callerAddress = "127.0.0.1:0";
        m_settings.policy.routing = "round_robin";
        m_settings.policy.admission = "always";
        m_settings.policy.fairness = "first_come_first_served";
        m_settings.promises.drainNotice = kernel::seconds(3);
    }
    ~last_look() override
    {
        if (m_server)
            m_server->stop();
        m_loops.stop();
    }

    void start(const std::vector<std::string> &addresses, int attempts = 1)
    {
        m_pool.name = "engines";
        m_pool.model = "assistant";
        for (const std::string &address : addresses) {
            kernel::state::endpoint row;
            row.name = "e" + std::to_string(m_pool.endpoints.size());
            row.address = address;
            row.zone = "ahmedabad";
            row.slots = 1;
            m_pool.endpoints.push_back(row);
        }
        kernel::state::edit_tables edit;
        edit.putPools = {m_pool};
        edit.putRoutes = {{"appraisal", "engines"}};
        edit.putRoutes.front().maxAttempts = attempts;
        edit.putOrganisations = {{"mehta", 1.0}};
        edit.putKeys = {{"k1", "mehta", kernel::requests::digestOf(callerKey)}};
        ASSERT_TRUE(m_control.edit(edit).accepted);
        m_server = std::make_unique<caller_server>(caller_server_dependencies{
                m_settings, m_clock, m_events, m_control, m_loops, "0123456789abcdef", 1,
                [] { return std::vector<kernel::feed::node_report>(); }, nullptr, nullptr});
        kernel::error problem;
        ASSERT_TRUE(kernel::succeeded([&] { return m_server->start(); }, problem))
                << problem.message;
        m_loops.start();
    }

    /// Changes the pool's row of an endpoint, or removes it.
    void change(const std::string &endpoint,
                const std::function<bool(kernel::state::endpoint &)> &keeps)
    {
        std::erase_if(m_pool.endpoints,
                      [&](auto &row) { return row.name == endpoint && !keeps(row); });
        kernel::state::edit_tables edit;
        edit.putPools = {m_pool};
        EXPECT_TRUE(m_control.edit(edit).accepted);
    }

    void drain(const std::string &endpoint)
    {
        change(endpoint, [](kernel::state::endpoint &row) { return row.draining = true; });
    }

    [[nodiscard]] httplib::Result ask()
    {
        httplib::Client caller("127.0.0.1", m_server->port());
        caller.set_read_timeout(20);
        const json body{{"model", "appraisal"}, {"prompt", "lot"}, {"stream", false}};
        return caller.Post("/v1/chat/completions",
                           {{"Authorization", std::string("Bearer ") + callerKey}}, body.dump(),
                           "application/json");
    }

    kernel::state::pool m_pool;
    runtime::settings m_settings;
    runtime::system_clock m_clock;
    sent_hook m_events;
    fakes::control_log m_control;
    net::event_loops m_loops{1};
    std::unique_ptr<caller_server> m_server;
};

void answerWhole(const fakes::received_request &request, httplib::Response &response)
{
    fakes::answerAsEngine(request, response, 3);
}

using change = std::function<bool(kernel::state::endpoint &)>;

/// What becomes of an endpoint, by name.
[[nodiscard]] std::vector<std::pair<std::string, change>> changes()
{
    return {{"draining", [](auto &row) { return row.draining = true; }},
            {"gone", [](auto &) { return false; }},
            {"replaced", [](auto &row) { return (row.startedMs = 77) != 0; }}};
}

class last_look_after : public last_look,
                        public testing::WithParamInterface<std::pair<std::string, change>>
{ };

} // namespace

/// Guards against a request that is sent to an endpoint which drains while its connection is
/// awaited. It has one attempt, which the withheld one does not use up.
TEST_P(last_look_after, aRequestThatWaitsForAConnectionGoesToAnotherEndpoint)
{
    const fakes::endpoint_server first(answerWhole);
    const fakes::endpoint_server second(answerWhole);
    start({first.address(), second.address()});
    std::string chosen;
    m_events.at = 1;
    m_events.onSent = [&](const std::string &endpoint) {
        chosen = endpoint;
        change(endpoint, GetParam().second);
    };
    const auto answer = ask();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200) << answer->body;
    const bool firstChosen = chosen == "e0";
    const bool replaced = GetParam().first == "replaced"; // its successor may be sent to
    EXPECT_EQ((firstChosen ? first : second).received().size() <= (replaced ? 1U : 0U), true);
    EXPECT_EQ(first.received().size() + second.received().size(), 1U);
    EXPECT_EQ(m_events.withheld, 1);
}

INSTANTIATE_TEST_SUITE_P(it_is, last_look_after, testing::ValuesIn(changes()),
                         [](const auto &one) { return one.param.first; });

/// Guards against a request that is sent to an endpoint which says that it leaves while the
/// connection is awaited.
TEST_F(last_look, anEndpointThatSaysItLeavesGetsNothingThatWaitedForAConnection)
{
    const fakes::endpoint_server first(answerWhole);
    const fakes::endpoint_server second(answerWhole);
    start({first.address(), second.address()});
    std::string chosen;
    m_events.at = 1;
    m_events.onSent = [&](const std::string &endpoint) {
        chosen = endpoint;
        static_cast<void>(m_server->pools().applyNotice("engines", endpoint, {true, {}, {}}));
    };
    const auto answer = ask();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200) << answer->body;
    EXPECT_EQ((chosen == "e0" ? first : second).received().size(), 0U);
}

/// Guards against a request that is lost or called run when the only endpoint drains before it was
/// sent.
TEST_F(last_look, aRequestWithoutAnotherEndpointIsRefusedAsNotRun)
{
    const fakes::endpoint_server only(answerWhole);
    start({only.address()});
    m_events.at = 1;
    m_events.onSent = [&](const std::string &endpoint) { drain(endpoint); };
    const auto answer = ask();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 503) << answer->body;
    EXPECT_FALSE(json::parse(answer->body).at("error").at("may_have_run").get<bool>());
    EXPECT_EQ(only.received().size(), 0U);
}

/// Guards against a retry that is sent to an endpoint which drains while its connection is awaited.
TEST_F(last_look, aRetryThatWaitsForAConnectionGoesToAnotherEndpoint)
{
    std::atomic<int> calls{0};
    const auto serve = [&](const fakes::received_request &request, httplib::Response &response) {
        if (calls++ == 0)
            response.status = 500;
        else
            fakes::answerAsEngine(request, response, 3);
    };
    const fakes::endpoint_server first(serve);
    const fakes::endpoint_server second(serve);
    const fakes::endpoint_server third(serve);
    start({first.address(), second.address(), third.address()}, 2);
    std::string drained;
    m_events.at = 2;
    m_events.onSent = [&](const std::string &endpoint) {
        drained = endpoint;
        drain(endpoint);
    };
    const auto answer = ask();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200) << answer->body;
    const std::vector<const fakes::endpoint_server *> engines{&first, &second, &third};
    ASSERT_FALSE(drained.empty());
    EXPECT_EQ(engines.at(static_cast<std::size_t>(drained.back() - '0'))->received().size(), 0U);
}

/// Guards against a request of the queue that is sent to an endpoint which drains between the
/// assignment and a late loop's turn.
TEST_F(last_look, aRequestAssignedWhileTheLoopIsBusyGoesToAnotherEndpoint)
{
    std::promise<void> arrived;
    std::promise<void> release;
    const auto released = release.get_future().share();
    std::atomic<int> calls{0};
    const auto serve = [&](const fakes::received_request &request, httplib::Response &response) {
        if (calls++ == 0) {
            arrived.set_value();
            released.wait();
        }
        fakes::answerAsEngine(request, response, 3);
    };
    const fakes::endpoint_server first(serve);
    const fakes::endpoint_server second(serve);
    start({first.address(), second.address()});
    drain("e1");
    m_server->scheduleFeedUpdate();
    auto running = std::async(std::launch::async, [this] { return ask(); });
    arrived.get_future().wait(); // the only slot of e0 is taken
    auto queued = std::async(std::launch::async, [this] { return ask(); });
    while (m_server->pools().waiting() == 0)
        std::this_thread::sleep_for(kernel::milliseconds(1));
    std::promise<void> busy;
    std::promise<void> end;
    boost::asio::post(m_loops.at(0), [&busy, ended = end.get_future().share()] {
        busy.set_value();
        ended.wait();
    });
    busy.get_future().wait();
    m_pool.endpoints.front().slots = 4; // room: the request that waits is assigned to e0
    kernel::state::table_set roomy;
    roomy.pools["engines"] = m_pool;
    m_server->pools().setTables(roomy, nullptr);
    EXPECT_EQ(m_server->pools().waiting(), 0U);
    m_pool.endpoints.back().draining = false;
    drain("e0");
    end.set_value();
    release.set_value();
    EXPECT_EQ(running.get()->status, 200);
    EXPECT_EQ(queued.get()->status, 200);
    EXPECT_EQ(first.received().size(), 1U);
    EXPECT_EQ(second.received().size(), 1U);
    EXPECT_EQ(m_events.withheld, 1);
}

} // namespace yuccascale::http

#include "fakes/control_log.hpp"
#include "fakes/manual_clock.hpp"
#include "fakes/null_event_sink.hpp"
#include "fakes/raw_peer.hpp"
#include "yuccascale/http/caller_pools.hpp"
#include "yuccascale/http/caller_server.hpp"
#include "yuccascale/kernel/json.hpp"
#include "yuccascale/kernel/requests/key_check.hpp"
#include "yuccascale/net/http_server.hpp"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <future>
#include <memory>
#include <mutex>
#include <thread>

/// \file
/// \brief An entry that is shutting down, from the view of its callers.

namespace yuccascale::http {

namespace {

using kernel::json;
using kernel::milliseconds;

constexpr const char *callerKey = "yk_mehta";
constexpr milliseconds shutdownLimit{8'000};
/// The deadlines of the routes.
constexpr milliseconds longDeadline{20'000};
constexpr milliseconds shortDeadline{2'000};
/// A deadline that passes during a test, since timers do not use the test clock.
constexpr milliseconds briefDeadline{30};

using fakes::null_event_sink;

/// An engine that answers a request when the test releases it.
class held_engine
{
public:
    explicit held_engine(std::size_t answerBytes = 16)
        : m_answerBytes(answerBytes)
    {
        kernel::error problem;
        int port = 0;
        const bool listens = kernel::succeeded(
                [&]() -> kernel::result<void> {
                    BOOST_LEAF_ASSIGN(port, m_server.listen("127.0.0.1:0"));
                    return {};
                },
                problem);
        EXPECT_TRUE(listens) << problem.message;
        m_address = "127.0.0.1:" + std::to_string(port);
        m_loops.start();
    }
    ~held_engine()
    {
        m_server.stop();
        m_loops.stop();
    }
    held_engine(const held_engine &) = delete;
    held_engine &operator=(const held_engine &) = delete;

    [[nodiscard]] const std::string &address() const noexcept { return m_address; }

    /// Answers this and all later requests at once.
    void releaseAll()
    {
        const std::scoped_lock guard(m_mutex);
        m_released = true;
        for (const auto &exchange : m_held)
            boost::asio::post(m_loops.at(0), [this, exchange] { answer(exchange); });
        m_held.clear();
    }

    /// Waits until \a count requests have arrived.
    void waitForArrivals(int count)
    {
        std::unique_lock guard(m_mutex);
        m_arrived.wait(guard, [&] { return m_arrivals >= count; });
    }

    [[nodiscard]] int arrivals() const
    {
        const std::scoped_lock guard(m_mutex);
        return m_arrivals;
    }

private:
    using exchange_pointer = std::shared_ptr<net::http_exchange>;

    void serve(const exchange_pointer &exchange)
    {
        if (exchange->request().path() != "/v1/chat/completions")
            return exchange->reply({200, {}, R"({"incarnation":1,"age_ms":0})"});
        const std::scoped_lock guard(m_mutex);
        ++m_arrivals;
        m_arrived.notify_all();
        if (m_released)
            answer(exchange);
        else
            m_held.push_back(exchange);
    }

    void answer(const exchange_pointer &exchange) const
    {
        const std::string id(exchange->request().header("X-Request-Id"));
        const json whole{
                {"id", id},
                {"choices", {{{"message", {{"content", std::string(m_answerBytes, 'x')}}}}}},
                {"usage", {{"prompt_tokens", 7}, {"completion_tokens", 3}}}};
        exchange->reply(
                {200, {{"X-Request-Id", id}, {"Content-Type", "application/json"}}, whole.dump()});
    }

    const std::size_t m_answerBytes;
    mutable std::mutex m_mutex;
    std::condition_variable m_arrived;
    int m_arrivals = 0;
    bool m_released = false;
    std::vector<exchange_pointer> m_held;
    std::string m_address;
    net::event_loops m_loops{1};
    net::http_server m_server{m_loops, {}, [this](const auto &exchange) { serve(exchange); }};
};

/// One entry before one engine, with a route of long and one of short answers.
class leaving_entry : public testing::Test
{
protected:
    leaving_entry()
    {
        m_clock.advance(kernel::seconds(100));
        m_settings.node = "ahmedabad-1";
        m_settings.zone = "ahmedabad";
        m_settings.roles = {true, true};
        m_settings.callerAddress = "127.0.0.1:0";
        m_settings.policy.routing = "round_robin";
        m_settings.policy.admission = "always";
        m_settings.policy.fairness = "first_come_first_served";
        m_settings.promises.shutdown = shutdownLimit;
        m_settings.http.addressTtl = milliseconds(2'000);
    }
    ~leaving_entry() override
    {
        if (m_server)
            m_server->stop();
        m_loops.stop();
    }

    void start(const held_engine &engine)
    {
        kernel::state::edit_tables edit;
        kernel::state::pool pool;
        pool.name = "engines";
        pool.model = "assistant";
        pool.endpoints.emplace_back();
        pool.endpoints.back().name = "e0";
        pool.endpoints.back().zone = "ahmedabad";
        pool.endpoints.back().address = engine.address();
        pool.endpoints.back().slots = m_slots;
        kernel::state::route appraisal{"appraisal", "engines"};
        appraisal.deadlineMs = longDeadline.count();
        kernel::state::route query{"query", "engines"};
        query.deadlineMs = shortDeadline.count();
        edit.putPools = {pool};
        kernel::state::route brief{"brief", "engines"};
        brief.deadlineMs = briefDeadline.count();
        kernel::state::route filing = appraisal;
        filing.name = "filing";
        filing.idempotent = false;
        filing.claimed = false;
        edit.putRoutes = {appraisal, query, brief, filing};
        edit.putOrganisations = {{"mehta", 1.0}};
        edit.putKeys = {{"k1", "mehta", kernel::requests::digestOf(callerKey)}};
        ASSERT_TRUE(m_control.edit(edit).accepted);
        m_server = std::make_unique<caller_server>(
                caller_server_dependencies{m_settings,
                                           m_clock,
                                           m_events,
                                           m_control,
                                           m_loops,
                                           "0123456789abcdef",
                                           1,
                                           [this] { return otherEntries(); },
                                           nullptr,
                                           nullptr,
                                           {},
                                           nullptr,
                                           [this] { m_asked = true; }});
        kernel::error problem;
        ASSERT_TRUE(kernel::succeeded([&] { return m_server->start(); }, problem))
                << problem.message;
        m_loops.start();
    }

    [[nodiscard]] std::vector<kernel::feed::node_report> otherEntries() const
    {
        if (!m_othersExist)
            return {};
        kernel::feed::node_report other;
        other.node = "surat-1";
        other.callers = "127.0.0.1:9";
        other.zone = "surat";
        return {other};
    }

    [[nodiscard]] static std::string requestText(const std::string &model)
    {
        const std::string body = json{{"model", model}, {"prompt", "a lot"}}.dump();
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                + std::string(callerKey) + "\r\nContent-Length: " + std::to_string(body.size())
                + "\r\n\r\n" + body;
    }

    /// \returns the bytes up to the end of the connection.
    [[nodiscard]] std::string ask(const std::string &model) const
    {
        const fakes::raw_peer caller = fakes::raw_peer::connect(m_server->port());
        caller.send(requestText(model));
        return caller.readUntil("", 5'000);
    }

    /// Lets each loop run whatever is due \a turns times.
    void turnLoops(int turns)
    {
        for (std::size_t index = 0; index < m_loops.size(); ++index) {
            for (int turn = 0; turn < turns; ++turn) {
                std::promise<void> turned;
                boost::asio::post(m_loops.at(index), [&turned] { turned.set_value(); });
                turned.get_future().wait();
            }
        }
    }

    fakes::manual_clock m_clock;
    bool m_othersExist = true;
    int m_slots = kernel::state::endpoint().slots; ///< of the engine
    runtime::settings m_settings;
    null_event_sink m_events;
    fakes::control_log m_control;
    net::event_loops m_loops{2};
    std::atomic<bool> m_asked{false}; ///< for a confirmation of the tables
    std::unique_ptr<caller_server> m_server;
};

[[nodiscard]] std::size_t answersIn(const std::string &received)
{
    std::size_t count = 0;
    for (std::size_t at = received.find("HTTP/1.1 "); at != std::string::npos;
         at = received.find("HTTP/1.1 ", at + 1))
        ++count;
    return count;
}

} // namespace

/// Guards against requests that are taken after SIGTERM and cut by the end of the process.
TEST_F(leaving_entry, refusesAtOnceWhatMayOutlastTheProcess)
{
    held_engine engine;
    engine.releaseAll();
    start(engine);
    m_server->beginShutdown(m_clock.now());
    for (int second = 0; second < 8; ++second) {
        const std::string answer = ask("appraisal");
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << second << " s: " << answer;
        EXPECT_NE(answer.find("\"may_have_run\":false"), std::string::npos) << answer;
        EXPECT_NE(answer.find("127.0.0.1:9"), std::string::npos) << answer;
        m_clock.advance(kernel::seconds(1));
    }
    EXPECT_EQ(engine.arrivals(), 0);
}

/// Guards against streams that are cut because the answers before them were short.
TEST_F(leaving_entry, beginsNothingOnRecentAnswersOnceItsCallersCanKnowThatItLeaves)
{
    constexpr int recentAnswers = 8;
    held_engine engine;
    engine.releaseAll();
    start(engine);
    const fakes::raw_peer earlier = fakes::raw_peer::connect(m_server->port());
    for (int number = 0; number < recentAnswers; ++number) {
        earlier.send(requestText("appraisal"));
        ASSERT_NE(earlier.readUntil("completion_tokens", 5'000), "");
    }
    m_server->beginShutdown(m_clock.now());
    EXPECT_TRUE(ask("appraisal").starts_with("HTTP/1.1 200")) << "an early request is served";
    m_clock.advance(m_settings.http.addressTtl);
    for (int second = 3; second < 8; ++second) {
        m_clock.advance(kernel::seconds(1));
        const std::string answer = ask("appraisal");
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << second << " s: " << answer;
        EXPECT_NE(answer.find("\"may_have_run\":false"), std::string::npos) << answer;
        EXPECT_NE(answer.find("127.0.0.1:9"), std::string::npos) << answer;
    }
    EXPECT_EQ(engine.arrivals(), recentAnswers + 1);
}

/// Guards against requests with an unknown outcome that may not be sent again.
TEST_F(leaving_entry, beginsNothingOnRecentAnswersThatMayNotBeRepeated)
{
    constexpr int recentAnswers = 8;
    held_engine engine;
    engine.releaseAll();
    start(engine);
    const fakes::raw_peer earlier = fakes::raw_peer::connect(m_server->port());
    for (int number = 0; number < recentAnswers; ++number) {
        earlier.send(requestText("filing"));
        ASSERT_NE(earlier.readUntil("completion_tokens", 5'000), "");
    }
    m_server->beginShutdown(m_clock.now());
    const std::string answer = ask("filing");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_NE(answer.find("\"may_have_run\":false"), std::string::npos) << answer;
    EXPECT_NE(answer.find("127.0.0.1:9"), std::string::npos) << answer;
    EXPECT_EQ(engine.arrivals(), recentAnswers);
}

/// Guards against a request that is held until the process ends, and cut.
TEST_F(leaving_entry, answersWhatItHoldsForAConfirmationWhenItCloses)
{
    constexpr milliseconds propagation{2'000};
    m_settings.promises.tablePropagation = propagation;
    held_engine engine;
    start(engine);
    m_control.setConfirmedAt(m_clock.now() - 2 * propagation);
    const fakes::raw_peer caller = fakes::raw_peer::connect(m_server->port());
    caller.send(requestText("a route of a later edit"));
    while (!m_asked)
        std::this_thread::yield();
    m_server->beginShutdown(m_clock.now());
    m_server->closeToCallers();
    const std::string answer = caller.readUntil("may_have_run", 2'000);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_NE(answer.find("\"may_have_run\":false"), std::string::npos) << answer;
}

/// Guards against a request that waited when the signal came and is sent after it.
TEST_F(leaving_entry, refusesAtOnceWhatWaitsInTheQueueAndMayOutlastTheProcess)
{
    m_slots = 1;
    held_engine engine;
    start(engine);
    const fakes::raw_peer running = fakes::raw_peer::connect(m_server->port());
    running.send(requestText("query"));
    engine.waitForArrivals(1);
    const fakes::raw_peer waiting = fakes::raw_peer::connect(m_server->port());
    waiting.send(requestText("filing"));
    while (m_server->pools().waiting() == 0)
        std::this_thread::yield();
    m_server->beginShutdown(m_clock.now());
    const std::string refused = waiting.readUntil("may_have_run", 5'000);
    EXPECT_TRUE(refused.starts_with("HTTP/1.1 503")) << refused;
    EXPECT_NE(refused.find("\"may_have_run\":false"), std::string::npos) << refused;
    engine.releaseAll();
    EXPECT_TRUE(running.readUntil("completion_tokens", 5'000).starts_with("HTTP/1.1 200"));
    EXPECT_EQ(engine.arrivals(), 1);
}

/// Guards against requests that are judged by when they began to arrive.
TEST_F(leaving_entry, refusesARequestThatBeganToArriveBeforeAndIsWholeTooLate)
{
    held_engine engine;
    engine.releaseAll();
    start(engine);
    const fakes::raw_peer caller = fakes::raw_peer::connect(m_server->port());
    const std::string text = requestText("query");
    caller.send(text.substr(0, text.size() / 2));
    m_server->beginShutdown(m_clock.now());
    m_clock.advance(milliseconds(7'000));
    caller.send(text.substr(text.size() / 2));
    const std::string answer = caller.readUntil("", 5'000);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_EQ(engine.arrivals(), 0);
}

/// Guards against a plan that ends after the process, because the signal was handled late.
TEST_F(leaving_entry, countsItsTimeFromWhenItWasToldToShutDown)
{
    constexpr milliseconds handledAfter{1'500};
    held_engine engine;
    engine.releaseAll();
    start(engine);
    const kernel::instant since = m_clock.now();
    m_clock.advance(handledAfter);
    m_server->beginShutdown(since);
    m_clock.advance(milliseconds(4'500));
    EXPECT_TRUE(ask("query").starts_with("HTTP/1.1 503"));
    m_clock.advance(milliseconds(1'500));
    EXPECT_TRUE(m_server->drained());
}

/// Guards against requests that are taken between the last answer and the end of the process.
TEST_F(leaving_entry, refusesEveryRequestOnceItCloses)
{
    held_engine engine;
    engine.releaseAll();
    start(engine);
    const fakes::raw_peer caller = fakes::raw_peer::connect(m_server->port());
    const std::string text = requestText("query");
    caller.send(text.substr(0, text.size() / 2));
    m_server->beginShutdown(m_clock.now());
    ASSERT_TRUE(ask("query").starts_with("HTTP/1.1 200"));
    m_server->closeToCallers();
    caller.send(text.substr(text.size() / 2));
    const std::string answer = caller.readUntil("", 5'000);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_EQ(engine.arrivals(), 1);
}

/// Guards against requests that are turned away although the process outlasts them.
TEST_F(leaving_entry, takesWhatSurelyEndsBeforeTheProcess)
{
    held_engine engine;
    engine.releaseAll();
    start(engine);
    m_server->beginShutdown(m_clock.now());
    for (int second = 0; second < 5; ++second) {
        EXPECT_TRUE(ask("query").starts_with("HTTP/1.1 200")) << second << " s";
        m_clock.advance(kernel::seconds(1));
    }
}

/// Guards against callers that lose the connection in place of an answer when the process ends.
TEST_F(leaving_entry, answersWhatStillRunsBeforeTheProcessIsKilled)
{
    held_engine engine;
    start(engine);
    const fakes::raw_peer caller = fakes::raw_peer::connect(m_server->port());
    caller.send(requestText("appraisal"));
    engine.waitForArrivals(1);
    m_clock.advance(milliseconds(100));
    m_server->beginShutdown(m_clock.now());
    m_clock.advance(shutdownLimit - milliseconds(1));
    const std::string answer = caller.readUntil("may_have_run", 9'000);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 504")) << answer;
    EXPECT_TRUE(m_server->drained());
}

/// Guards against a pipelined request that was received and is dropped with the connection.
TEST_F(leaving_entry, answersAPipelinedRequestThatItReceivedBeforeItCloses)
{
    held_engine engine;
    start(engine);
    const fakes::raw_peer caller = fakes::raw_peer::connect(m_server->port());
    caller.send(requestText("query") + requestText("query"));
    engine.waitForArrivals(1);
    m_server->beginShutdown(m_clock.now());
    engine.releaseAll();
    const std::string received = caller.readUntil("", 5'000);
    EXPECT_EQ(answersIn(received), 2U) << received;
}

/// Guards against an answer of which a part is still unsent when the process ends.
TEST_F(leaving_entry, isNotDrainedWhileAnAnswerIsBeingSent)
{
    // two answers are more than the system buffers
    constexpr std::size_t answerBytes = 3U << 20U;
    constexpr int receiveBytes = 64 << 10;
    held_engine engine(answerBytes);
    engine.releaseAll();
    start(engine);
    const fakes::raw_peer caller = fakes::raw_peer::connect(m_server->port(), receiveBytes);
    caller.send(requestText("query") + requestText("query"));
    engine.waitForArrivals(2);
    while (m_server->metricsText().find("yuccascale_requests_running 0") == std::string::npos)
        std::this_thread::yield();
    m_server->beginShutdown(m_clock.now());
    m_clock.advance(milliseconds(6'600));
    EXPECT_FALSE(m_server->drained());
    std::string received;
    while (received.size() < 2 * answerBytes) {
        const std::string more = caller.readUntil("completion_tokens");
        ASSERT_FALSE(more.empty()) << received.size();
        received += more;
    }
    while (!m_server->drained())
        std::this_thread::yield();
}

/// Guards against a directory that names nobody because all entries are leaving.
TEST_F(leaving_entry, offersItselfWhileThereIsNoOther)
{
    held_engine engine;
    engine.releaseAll();
    start(engine);
    m_othersExist = false;
    m_server->beginShutdown(m_clock.now());
    EXPECT_EQ(m_server->addresses().size(), 1U);
}

/// Guards against answers that are given up for their usage while the process still has time.
TEST_F(leaving_entry, waitsForTheCommitOfUsageUntilItEnds)
{
    held_engine engine;
    engine.releaseAll();
    start(engine);
    std::atomic<bool> logReachable{false};
    std::atomic<int> failedLate{0};
    const kernel::instant leavingAt = m_clock.now();
    m_control.setFaults(
            [&](const kernel::state::command &) -> kernel::result<void> {
                if (logReachable)
                    return {};
                failedLate += m_clock.now() > leavingAt + milliseconds(6'900) ? 1 : 0;
                return kernel::fail(kernel::error_kind::Unavailable, "log", "no leader");
            },
            nullptr);
    const fakes::raw_peer caller = fakes::raw_peer::connect(m_server->port());
    caller.send(requestText("appraisal"));
    engine.waitForArrivals(1);
    m_server->beginShutdown(m_clock.now());
    m_clock.advance(milliseconds(7'000));
    while (failedLate < 2)
        std::this_thread::yield();
    logReachable = true;
    const std::string answer = caller.readUntil("completion_tokens", 5'000);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
}

/// Guards against a loop that does nothing but fire the timer of a request past its deadline.
TEST_F(leaving_entry, doesNotSpinWhileUsageIsCommittedAfterTheDeadline)
{
    held_engine engine;
    engine.releaseAll();
    std::promise<void> submitted;
    std::promise<void> released;
    start(engine);
    m_control.setFaults(
            [&, first = std::make_shared<std::atomic<bool>>(true)](
                    const kernel::state::command &) -> kernel::result<void> {
                if (first->exchange(false)) {
                    submitted.set_value();
                    released.get_future().wait();
                }
                return {};
            },
            nullptr);
    const fakes::raw_peer caller = fakes::raw_peer::connect(m_server->port());
    caller.send(requestText("brief"));
    submitted.get_future().wait();
    m_clock.advance(briefDeadline + milliseconds(1));
    const auto timerFired = std::chrono::steady_clock::now() + 2 * briefDeadline;
    while (std::chrono::steady_clock::now() < timerFired)
        turnLoops(100);
    constexpr int turns = 2'000;
    const std::size_t before = m_clock.reads();
    turnLoops(turns);
    EXPECT_LT(m_clock.reads() - before, turns / 10U);
    released.set_value();
}

} // namespace yuccascale::http

#include "fakes/raw_peer.hpp"
#include "yuccascale/net/http_server.hpp"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <future>
#include <thread>
#include <vector>

namespace yuccascale::net {

namespace {

constexpr std::size_t moreThanIsQueued = 5U << 20U;

/// A server that answers each request with its target and body.
class http_server_test : public testing::Test
{
protected:
    http_server_test()
    {
        kernel::error problem;
        const bool listens = kernel::succeeded(
                [&]() -> kernel::result<void> {
                    BOOST_LEAF_ASSIGN(m_port, m_server.listen("127.0.0.1:0"));
                    return {};
                },
                problem);
        EXPECT_TRUE(listens) << problem.message;
        m_loops.start();
    }
    ~http_server_test() override
    {
        m_server.stop();
        m_loops.stop();
    }

    [[nodiscard]] static http_limits limits()
    {
        http_limits out;
        out.bodyBytes = 1'000;
        out.headerFields = 16;
        return out;
    }

    [[nodiscard]] std::string ask(std::string_view bytes) const
    {
        const fakes::raw_peer caller = fakes::raw_peer::connect(m_port);
        caller.send(bytes);
        return caller.readToEnd(500);
    }

    void serve(const std::shared_ptr<http_exchange> &exchange)
    {
        ++m_served;
        const http_request &request = exchange->request();
        if (request.target == "/check") {
            exchange->onCallerDisconnected([this, exchange] { m_callerLeft.set_value(); });
            m_callerClosed.get_future().wait();
            exchange->checkCaller();
            m_noticed = m_callerLeft.get_future().wait_for(std::chrono::seconds(0))
                    == std::future_status::ready;
            m_checked.set_value();
            return;
        }
        if (request.target == "/wait") {
            exchange->onCallerDisconnected([this, exchange] { m_callerLeft.set_value(); });
            return;
        }
        if (request.target == "/stream") {
            exchange->begin(200, {});
            exchange->send("piece");
            return exchange->finish();
        }
        if (request.target == "/large") {
            return exchange->reply({200, {}, std::string(moreThanIsQueued, 'x')});
        }
        exchange->reply({200, {}, request.target + " " + request.body});
    }

    std::atomic<int> m_served{0};
    std::promise<void> m_callerLeft;
    std::promise<void> m_callerClosed;
    std::promise<void> m_checked;
    bool m_noticed = false;
    int m_port = 0;
    event_loops m_loops{2};
    http_server m_server{m_loops, limits(), [this](const auto &exchange) { serve(exchange); }};
};

/// Keeps a loop busy, and counts how often everything else that was ready has run.
void takeTurns(io_context &loop, std::atomic<int> &turns, const std::atomic<bool> &ended)
{
    if (ended)
        return;
    ++turns;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    boost::asio::post(loop, [&] { takeTurns(loop, turns, ended); });
}

} // namespace

TEST_F(http_server_test, answersPipelinedRequestsInOrder)
{
    const std::string answers = ask("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
                                    "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
                                    "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                                    "Connection: close\r\n\r\n2\r\nyo\r\n0\r\n\r\n");
    const std::size_t first = answers.find("/a ");
    const std::size_t second = answers.find("/b hi");
    const std::size_t third = answers.find("/c yo");
    ASSERT_NE(third, std::string::npos) << answers;
    EXPECT_LT(first, second);
    EXPECT_LT(second, third);
}

/// Guards against a body in an answer to HEAD, which the caller reads as its next answer.
TEST_F(http_server_test, answersHeadWithoutABodyWhateverTheHandlerReplies)
{
    for (const std::string target : {"/short", "/stream", "/large"}) {
        const std::string answers = ask("HEAD " + target
                                        + " HTTP/1.1\r\nHost: h\r\n\r\n"
                                          "GET /next HTTP/1.1\r\nHost: h\r\nConnection: close"
                                          "\r\n\r\n");
        const std::size_t headEnd = answers.find("\r\n\r\n");
        ASSERT_NE(headEnd, std::string::npos) << target;
        EXPECT_TRUE(answers.substr(headEnd + 4).starts_with("HTTP/1.1 200"))
                << answers.substr(0, 300);
        EXPECT_NE(answers.find("/next "), std::string::npos) << target;
    }
    const std::string answer = ask("HEAD /short HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_NE(answer.find("Content-Length: 7"), std::string::npos) << "the length that GET gets";
    const std::string refused = ask("HEAD /short HTTP/1.1\r\nHost: h\r\n\r\nGET /a\r\n\r\n");
    EXPECT_NE(refused.find("invalid_argument"), std::string::npos)
            << "a refusal of the next request has its body";
}

TEST_F(http_server_test, refusesContentLengthWithChunkedEncodingAndClosesTheConnection)
{
    const std::string answer = ask("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n"
                                   "Host: h\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << answer;
    EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos)
            << "the request behind it is not answered";
    EXPECT_EQ(m_served, 0);
}

TEST_F(http_server_test, refusesMalformedRequests)
{
    const std::vector<std::string> bad{
            "GET /a HTTP/1.1\nHost: h\n\n\r\n\r\n",
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
            "GET /a HTTP/1.1\r\nHost: h\r\nHost: other\r\n\r\n",
            "GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    };
    for (const std::string &request : bad)
        EXPECT_TRUE(ask(request).starts_with("HTTP/1.1 400")) << request;
    EXPECT_EQ(m_served, 0);
}

TEST_F(http_server_test, refusesHeadersAndBodiesAboveTheLimits)
{
    std::string many = "GET /a HTTP/1.1\r\nHost: h\r\n";
    for (int number = 0; number < 20; ++number)
        many += "X-" + std::to_string(number) + ": 1\r\n";
    EXPECT_TRUE(ask(many + "\r\n").starts_with("HTTP/1.1 431"));
    const std::string large = "GET /" + std::string(40'000, 'a') + " HTTP/1.1\r\nHost: h\r\n\r\n";
    EXPECT_TRUE(ask(large).starts_with("HTTP/1.1 431"));
    EXPECT_TRUE(ask("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n")
                        .starts_with("HTTP/1.1 413"));
    EXPECT_EQ(m_served, 0);
}

TEST_F(http_server_test, notifiesTheHandlerWhenTheCallerDisconnects)
{
    fakes::raw_peer caller = fakes::raw_peer::connect(m_port);
    caller.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
    while (m_served == 0)
        std::this_thread::yield();
    caller.close();
    EXPECT_EQ(m_callerLeft.get_future().wait_for(std::chrono::seconds(5)),
              std::future_status::ready);
}

TEST_F(http_server_test, noticesACloseBehindAPipelinedRequestBeforeTheLoopReadsIt)
{
    fakes::raw_peer caller = fakes::raw_peer::connect(m_port);
    caller.send("GET /check HTTP/1.1\r\nHost: h\r\n\r\n");
    while (m_served == 0)
        std::this_thread::yield();
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    caller.close();
    m_callerClosed.set_value();
    m_checked.get_future().wait();
    EXPECT_TRUE(m_noticed);
    EXPECT_EQ(m_served, 1);
}

/// Guards against connections that are counted off twice, after which every new one is refused.
TEST_F(http_server_test, servesOthersAfterAnswersThatAreTooLongToQueue)
{
    std::string requests;
    for (int number = 0; number < 4; ++number)
        requests += "GET /large HTTP/1.1\r\nHost: h\r\n\r\n";
    for (int time = 0; time < 3; ++time)
        static_cast<void>(ask(requests));
    const std::string answer = ask("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
    EXPECT_LE(m_server.connections(), 1U);
}

/// Guards against a whole answer that is dropped because of its length.
TEST_F(http_server_test, sendsAnswersThatAreLongerThanWhatIsQueuedForASlowCaller)
{
    const std::string answer = ask("GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    EXPECT_GT(answer.size(), moreThanIsQueued);
}

/// Guards against a planned close that a caller puts off by sending request after request.
TEST_F(http_server_test, closesAConnectionThatPipelinesWithoutEnd)
{
    constexpr int batch = 100;
    constexpr std::size_t muchReceived = 20U << 20U;
    std::string requests;
    for (int number = 0; number < batch; ++number)
        requests += "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    const fakes::raw_peer caller = fakes::raw_peer::connect(m_port);
    std::atomic<bool> ended{false};
    std::thread flood([&] {
        while (!ended)
            caller.send(requests);
    });
    std::size_t received = caller.readUntil("/a ").size();
    m_server.closeAfterAnswers();
    std::string last;
    while (received < muchReceived && last.find("Connection: close") == std::string::npos) {
        last = caller.readUntil("/a ");
        received += last.size();
    }
    EXPECT_LT(received, muchReceived);
    ended = true;
    m_server.stop();
    flood.join();
}

/// Guards against more connections than the limit, and against connections that are closed without
/// being told why while the part of the limit that is kept for refusals has room.
TEST_F(http_server_test, keepsAPartOfTheConnectionsForRefusals)
{
    constexpr std::size_t most = 14;
    http_limits few = limits();
    few.connections = most + 2;
    m_server.setLimits(few);
    std::vector<fakes::raw_peer> callers;
    for (std::size_t number = 0; number < most; ++number) {
        callers.push_back(fakes::raw_peer::connect(m_port));
        callers.back().send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        EXPECT_NE(callers.back().readUntil("/a ").find(" 200 "), std::string::npos) << number;
    }
    for (int number = 0; number < 2; ++number) {
        callers.push_back(fakes::raw_peer::connect(m_port));
        const std::string refusal = callers.back().readUntil("may_have_run");
        EXPECT_NE(refusal.find(" 503 "), std::string::npos) << refusal;
        EXPECT_NE(refusal.find("Retry-After: "), std::string::npos) << refusal;
    }
    EXPECT_EQ(fakes::raw_peer::connect(m_port).readToEnd(500), "");
}

TEST_F(http_server_test, acceptsManyConnectionsAtOnce)
{
    constexpr std::size_t callers = 300;
    std::vector<fakes::raw_peer> connections;
    connections.reserve(callers);
    for (std::size_t number = 0; number < callers; ++number)
        connections.push_back(fakes::raw_peer::connect(m_port));
    for (const fakes::raw_peer &caller : connections)
        caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    for (const fakes::raw_peer &caller : connections)
        EXPECT_NE(caller.readUntil("/a ", 5'000).find("/a "), std::string::npos);
}

/// Guards against callers that wait for as many turns of a busy loop as there are connections
/// before theirs.
TEST_F(http_server_test, acceptsWaitingConnectionsTogetherOnABusyLoop)
{
    constexpr std::size_t callerCount = 60;
    constexpr int mostTurns = 20; // of each loop
    std::promise<void> connected;
    const std::shared_future<void> begin = connected.get_future().share();
    std::array<std::atomic<int>, 2> turns{};
    std::atomic<bool> ended{false};
    for (std::size_t index = 0; index < turns.size(); ++index)
        boost::asio::post(m_loops.at(index), [&, index] {
            begin.wait();
            takeTurns(m_loops.at(index), turns.at(index), ended);
        });
    std::vector<fakes::raw_peer> callers;
    for (std::size_t number = 0; number < callerCount; ++number) {
        callers.push_back(fakes::raw_peer::connect(m_port));
        callers.back().send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    connected.set_value();
    for (const fakes::raw_peer &caller : callers)
        EXPECT_NE(caller.readUntil("/a").find("200"), std::string::npos);
    const int used = std::max(turns[0], turns[1]);
    ended = true;
    EXPECT_LT(used, mostTurns);
    m_server.stop();
    m_loops.stop();
}

} // namespace yuccascale::net

#include "fakes/raw_peer.hpp"
#include "yuccascale/net/http_server.hpp"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

namespace yuccascale::net {

namespace {

constexpr std::size_t limit = 1'000'000;
constexpr int patienceMs = 5'000;
constexpr std::size_t largeHeadBytes = 400'000;

/// A server with a small budget; keeps the requests to "/keep" running.
class http_server_memory : public testing::Test
{
protected:
    http_server_memory()
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
    ~http_server_memory() override
    {
        m_server.stop();
        m_loops.stop();
    }

    void serve(const std::shared_ptr<http_exchange> &exchange)
    {
        ++m_served;
        if (exchange->request().target == "/keep") {
            const std::scoped_lock guard(m_mutex);
            m_kept.push_back(exchange);
            return;
        }
        exchange->reply({200, {}, "length " + std::to_string(exchange->request().body.size())});
    }

    void allowLargeHeads()
    {
        http_limits limits;
        limits.headerBytes = largeHeadBytes;
        m_server.setLimits(limits);
    }

    [[nodiscard]] fakes::raw_peer send(const std::string &target, std::size_t length,
                                       std::size_t sent) const
    {
        fakes::raw_peer caller = fakes::raw_peer::connect(m_port);
        caller.send("POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: "
                    + std::to_string(length) + "\r\n\r\n" + std::string(sent, 'x'));
        return caller;
    }

    [[nodiscard]] fakes::raw_peer sendNamed(const std::string &id, std::size_t length,
                                            std::size_t sent) const
    {
        fakes::raw_peer caller = fakes::raw_peer::connect(m_port);
        caller.send("POST /keep HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nContent-Length: "
                    + std::to_string(length) + "\r\n\r\n" + std::string(sent, 'x'));
        return caller;
    }

    std::atomic<int> m_served{0};
    std::mutex m_mutex;
    std::vector<std::shared_ptr<http_exchange>> m_kept;
    event_loops m_loops{1};
    std::shared_ptr<memory_budget> m_budget = std::make_shared<memory_budget>(limit);
    http_server m_server{
            m_loops,
            {},
            [this](const std::shared_ptr<http_exchange> &exchange) { serve(exchange); },
            m_budget};
    int m_port = 0;
};

} // namespace

/// Guards against a refusal without its promise: the request has not run, and when to return.
TEST_F(http_server_memory, refusesTheBodyThatStoppedAndServesTheOthers)
{
    const fakes::raw_peer stopped = send("/a", 800'000, 700'000);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const fakes::raw_peer second = send("/b", 800'000, 700'000);
    const std::string refusal = stopped.readToEnd(patienceMs);
    EXPECT_NE(refusal.find("503"), std::string::npos) << refusal;
    EXPECT_NE(refusal.find("Retry-After: "), std::string::npos) << refusal;
    EXPECT_NE(refusal.find("\"may_have_run\":false"), std::string::npos) << refusal;
    EXPECT_EQ(m_served, 0);
    const fakes::raw_peer ordinary = send("/c", 10, 10);
    EXPECT_NE(ordinary.readUntil("length 10", patienceMs).find("length 10"), std::string::npos);
}

/// Guards against a refusal that does not name its request, as the other refusals do.
TEST_F(http_server_memory, namesTheRequestsThatItRefuses)
{
    const fakes::raw_peer running = sendNamed("running", 450'000, 450'000);
    for (int wait = 0; wait < patienceMs && m_served == 0; ++wait)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    const fakes::raw_peer unfinished = sendNamed("unfinished", 800'000, 200'000);
    const std::string first = unfinished.readToEnd(patienceMs);
    EXPECT_NE(first.find("X-Request-Id: unfinished\r\n"), std::string::npos) << first;
    // its text fits beside the running one, but not twice
    const fakes::raw_peer whole = sendNamed("whole", 70'000, 70'000);
    const std::string second = whole.readToEnd(patienceMs);
    EXPECT_NE(second.find("X-Request-Id: whole\r\n"), std::string::npos) << second;
}

/// Guards against a budget that refuses a request which is larger than itself, in calm.
TEST_F(http_server_memory, servesASingleRequestThatIsLargerThanTheBudget)
{
    const fakes::raw_peer caller = send("/large", 8'000'000, 8'000'000);
    EXPECT_NE(caller.readUntil("length 8000000", patienceMs).find("length 8000000"),
              std::string::npos);
}

/// Guards against requests that run on, though their callers left, without being counted.
TEST_F(http_server_memory, countsRequestsUntilTheyHaveEnded)
{
    {
        const fakes::raw_peer left = send("/keep", 400'000, 400'000);
        for (int wait = 0; wait < patienceMs && m_served == 0; ++wait)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    EXPECT_GE(m_budget->held(), 800'000U);
    const fakes::raw_peer refused = send("/b", 400'000, 400'000);
    EXPECT_NE(refused.readToEnd(patienceMs).find("503"), std::string::npos);
    {
        const std::scoped_lock guard(m_mutex);
        m_kept.clear();
    }
    const fakes::raw_peer served = send("/c", 400'000, 400'000);
    EXPECT_NE(served.readUntil("length 400000", patienceMs).find("length"), std::string::npos);
}

/// Guards against closing the caller that waits for the long answer of a slow endpoint in place of
/// one that holds less and does not progress.
TEST_F(http_server_memory, countsAnAnswerThatGrowsAsProgress)
{
    constexpr std::size_t answerBytes = 520'000;
    constexpr int pieces = 15;
    const fakes::raw_peer waiting = send("/keep", 10, 10);
    for (int wait = 0; wait < patienceMs && m_served == 0; ++wait)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    ASSERT_EQ(m_served, 1);
    const std::shared_ptr<http_exchange> exchange = m_kept.front();
    const fakes::raw_peer stopped = send("/a", 800'000, 400'000);
    for (int piece = 1; piece <= pieces; ++piece) {
        std::this_thread::sleep_for(std::chrono::milliseconds(40));
        std::promise<void> held;
        boost::asio::post(exchange->loop(), [&] {
            exchange->holdAnswer(answerBytes * static_cast<std::size_t>(piece) / pieces);
            held.set_value();
        });
        held.get_future().wait();
    }
    const fakes::raw_peer next = send("/b", 300'000, 200'000);
    EXPECT_NE(stopped.readToEnd(patienceMs).find("503"), std::string::npos);
    boost::asio::post(exchange->loop(), [&] { exchange->reply({200, {}, "whole"}); });
    EXPECT_NE(waiting.readUntil("whole", patienceMs).find("whole"), std::string::npos);
}

/// Guards against a buffer that stays full while the connection lingers, so that nothing more is
/// read and the close resets it, which may overtake the answer.
TEST_F(http_server_memory, discardsWhatFollowsTheLastRequest)
{
    const fakes::raw_peer caller = fakes::raw_peer::connect(m_port);
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                + std::string(60'000, 'x'));
    EXPECT_NE(caller.readUntil("length 0", patienceMs).find("length 0"), std::string::npos);
    std::this_thread::sleep_for(std::chrono::milliseconds(200)); // it lingers for longer
    EXPECT_EQ(m_server.connections(), 1U);
    EXPECT_EQ(m_budget->held(), 0U);
}

/// Guards against a head that is not read on when it is larger than what is read ahead, and ends
/// with 408 though the limits allow it.
TEST_F(http_server_memory, readsAHeadThatIsLargerThanTheReadAhead)
{
    allowLargeHeads();
    std::string fields;
    for (int number = 0; number < 40; ++number)
        fields += "X-Field: " + std::string(5'000, 'x') + "\r\n";
    const fakes::raw_peer caller = fakes::raw_peer::connect(m_port);
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n");
    EXPECT_NE(caller.readUntil("length 0", patienceMs).find("length 0"), std::string::npos);
}

/// Guards against what is derived from a request, or copied for its answer, and not counted.
TEST_F(http_server_memory, countsWhatIsHeldForARequest)
{
    const fakes::raw_peer caller = send("/keep", 10, 10);
    for (int wait = 0; wait < patienceMs && m_served == 0; ++wait)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    ASSERT_EQ(m_served, 1);
    const std::size_t before = m_budget->held();
    std::promise<void> held;
    boost::asio::post(m_kept.front()->loop(), [&] {
        EXPECT_TRUE(m_kept.front()->holdRequest(600'000));
        EXPECT_EQ(m_budget->held(), before + 600'000);
        held.set_value();
    });
    held.get_future().wait();
    const fakes::raw_peer refused = send("/b", 300'000, 300'000);
    EXPECT_NE(refused.readToEnd(patienceMs).find("503"), std::string::npos);
    m_kept.clear();
    const fakes::raw_peer served = send("/c", 300'000, 300'000);
    EXPECT_NE(served.readUntil("length 300000", patienceMs).find("length"), std::string::npos);
}

/// Guards against heads of unfinished bodies that are held uncounted.
TEST_F(http_server_memory, countsTheHeadOfAnUnfinishedBody)
{
    const std::string field = "X-Field: " + std::string(9'000, 'x') + "\r\n";
    const fakes::raw_peer caller = fakes::raw_peer::connect(m_port);
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\n" + field + "Content-Length: 100\r\n\r\nx");
    for (int wait = 0; wait < patienceMs && m_budget->held() < field.size(); ++wait)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    EXPECT_GE(m_budget->held(), field.size());
}

/// Guards against an exception of the HTTP library, which bounds a field at 64 KB.
TEST_F(http_server_memory, refusesAFieldThatTheLibraryCannotHold)
{
    allowLargeHeads();
    const fakes::raw_peer caller = fakes::raw_peer::connect(m_port);
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\nX-Field: " + std::string(70'000, 'x') + "\r\n\r\n");
    EXPECT_NE(caller.readToEnd(patienceMs).find(" 431 "), std::string::npos);
    EXPECT_EQ(m_served, 0);
}

/// Guards against a chunk header that is kept, and parsed again, without end.
TEST_F(http_server_memory, refusesAnEndlessChunkExtension)
{
    const fakes::raw_peer caller = fakes::raw_peer::connect(m_port);
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;name="
                + std::string(40'000, 'x'));
    EXPECT_NE(caller.readToEnd(patienceMs).find(" 400 "), std::string::npos);
    EXPECT_EQ(m_served, 0);
}

/// Guards against chunks of a byte that are joined wrongly when they arrive in any pieces.
TEST_F(http_server_memory, joinsVerySmallChunks)
{
    std::string body;
    for (int number = 0; number < 20'000; ++number)
        body += "1\r\nx\r\n";
    const fakes::raw_peer caller = fakes::raw_peer::connect(m_port);
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body
                + "0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string answers = caller.readUntil("length 0", patienceMs);
    EXPECT_NE(answers.find("length 20000"), std::string::npos) << answers;
    EXPECT_NE(answers.find("length 0"), std::string::npos) << answers;
}

} // namespace yuccascale::net

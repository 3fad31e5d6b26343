#include "fakes/manual_clock.hpp"
#include "fakes/null_event_sink.hpp"
#include "fakes/raw_peer.hpp"
#include "yuccascale/http/document_interface.hpp"
#include "yuccascale/net/http_server.hpp"

#include <gtest/gtest.h>

#include <future>
#include <limits>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// \file
/// \brief The operator's document interface, over connections.

namespace yuccascale::http {

namespace {

using kernel::instant;

using fakes::null_event_sink;

/// A control node whose log commits nothing, unless a test says so.
class document_interface_test : public testing::Test
{
protected:
    document_interface_test()
    {
        m_clock.advance(kernel::seconds(100));
        document_services services{
                m_clock,
                m_events,
                [this](const kernel::state::command &command, instant deadline) {
                    const std::scoped_lock guard(m_mutex);
                    m_commitDeadline = deadline;
                    m_committed.push_back(std::get<kernel::state::put_document>(command.body));
                    return committed();
                },
                [this](std::uint64_t, std::uint64_t, instant, std::function<void(bool)> answer) {
                    const std::scoped_lock guard(m_mutex);
                    m_unsettled.push_back(std::move(answer));
                },
                [this](instant deadline) {
                    m_readDeadline = deadline;
                    return unavailable<std::shared_ptr<const std::string>>();
                },
                [] { return std::string(); },
                [this] {
                    const std::scoped_lock guard(m_mutex);
                    return m_stored;
                }};
        m_interface = std::make_unique<document_interface>(
                std::move(services), operator_protocol_registry::make("platform").value());
        m_port = m_server.listen("127.0.0.1:0").value();
        m_loops.start();
    }
    ~document_interface_test() override
    {
        m_server.stop();
        m_interface.reset();
        m_loops.stop();
    }

    template<typename Value>
    [[nodiscard]] static kernel::result<Value> unavailable()
    {
        return kernel::fail(kernel::error_kind::Unavailable, "log", "no leader");
    }

    [[nodiscard]] kernel::result<kernel::state::command_result> committed() const
    {
        if (!m_commits)
            return unavailable<kernel::state::command_result>();
        kernel::state::command_result result;
        result.accepted = true;
        result.revision = 7;
        result.detail = {{"changed", m_changes}};
        return result;
    }

    [[nodiscard]] std::size_t unsettled()
    {
        const std::scoped_lock guard(m_mutex);
        return m_unsettled.size();
    }

    /// Says of all committed documents whether they are settled.
    void settle(bool settled)
    {
        const std::scoped_lock guard(m_mutex);
        for (const auto &answer : m_unsettled)
            answer(settled);
        m_unsettled.clear();
    }

    /// \returns the answer to a request, with its head.
    [[nodiscard]] std::string ask(const std::string &requestLine,
                                  const std::string &body = {}) const
    {
        const fakes::raw_peer caller = fakes::raw_peer::connect(m_port);
        caller.send(requestLine + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
                    + std::to_string(body.size()) + "\r\n\r\n" + body);
        return caller.readUntil("", 5'000);
    }

    fakes::manual_clock m_clock;
    null_event_sink m_events;
    bool m_commits = false;
    bool m_changes = true; ///< whether a committed document replaces the stored one
    stored_document m_stored;
    std::vector<kernel::state::put_document> m_committed;
    std::mutex m_mutex;
    std::vector<std::function<void(bool)>> m_unsettled;
    std::optional<instant> m_commitDeadline;
    std::optional<instant> m_readDeadline;
    net::event_loops m_loops{1};
    std::unique_ptr<document_interface> m_interface;
    net::http_server m_server{
            m_loops, {}, [this](const auto &exchange) { m_interface->serve(exchange); }};
    int m_port = 0;
};

} // namespace

/// Guards against an operator's call that loses its connection when the control node ends.
TEST_F(document_interface_test, answersACallBeforeTheProcessEnds)
{
    const instant end = m_clock.now() + kernel::milliseconds(200);
    m_interface->answerBefore(end);
    const std::string document = R"({"version":1,"routes":[],"services":[],"limits":{}})";
    EXPECT_TRUE(ask("PUT /config", document).starts_with("HTTP/1.1 503"));
    EXPECT_TRUE(ask("GET /config").starts_with("HTTP/1.1 503"));
    EXPECT_EQ(m_commitDeadline, end);
    EXPECT_EQ(m_readDeadline, end);
}

/// Guards against a control process that ends at a request with bytes that are no text.
TEST_F(document_interface_test, answersRequestsWithBytesThatAreNoText)
{
    EXPECT_TRUE(ask("GET /conf\xffig").starts_with("HTTP/1.1 404"));
    EXPECT_TRUE(ask("G\xe9T /config").starts_with("HTTP/1.1 4"));
    EXPECT_TRUE(ask("PUT /config", "{\"version\":\"\xff\"}").starts_with("HTTP/1.1 400"));
    const std::string badName
            = "{\"version\":1,\"services\":[],\"routes\":[{\"name\":\"\\ud800\"}]}";
    EXPECT_TRUE(ask("PUT /config", badName).starts_with("HTTP/1.1 400"));
    const std::string deep = "{\"version\":" + std::string(100'000, '[');
    EXPECT_TRUE(ask("PUT /config", deep).starts_with("HTTP/1.1 400"));
    EXPECT_TRUE(ask("GET /config").starts_with("HTTP/1.1 503")) << "it still answers";
}

/// Guards against orders that block all workers while an entry is cut off, so that no other call is
/// answered.
TEST_F(document_interface_test, answersOtherCallsWhileDocumentsWaitToBeInForce)
{
    constexpr std::size_t orders = 24;
    m_commits = true;
    const std::string document = R"({"version":1,"routes":[],"services":[],"limits":{}})";
    std::vector<std::future<std::string>> answers;
    for (std::size_t number = 0; number < orders; ++number)
        answers.push_back(
                std::async(std::launch::async, [&] { return ask("PUT /config", document); }));
    while (unsettled() < orders)
        std::this_thread::yield();
    EXPECT_TRUE(ask("GET /config").starts_with("HTTP/1.1 503"));
    settle(true);
    for (std::future<std::string> &answer : answers)
        EXPECT_TRUE(answer.get().starts_with("HTTP/1.1 200"));
}

TEST_F(document_interface_test, aDocumentThatIsNotInForceAtTheEndIsNotAcknowledged)
{
    m_commits = true;
    const std::string document = R"({"version":1,"routes":[],"services":[],"limits":{}})";
    auto answer = std::async(std::launch::async, [&] { return ask("PUT /config", document); });
    while (unsettled() == 0)
        std::this_thread::yield();
    settle(false);
    EXPECT_TRUE(answer.get().starts_with("HTTP/1.1 503"));
}

/// Guards against an acknowledgement of a first document of version 0 that no node has stored,
/// since it rests on a leader of a former build.
TEST_F(document_interface_test, aFirstDocumentOfVersionZeroThatChangesNothingIsNotAcknowledged)
{
    m_commits = true;
    m_changes = false;
    const std::string document = R"({"version":0,"routes":[],"services":[],"limits":{}})";
    EXPECT_TRUE(ask("PUT /config", document).starts_with("HTTP/1.1 503"));
    ASSERT_EQ(m_committed.size(), 1U);
    EXPECT_EQ(m_committed.front().replacesRevision, std::vector<std::uint64_t>{0});
}

/// Guards against a fleet whose documents all hide behind one that a former build stored under the
/// number that it made of a negative version.
TEST_F(document_interface_test, aDocumentReplacesOneThatIsStoredUnderAVersionThatItDoesNotName)
{
    m_commits = true;
    constexpr std::uint64_t greatest = std::numeric_limits<std::uint64_t>::max();
    const auto put = [&](const std::string &stored) {
        m_stored = {5, greatest, std::make_shared<std::string>(stored)};
        m_committed.clear();
        auto answer = std::async(std::launch::async, [&] {
            return ask("PUT /config", R"({"version":8,"routes":[],"services":[]})");
        });
        while (unsettled() == 0)
            std::this_thread::yield();
        settle(true);
        EXPECT_TRUE(answer.get().starts_with("HTTP/1.1 200"));
        return m_committed.front().replacesRevision;
    };
    EXPECT_EQ(put(R"({"version":-1,"routes":[],"services":[]})"), std::vector<std::uint64_t>{5});
    EXPECT_TRUE(put(R"({"version":18446744073709551615,"routes":[],"services":[]})").empty());
}

/// Guards against a document of version 0 that replaces a stored one, or is refused beside it.
TEST_F(document_interface_test, aDocumentOfVersionZeroChangesNothingOnceOneIsStored)
{
    m_commits = true;
    m_changes = false;
    const std::string document = R"({"version":0,"routes":[],"services":[],"limits":{}})";
    m_stored = {1, 0, std::make_shared<std::string>(document)};
    auto answer = std::async(std::launch::async, [&] { return ask("PUT /config", document); });
    while (unsettled() == 0)
        std::this_thread::yield();
    settle(true);
    EXPECT_TRUE(answer.get().starts_with("HTTP/1.1 200"));
    EXPECT_TRUE(m_committed.front().replacesRevision.empty());
}

} // namespace yuccascale::http

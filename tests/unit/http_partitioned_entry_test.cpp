#include "fakes/partitioned_entries.hpp"
#include "fakes/raw_peer.hpp"
#include "yuccascale/wire/socket.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <numeric>
#include <set>

/// \file
/// \brief Guards against entries that lost their paths to all endpoints and fail what the other
/// entries could have served.

namespace yuccascale::http {

namespace {

using fakes::partitioned_entries;
using fakes::path_state;
using fakes::recording_server;

/// Within it an entry has noticed that it reaches no endpoint.
constexpr kernel::milliseconds noticeTime{3'000};
constexpr int measuredRequests = 6; ///< of each kind, for each entry
/// An entry that knows that it cannot help answers within this.
constexpr kernel::milliseconds promptAnswer{300};

/// Four endpoints in two zones.
class partitioned_entry : public testing::TestWithParam<path_state>
{
protected:
    void start(std::size_t entryCount)
    {
        std::vector<recording_server *> servers;
        servers.reserve(m_servers.size());
        for (recording_server &server : m_servers)
            servers.push_back(&server);
        m_entries = std::make_unique<partitioned_entries>(entryCount, servers);
        m_entryCount = entryCount;
    }

    void cut(const std::set<std::size_t> &entries, path_state state)
    {
        for (const std::size_t entry : entries)
            m_entries->setPaths(entry, state);
        const std::vector<std::size_t> asked(entries.begin(), entries.end());
        m_entries->askFor(asked, noticeTime);
    }

    void expectServedAsOftenAsTheOthers(const std::set<std::size_t> &cutEntries)
    {
        double servedAtCut = 0;
        double servedAtOthers = 0;
        for (std::size_t entry = 0; entry < m_entryCount; ++entry) {
            const int served = m_entries->served(entry, measuredRequests);
            (cutEntries.contains(entry) ? servedAtCut : servedAtOthers) += served;
        }
        const auto cutCount = static_cast<double>(cutEntries.size());
        const double othersCount = static_cast<double>(m_entryCount) - cutCount;
        EXPECT_GE(servedAtCut / cutCount, servedAtOthers / othersCount * 2 / 3);
        EXPECT_GE(servedAtOthers, othersCount * 2 * measuredRequests * 9 / 10);
    }

    void expectNoRequestRanTwiceOrAfterARefusal() const
    {
        std::map<std::string, int> runs;
        for (const recording_server &server : m_servers) {
            for (const auto &[id, count] : server.runs())
                runs[id] += count;
        }
        for (const fakes::caller_result &result : m_entries->results()) {
            EXPECT_LE(runs[result.id], 1) << result.id;
            if (result.status == 503) {
                EXPECT_EQ(runs[result.id], 0) << result.id;
            }
        }
    }

    [[nodiscard]] std::size_t runsOfAll() const
    {
        std::size_t sum = 0;
        for (const recording_server &server : m_servers)
            sum += server.runs().size();
        return sum;
    }

    std::array<recording_server, 4> m_servers;
    std::unique_ptr<partitioned_entries> m_entries;
    std::size_t m_entryCount = 0;
};

constexpr const char *streamBody = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

/// Two entries before one endpoint, which the first does not reach.
class passed_on_request : public testing::Test
{
protected:
    void start()
    {
        std::array<recording_server *, 1> servers{&m_server};
        m_entries = std::make_unique<partitioned_entries>(2, servers);
        m_entries->setPaths(0, path_state::Reset);
        const std::vector<std::size_t> asked{0};
        m_entries->askFor(asked, noticeTime);
    }

    void answer(const std::shared_ptr<net::http_exchange> &exchange)
    {
        const net::header_list headers = recording_server::answerHeaders(*exchange);
        if (m_held) {
            exchange->onCallerDisconnected([this] { m_heldLeft.set_value(); });
            return m_heldArrived.set_value();
        }
        if (!exchange->request().path().starts_with("/stream/"))
            return exchange->reply({m_status, headers, m_status == 200 ? "x" : "failed"});
        exchange->begin(200, headers);
        exchange->send(streamBody);
        exchange->finish();
    }

    std::atomic<int> m_status{200};
    std::atomic<bool> m_held{false}; ///< the next request is not answered
    std::promise<void> m_heldArrived;
    std::promise<void> m_heldLeft;
    recording_server m_server{[this](const auto &exchange) { answer(exchange); }};
    std::unique_ptr<partitioned_entries> m_entries;
};

[[nodiscard]] std::string stateName(const testing::TestParamInfo<path_state> &state)
{
    switch (state.param) {
    case path_state::Open:
        return "open";
    case path_state::Refusing:
        return "newConnectionsRefused";
    case path_state::Reset:
        return "connectionsReset";
    case path_state::Silent:
        return "connectionsSilent";
    }
    return {};
}

} // namespace

INSTANTIATE_TEST_SUITE_P(every, partitioned_entry,
                         testing::Values(path_state::Refusing, path_state::Reset,
                                         path_state::Silent),
                         stateName);

/// Entries whose open connections have ended, too: those that live on serve requests that come one
/// after the other.
class severed_entry : public partitioned_entry
{ };

INSTANTIATE_TEST_SUITE_P(every, severed_entry,
                         testing::Values(path_state::Reset, path_state::Silent), stateName);

TEST_P(partitioned_entry, oneEntryThatReachesNoEndpointServesFirstAttemptsLikeTheOthers)
{
    start(4);
    cut({0}, GetParam());
    expectServedAsOftenAsTheOthers({0});
    expectNoRequestRanTwiceOrAfterARefusal();
}

TEST_P(partitioned_entry, mostEntriesThatReachNoEndpointServeFirstAttemptsLikeTheOther)
{
    start(4);
    cut({0, 1, 2}, GetParam());
    expectServedAsOftenAsTheOthers({0, 1, 2});
    expectNoRequestRanTwiceOrAfterARefusal();
}

TEST_P(severed_entry, entriesRefuseAtOnceAndRunNothingWhenNoneReachesAnEndpoint)
{
    start(3);
    cut({0, 1, 2}, GetParam());
    const std::size_t before = runsOfAll();
    for (std::size_t entry = 0; entry < 3; ++entry) {
        const fakes::caller_result result = m_entries->ask(entry, false);
        EXPECT_EQ(result.status, 503);
        EXPECT_LT(result.took, promptAnswer);
        EXPECT_NE(result.body.find("\"may_have_run\":false"), std::string::npos) << result.body;
    }
    EXPECT_EQ(runsOfAll(), before);
    expectNoRequestRanTwiceOrAfterARefusal();
}

TEST_P(partitioned_entry, anEntryServesOnItsOwnAgainAfterItsPathsHealed)
{
    start(3);
    cut({0}, GetParam());
    m_entries->setPaths(0, path_state::Open);
    const std::vector<std::size_t> asked{0};
    m_entries->askFor(asked, noticeTime);
    for (const std::size_t other : {1U, 2U})
        m_entries->setPaths(other, path_state::Reset);
    EXPECT_GE(m_entries->served(0, measuredRequests), 2 * measuredRequests * 9 / 10);
    expectNoRequestRanTwiceOrAfterARefusal();
}

TEST_P(severed_entry, theDirectoryOffersTheOthersButNeverNobody)
{
    start(3);
    cut({0}, GetParam());
    const std::string &cutAddress = m_entries->callerAddress(0);
    for (std::size_t entry = 0; entry < 3; ++entry) {
        const std::vector<std::string> offered = m_entries->offered(entry);
        EXPECT_EQ(std::ranges::count(offered, cutAddress), 0) << entry;
        EXPECT_EQ(offered.size(), 2U) << entry;
    }
    cut({1, 2}, GetParam());
    for (std::size_t entry = 0; entry < 3; ++entry)
        EXPECT_EQ(m_entries->offered(entry).size(), 3U) << entry;
}

TEST_F(passed_on_request, arrivesAtOneEndpointWithItsIdItsTimeLeftAndNoCredentials)
{
    start();
    const std::size_t before = m_server.received().size();
    const fakes::caller_result result
            = m_entries->send(0, "/safe/x", {{"Authorization", "Bearer yk"}, {"X-Own", "kept"}});
    EXPECT_EQ(result.status, 200);
    const auto received = m_server.received();
    ASSERT_EQ(received.size(), before + 1);
    const net::header_list &headers = received.back();
    EXPECT_EQ(*findHeader(headers, "X-Request-Id"), result.id);
    EXPECT_EQ(*findHeader(headers, "X-Own"), "kept");
    EXPECT_EQ(findHeader(headers, "Authorization"), nullptr);
    EXPECT_EQ(findHeader(headers, "Yuccascale-Relay"), nullptr);
    EXPECT_LE(std::stoi(*findHeader(headers, "X-Request-Deadline")),
              partitioned_entries::callerDeadline.count());
}

TEST_F(passed_on_request, aStreamArrivesWholeAndFromOneRun)
{
    start();
    const std::size_t before = m_server.received().size();
    const fakes::caller_result result = m_entries->askStream(0);
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(result.body, streamBody);
    EXPECT_EQ(m_server.received().size(), before + 1);
}

TEST_F(passed_on_request, anErrorOfTheEndpointIsPassedThrough)
{
    start();
    m_status = 500;
    const fakes::caller_result result = m_entries->ask(0, false);
    EXPECT_EQ(result.status, 500);
    EXPECT_EQ(result.body, "failed");
}

TEST_F(passed_on_request, endsAtItsEndpointWhenTheCallerLeaves)
{
    start();
    m_held = true;
    const auto address = wire::parseAddress(m_entries->callerAddress(0)).value();
    {
        const auto caller = fakes::raw_peer::connect(address.port);
        caller.send("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: left\r\n\r\n");
        ASSERT_EQ(m_heldArrived.get_future().wait_for(std::chrono::seconds(5)),
                  std::future_status::ready);
    }
    EXPECT_EQ(m_heldLeft.get_future().wait_for(std::chrono::seconds(5)), std::future_status::ready);
}

TEST_F(passed_on_request, withAForgedGrantIsServedAsAnyOther)
{
    start();
    const fakes::caller_result result
            = m_entries->send(0, "/safe/x", {{"Yuccascale-Relay", "00.00.0.new.00"}});
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(findHeader(m_server.received().back(), "Yuccascale-Relay"), nullptr);
}

} // namespace yuccascale::http

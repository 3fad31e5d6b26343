#include "yuccascale/kernel/feed/feed_state.hpp"
#include "yuccascale/runtime/system_clock.hpp"
#include "yuccascale/wire/feed_codec.hpp"
#include "yuccascale/wire/framing.hpp"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>

/// \file
/// \brief Measures how the feed's bytes and times grow with endpoints, organisations and nodes.
///
/// Run: build/tests/feed_bench

namespace {

using namespace yuccascale;
using namespace yuccascale::kernel;

constexpr int endpointsPerPool = 144;

std::shared_ptr<state::table_set> makeTables(int endpoints, int organisations,
                                             std::uint64_t revision)
{
    auto tables = std::make_shared<state::table_set>();
    tables->revision = revision;
    for (int number = 0; number < endpoints; ++number) {
        state::endpoint row;
        row.name = "engine-" + std::to_string(number);
        row.address = "10.1.2.3:" + std::to_string(10'000 + number);
        row.zone = "zone-" + std::to_string(number % 5);
        state::pool &pool = tables->pools["pool-" + std::to_string(number / endpointsPerPool)];
        pool.name = "pool-" + std::to_string(number / endpointsPerPool);
        pool.endpoints.push_back(row);
    }
    for (int number = 0; number < organisations; ++number) {
        const std::string name = "organisation-" + std::to_string(number);
        tables->organisations[name] = {name, 1.0};
        tables->keys["key-" + name] = {"key-" + name, name, std::string(64, 'a')};
    }
    return tables;
}

std::size_t framedSize(std::string payload)
{
    return wire::encodeFrame({channel::Feed, 1, false, std::move(payload)}).size();
}

double millisecondsOf(const std::function<void()> &function, int rounds)
{
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round)
        function();
    const std::chrono::duration<double, std::milli> elapsed
            = std::chrono::steady_clock::now() - start;
    return elapsed.count() / rounds;
}

long residentKilobytes()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            long kilobytes = 0;
            status >> kilobytes;
            return kilobytes;
        }
    }
    return 0;
}

feed::node_report reportOf(const std::string &node)
{
    feed::node_report report;
    report.node = node;
    report.link = node;
    return report;
}

void printTableCosts(int endpoints, int organisations)
{
    const runtime::system_clock clock;
    const long kilobytesBefore = residentKilobytes();
    feed::feed_state leader(seconds(60));
    const auto first = makeTables(endpoints, organisations, 1);
    leader.installConfirmedState(clock.now(), clock.now(), {first, 0, {}}, reportOf("leader"));
    const long kilobytesAfter = residentKilobytes();
    feed::feed_request request;
    request.reports = {{"node-1", 1'700'000'000'000U, 0, 0, false}};
    const std::string fullReply
            = wire::encodeFeedReply(leader.answer(clock.now(), "node-1", request));
    const auto next = std::make_shared<state::table_set>(*first);
    next->revision = 2;
    next->organisations["organisation-0"].weight = 2.0;
    const double advanceMs = millisecondsOf(
            [&] {
                feed::table_history history;
                history.advance(first);
                history.advance(next);
            },
            20);
    leader.installConfirmedState(clock.now(), clock.now(), {next, 0, {}}, reportOf("leader"));
    request.haveTables = true;
    request.haveRevision = 1;
    const std::string editReply
            = wire::encodeFeedReply(leader.answer(clock.now(), "node-1", request));
    std::printf("%9d %13d %12zu %10zu %14.3f %12ld\n", endpoints, organisations, fullReply.size(),
                framedSize(editReply), advanceMs, kilobytesAfter - kilobytesBefore);
}

void printNodeCosts(int nodes)
{
    const runtime::system_clock clock;
    feed::feed_state relay(seconds(60));
    relay.installConfirmedState(clock.now(), clock.now(), {makeTables(21, 8, 1), 0, {}},
                                reportOf("relay"));
    feed::feed_request request;
    request.haveTables = true;
    request.haveRevision = 1;
    for (int number = 0; number < nodes; ++number) {
        request.reports = {{"node-" + std::to_string(number), 1'700'000'000'000U, 1, 0, false}};
        (void)relay.answer(clock.now(), request.reports.front().node, request);
    }
    feed::node_report self;
    self.node = "relay";
    const std::string upstreamRequest
            = wire::encodeFeedRequest(relay.request(clock.now(), self, true));
    const std::string reply = wire::encodeFeedReply(relay.answer(clock.now(), "node-0", request));
    const double answerUs
            = 1'000
            * millisecondsOf(
                      [&] {
                          (void)wire::encodeFeedReply(relay.answer(clock.now(), "node-0", request));
                      },
                      20'000);
    std::printf("%5d %14zu %12zu %14zu %12.2f\n", nodes,
                framedSize(wire::encodeFeedRequest(request)), framedSize(reply),
                framedSize(upstreamRequest), answerUs);
}

std::vector<feed::listed_endpoint> listOf(int endpoints)
{
    std::vector<feed::listed_endpoint> list;
    const auto tables = makeTables(endpoints, 0, 1);
    for (const auto &[name, pool] : tables->pools) {
        for (const state::endpoint &row : pool.endpoints)
            list.push_back({name, row});
    }
    return list;
}

/// A leader with the reports of all nodes and a list of endpoints, and an entry that polls it.
class list_feed
{
public:
    list_feed(int nodes, int endpoints)
        : m_list(listOf(endpoints))
    {
        for (int number = 0; number < nodes; ++number)
            report(number, false);
        show();
    }

    /// \returns the bytes of the reply; the entry has installed it.
    std::size_t poll()
    {
        const feed::feed_request request = m_entry.request(m_now, nodeOf(0, false), false);
        const std::string bytes = wire::encodeFeedReply(m_leader.answer(m_now, "node-0", request));
        const feed::feed_reply reply = wire::decodeFeedReply(bytes).value();
        m_installMs = millisecondsOf([&] { (void)m_entry.install(m_now, reply, m_now); }, 1);
        return framedSize(bytes);
    }

    void changeNode() { report(1, m_changed = !m_changed); }

    void changeEndpoint()
    {
        bool &draining = m_list[m_list.size() / 2].row.draining;
        draining = !draining;
        show();
    }

    [[nodiscard]] double installMs() const noexcept { return m_installMs; }
    [[nodiscard]] double showMs() const noexcept { return m_showMs; }

    [[nodiscard]] double answerUs()
    {
        feed::feed_request request = m_entry.request(m_now, nodeOf(0, false), false);
        return 1'000
                * millisecondsOf(
                        [&] {
                            (void)wire::encodeFeedReply(m_leader.answer(m_now, "node-0", request));
                        },
                        2'000);
    }

private:
    [[nodiscard]] static feed::node_report nodeOf(int number, bool endpointsLost)
    {
        feed::node_report node = reportOf("node-" + std::to_string(number));
        node.link = node.callers = "10.1.2.3:" + std::to_string(10'000 + number);
        node.zone = "zone-1";
        node.incarnation = 1'700'000'000'000U;
        node.endpointsLost = endpointsLost;
        return node;
    }

    void report(int number, bool endpointsLost)
    {
        feed::feed_request request;
        request.reports = {nodeOf(number, endpointsLost)};
        (void)m_leader.answer(m_now, request.reports.front().link, request);
        m_leader.installConfirmedState(m_now, m_now, {m_tables, 0, {}}, reportOf("leader"));
    }

    void show()
    {
        m_now += milliseconds(10);
        m_showMs = millisecondsOf([&] { (void)m_leader.readEndpoints({m_now, 1, m_list}); }, 1);
    }

    instant m_now{seconds(100)};
    std::shared_ptr<state::table_set> m_tables = makeTables(0, 0, 1);
    std::vector<feed::listed_endpoint> m_list;
    feed::feed_state m_leader{seconds(60)};
    feed::feed_state m_entry{seconds(60)};
    bool m_changed = false;
    double m_installMs = 0;
    double m_showMs = 0;
};

/// The first change makes the encodings that later ones use, so that the second one is printed.
void printListCosts(int nodes, int endpoints)
{
    list_feed feed(nodes, endpoints);
    const std::size_t whole = feed.poll();
    const std::size_t unchanged = feed.poll();
    const double answerUs = feed.answerUs();
    feed.changeEndpoint();
    (void)feed.poll();
    const double firstMs = feed.installMs();
    feed.changeEndpoint();
    const double changeUs = feed.answerUs();
    const std::size_t endpoint = feed.poll();
    const double installMs = feed.installMs();
    feed.changeNode();
    const std::size_t node = feed.poll();
    std::printf("%5d %9d %11zu %15zu %14zu %10zu %9.2f %9.2f %8.2f %9.2f %10.2f\n", nodes,
                endpoints, whole, unchanged, endpoint, node, answerUs, changeUs, feed.showMs(),
                firstMs, installMs);
}

} // namespace

int main()
{
    std::printf("endpoints organisations  whole_bytes edit_bytes edit_diff_ms     table_kb\n");
    for (const int scale : {1, 10, 50, 157})
        printTableCosts(21 * scale, scale == 1 ? 8 : 2'300 * scale / 157);
    std::printf("\nnodes request_bytes  reply_bytes relay_up_bytes    answer_us\n");
    for (const int nodes : {8, 70, 350})
        printNodeCosts(nodes);
    std::printf("\nnodes endpoints whole_bytes unchanged_bytes endpoint_bytes node_bytes answer_us "
                "change_us  read_ms  first_ms install_ms\n");
    printListCosts(8, 21);
    printListCosts(82, 300);
    printListCosts(300, 3'003);
    return 0;
}

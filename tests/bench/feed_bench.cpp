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

} // namespace

int main()
{
    std::printf("endpoints organisations  whole_bytes edit_bytes edit_diff_ms     table_kb\n");
    for (const int scale : {1, 10, 50, 157})
        printTableCosts(21 * scale, scale == 1 ? 8 : 2'300 * scale / 157);
    std::printf("\nnodes request_bytes  reply_bytes relay_up_bytes    answer_us\n");
    for (const int nodes : {8, 70, 350})
        printNodeCosts(nodes);
    return 0;
}

#include "fakes/control_cluster.hpp"
#include "fakes/replica_group.hpp"

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <iostream>

/// \file
/// \brief Measures the replicated log: edits per second, time without a leader, recovery time and
/// idle traffic. Three nodes in one process, with real files and loopback connections.
/// Usage: consensus-bench [RUNS_OF_EACH]

namespace yuccascale {

namespace {

using namespace std::chrono_literals;
using counting_cluster = fakes::control_cluster<fakes::counting_consumer>;

constexpr std::size_t payloadBytes = 200;
constexpr auto timeout = 30s;

double milliseconds(kernel::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

void printPercentiles(const std::string &label, std::vector<double> values)
{
    std::ranges::sort(values);
    const std::size_t p95Index = std::min(values.size() - 1, values.size() * 95 / 100);
    std::cout << label << ": runs " << values.size() << ", median " << values[values.size() / 2]
              << " ms, p95 " << values[p95Index] << " ms, max " << values.back() << " ms\n";
}

void benchThroughput()
{
    for (const std::size_t callers : {1, 16, 64}) {
        counting_cluster cluster(3);
        cluster.startAll();
        const std::size_t leader = cluster.waitForLeader(timeout);
        const std::size_t edits = 300 * callers;
        const kernel::instant begin = cluster.clock().now();
        const std::size_t committed
                = cluster.proposeMany(leader, edits, callers, std::string(payloadBytes, 'x'));
        const double seconds = milliseconds(cluster.clock().now() - begin) / 1'000;
        std::cout << "edits a second, " << callers
                  << " at once: " << static_cast<double>(committed) / seconds << " (" << committed
                  << " of " << edits << " committed)\n";
    }
}

/// Time from the leader's stop until another node holds a valid lease.
void benchFailover(std::size_t runs)
{
    counting_cluster cluster(3);
    cluster.startAll();
    std::vector<double> timesMs;
    for (std::size_t run = 0; run < runs; ++run) {
        const std::size_t leader = cluster.waitForLeader(timeout);
        const kernel::instant begin = cluster.clock().now();
        cluster.stop(leader);
        if (cluster.waitForLeader(timeout) == cluster.size())
            std::cout << "no leader elected within " << timeout.count() << " s\n";
        timesMs.push_back(milliseconds(cluster.clock().now() - begin));
        kernel::error problem;
        if (!cluster.start(leader, problem))
            std::cout << problem.message << "\n";
        // waits, so that the restarted node is not elected as the next leader
        std::this_thread::sleep_for(1s);
    }
    printPercentiles("time without a leader after its end", timesMs);
}

/// In simulated time: a message takes 1 ms, a disk write no time.
void benchSimulatedFailover(
        const std::string &label, std::size_t runs,
        const std::function<void(fakes::replica_group &, std::size_t)> &injectFault)
{
    std::vector<double> timesMs;
    for (std::size_t run = 0; run < runs; ++run) {
        fakes::replica_group group(3, run + 1);
        const std::size_t leader = group.runUntilLeader();
        // varies the time of the fault between two heartbeats
        group.run(2s + std::chrono::milliseconds(run % 100));
        const kernel::instant begin = group.now();
        injectFault(group, leader);
        (void)group.runUntilLeader(leader);
        timesMs.push_back(milliseconds(group.now() - begin));
    }
    printPercentiles(label, timesMs);
}

void benchRecovery(std::size_t runs)
{
    for (const std::size_t entries : {1'000, 4'000, 20'000, 100'000}) {
        counting_cluster cluster(3);
        cluster.startAll();
        const std::size_t leader = cluster.waitForLeader(timeout);
        const std::size_t restarted = (leader + 1) % cluster.size();
        (void)cluster.proposeMany(leader, entries, 64, std::string(payloadBytes, 'x'));
        std::vector<double> timesMs;
        for (std::size_t run = 0; run < runs; ++run) {
            cluster.stop(restarted);
            const kernel::instant begin = cluster.clock().now();
            kernel::error problem;
            if (!cluster.start(restarted, problem))
                std::cout << problem.message << "\n";
            if (!cluster.waitFor(
                        [&] { return cluster.node(restarted).consumer().count() == entries; },
                        timeout))
                std::cout << "restarted node did not recover within " << timeout.count() << " s\n";
            timesMs.push_back(milliseconds(cluster.clock().now() - begin));
        }
        printPercentiles("recovery after " + std::to_string(entries) + " edits", timesMs);
        std::cout << "  data folder " << cluster.diskBytes(leader) << " bytes, "
                  << cluster.node(leader).log().status().entriesInMemory << " entries in memory\n";
    }
}

void benchTraffic()
{
    counting_cluster cluster(3);
    cluster.startAll();
    const std::size_t leader = cluster.waitForLeader(timeout);
    const auto sentBytes = [&](std::size_t index) {
        return cluster.node(index).transport().counters().bytesSent.load();
    };
    std::this_thread::sleep_for(1s);
    std::vector<std::uint64_t> before;
    for (std::size_t index = 0; index < cluster.size(); ++index)
        before.push_back(sentBytes(index));
    std::this_thread::sleep_for(10s);
    for (std::size_t index = 0; index < cluster.size(); ++index) {
        std::cout << "idle, " << (index == leader ? "leader" : "follower") << " sends "
                  << (sentBytes(index) - before[index]) / 10 << " bytes a second\n";
    }
    const std::uint64_t begin = sentBytes(leader);
    constexpr std::size_t edits = 200;
    (void)cluster.proposeMany(leader, edits, 1, std::string(payloadBytes, 'x'));
    std::cout << "leader sends " << (sentBytes(leader) - begin) / edits << " bytes an edit of "
              << payloadBytes << " bytes, one at a time\n";
}

} // namespace

} // namespace yuccascale

int main(int argc, char **argv)
{
    const std::size_t runs = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 25;
    std::cout << std::fixed << std::setprecision(1);
    yuccascale::benchThroughput();
    yuccascale::benchFailover(runs);
    yuccascale::benchSimulatedFailover("simulated, without a leader after a kill", 8 * runs,
                                       [](auto &group, std::size_t leader) { group.stop(leader); });
    yuccascale::benchSimulatedFailover(
            "simulated, without a leader after a pause", 8 * runs,
            [](auto &group, std::size_t leader) { group.pause(leader, true); });
    yuccascale::benchSimulatedFailover(
            "simulated, without a leader after a silent cut", 8 * runs,
            [](auto &group, std::size_t leader) { group.setIsolated(leader, true); });
    yuccascale::benchRecovery(runs);
    yuccascale::benchTraffic();
    return 0;
}

#include "processes/cluster.hpp"
#include "processes/soak_seeds.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace yuccascale::processes {

namespace {

constexpr int maxThreads = 19;
constexpr milliseconds loadTime{8'000};

/// \returns a number that the system tells of a process, such as "Threads:" or "VmRSS:" (KB).
int statusOf(pid_t process, const std::string &name)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    int value = 0;
    while (status >> word) {
        if (word == name)
            status >> value;
    }
    return value;
}

/// \returns the nodes to start; more than eight are for runs by hand.
int nodeCount()
{
    return static_cast<int>(environmentNumber("YUCCASCALE_THREADS_NODES", 8));
}

std::string summary(const std::vector<int> &values)
{
    std::ostringstream text;
    text << "nodes " << values.size() << ", greatest " << *std::ranges::max_element(values)
         << ", least " << *std::ranges::min_element(values);
    return text.str();
}

} // namespace

/// Guards against threads for each peer and channel: eight nodes had up to a hundred each.
TEST(threads, ofANodeStayBelowTwentyWhileTheyServeAndOneIsLost)
{
    cluster_options options;
    options.nodes = nodeCount();
    cluster nodes(options);
    ASSERT_TRUE(nodes.waitAllReady());
    std::vector<int> most(nodes.size(), 0);
    std::vector<int> memory(nodes.size(), 0);
    constexpr std::size_t lost = 2;
    const auto load = nodes.startLoad(
            {{"seed", 1},
             {"callers", 64},
             {"serviceShare", 0.3},
             {"organisations", {{{"name", "albany"}, {"requestsPerSecond", 40}}}},
             {"phases", {{{"seconds", 8}, {"promptTokens", 200}, {"outputTokens", 20}}}}});
    const auto end = std::chrono::steady_clock::now() + loadTime;
    bool killed = false;
    while (std::chrono::steady_clock::now() < end) {
        for (std::size_t node = 0; node < nodes.size(); ++node) {
            const pid_t process = nodes.nodeProcess(node).id();
            most[node] = std::max(most[node], statusOf(process, "Threads:"));
            memory[node] = std::max(memory[node], statusOf(process, "VmRSS:"));
        }
        if (!killed && std::chrono::steady_clock::now() > end - loadTime / 2) {
            nodes.nodeProcess(lost).kill();
            killed = true;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    fakes::http_call metrics;
    metrics.address = nodes.callerAddress(0);
    metrics.path = "/metrics";
    EXPECT_NE(fakes::callHttp(metrics).body.find("yuccascale_links_open"), std::string::npos);
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        EXPECT_GT(most[node], 0) << node;
        EXPECT_LE(most[node], maxThreads) << node;
    }
    std::cout << "threads: " << summary(most) << "\nKB: " << summary(memory) << "\n";
}

} // namespace yuccascale::processes

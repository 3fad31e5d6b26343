#include "processes/cluster.hpp"

#include <gtest/gtest.h>

#include <fstream>

namespace yuccascale::processes {

namespace {

constexpr int maxThreads = 19;
constexpr milliseconds loadTime{8'000};

int threadsOf(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    int threads = 0;
    while (status >> word) {
        if (word == "Threads:")
            status >> threads;
    }
    return threads;
}

} // namespace

/// Guards against threads for each peer and channel: eight nodes had up to a hundred each.
TEST(threads, ofANodeStayBelowTwentyWhileEightNodesServeAndOneIsLost)
{
    cluster_options options;
    options.nodes = 8;
    cluster nodes(options);
    ASSERT_TRUE(nodes.waitAllReady());
    std::vector<int> most(nodes.size(), 0);
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
            const int threads = threadsOf(nodes.nodeProcess(node).id());
            most[node] = std::max(most[node], threads);
        }
        if (!killed && std::chrono::steady_clock::now() > end - loadTime / 2) {
            nodes.nodeProcess(lost).kill();
            killed = true;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        EXPECT_GT(most[node], 0) << node;
        EXPECT_LE(most[node], maxThreads) << node;
    }
    RecordProperty("most", json(most).dump());
}

} // namespace yuccascale::processes

#include "processes/chat_stream.hpp"
#include "processes/cluster.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <thread>
#include <vector>

/// \file
/// \brief When an operator's edit is acknowledged, with the times of the users' platform.

namespace yuccascale::processes {

namespace {

using test_clock = std::chrono::steady_clock;

constexpr milliseconds propagation{2'000};
constexpr milliseconds freshness{4'700};
constexpr milliseconds operatorsBound{4'000};
constexpr milliseconds operatorsPatience{1'000}; ///< then another node is asked
constexpr milliseconds betweenRequests{50};

[[nodiscard]] cluster_options platformTimes()
{
    cluster_options made;
    made.control = "freshness: 4700ms, feed_interval: 600ms";
    made.tablePropagation = "2s";
    made.relayLastNode = true;
    return made;
}

[[nodiscard]] int statusAt(const cluster &system, std::size_t node, const std::string &id)
{
    chat_stream stream;
    fakes::http_call call = system.chat(node, id, "is the key good?", 1);
    call.timeoutMs = 2'000;
    return stream.run(call).status;
}

[[nodiscard]] milliseconds since(test_clock::time_point begin)
{
    return std::chrono::duration_cast<milliseconds>(test_clock::now() - begin);
}

} // namespace

/// Guards against an entry that is cut off and runs what an edit has dropped, later than promised.
TEST(edits, anEntryThatIsCutOffServesNothingDroppedLaterThanPromised)
{
    cluster system(platformTimes());
    const std::size_t last = system.size() - 1;
    std::this_thread::sleep_for(freshness); // the leader has led for long enough to know all leases
    ASSERT_EQ(statusAt(system, last, "early"), 200);
    system.setLastNodeCut(true);
    const auto begin = test_clock::now();
    ASSERT_EQ(system.command({"key", "withdraw", "albany-1"}, {0, 1, 2}).exitCode, 0);
    const auto acknowledged = test_clock::now();
    std::cout << "acknowledged after " << since(begin).count() << " ms\n";
    EXPECT_LE(since(begin), operatorsBound);
    for (int number = 0; since(acknowledged) < freshness + propagation; ++number) {
        const milliseconds sentAfter = since(acknowledged);
        const int status = statusAt(system, last, "late-" + std::to_string(number));
        if (sentAfter > propagation) {
            EXPECT_NE(status, 200) << sentAfter.count() << " ms after the acknowledgement";
        }
        std::this_thread::sleep_for(betweenRequests);
    }
}

/// Guards against edits that wait for leases to end though every node has them.
TEST(edits, areAcknowledgedInCalmBeforeTheOperatorAsksAnotherNode)
{
    constexpr int edits = 20;
    const cluster system(platformTimes());
    std::this_thread::sleep_for(freshness); // the leader has led for long enough to know all leases
    std::vector<std::int64_t> times;
    for (int number = 0; number < edits; ++number) {
        const std::size_t node = static_cast<std::size_t>(number) % 3;
        const auto begin = test_clock::now();
        ASSERT_EQ(system.command({"key", "create", "albany", "k" + std::to_string(number)}, {node})
                          .exitCode,
                  0);
        times.push_back(since(begin).count());
    }
    std::ranges::sort(times);
    std::cout << "acknowledged after " << times[edits / 2] << " ms (median), " << times.back()
              << " ms at most, the command's own start included\n";
    EXPECT_LT(times[edits / 2], operatorsPatience.count());
}

TEST(edits, areAcknowledgedUnderANewLeader)
{
    const cluster system(platformTimes());
    std::this_thread::sleep_for(freshness);
    const std::size_t former = system.leader(system.size() - 1);
    ASSERT_LT(former, system.size());
    system.nodeProcess(former).kill();
    const auto begin = test_clock::now();
    std::vector<std::size_t> others{0, 1, 2};
    std::erase(others, former);
    EXPECT_EQ(system.command({"key", "create", "albany", "k"}, others).exitCode, 0);
    std::cout << "acknowledged " << since(begin).count() << " ms after the leader was killed\n";
}

} // namespace yuccascale::processes

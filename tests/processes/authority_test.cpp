#include "processes/chat_stream.hpp"
#include "processes/cluster.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>
#include <vector>

namespace yuccascale::processes {

namespace {

constexpr milliseconds withdrawalLimit{3'000};

/// Sends a request with the organisation's key. \returns the HTTP status.
int statusWithKey(const cluster &system, std::size_t node, const std::string &id)
{
    chat_stream stream;
    fakes::http_call call = system.chat(node, id, "is the key good?", 1);
    call.timeoutMs = 2'000;
    return stream.run(call).status;
}

int requestsAtEngines(const cluster &system, const std::string &idPrefix)
{
    int count = 0;
    for (const json &request : system.history("engines", "request"))
        count += request.at("request_id").get<std::string>().starts_with(idPrefix) ? 1 : 0;
    return count;
}

} // namespace

TEST(authority, aWithdrawnKeyIsRefusedEverywhereWithinThreeSeconds)
{
    const cluster system{{}};
    for (std::size_t node = 0; node < system.size(); ++node)
        ASSERT_EQ(statusWithKey(system, node, "early-" + std::to_string(node)), 200);
    const std::size_t paused = system.size() - 1;
    system.nodeProcess(paused).signal(SIGSTOP);
    ASSERT_EQ(system.command({"key", "withdraw", "albany-1"}, {0, 1, 2}).exitCode, 0);
    std::this_thread::sleep_for(withdrawalLimit); // the guaranteed limit, not a synchronisation
    std::vector<std::thread> callers;             // their requests queue at the paused process
    constexpr int requestCount = 10;
    callers.reserve(requestCount);
    for (int number = 0; number < requestCount; ++number) {
        callers.emplace_back([&system, paused, number] {
            EXPECT_NE(statusWithKey(system, paused, "late-paused-" + std::to_string(number)), 200);
        });
    }
    std::this_thread::sleep_for(milliseconds(200)); // lets most of them connect; not all need to
    system.nodeProcess(paused).signal(SIGCONT);
    for (std::thread &caller : callers)
        caller.join();
    for (std::size_t node = 0; node < system.size(); ++node)
        EXPECT_NE(statusWithKey(system, node, "late-" + std::to_string(node)), 200) << node;
    EXPECT_EQ(requestsAtEngines(system, "late-"), 0);
}

TEST(authority, aDisconnectedEntryRefusesKeyedRequestsAfterItsLease)
{
    cluster_options options;
    options.relayLastNode = true;
    cluster system{options};
    const std::size_t cut = system.size() - 1;
    ASSERT_EQ(statusWithKey(system, cut, "early"), 200);
    system.setLastNodeCut(true);
    ASSERT_EQ(system.command({"key", "withdraw", "albany-1"}, {0, 1, 2}).exitCode, 0);
    std::this_thread::sleep_for(withdrawalLimit); // the guaranteed limit, not a synchronisation
    chat_stream stream;
    const int status = stream.run(system.chat(cut, "late", "is the key good?", 1)).status;
    const json problem = json::parse(stream.problem(), nullptr, false);
    EXPECT_NE(status, 200);
    ASSERT_TRUE(problem.is_object()) << stream.problem();
    EXPECT_FALSE(problem["error"].value("may_have_run", true)) << problem;
    EXPECT_EQ(requestsAtEngines(system, "late"), 0);
}

} // namespace yuccascale::processes

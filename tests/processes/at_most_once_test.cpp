#include "processes/cluster.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace yuccascale::processes {

TEST(at_most_once, aServiceRequestRunsOnceWhenItsEntryIsKilledAfterDispatch)
{
    cluster_options options;
    options.serviceOptions = {{"delayMs", 1'000}};
    cluster system{options};
    fakes::http_answer first;
    std::thread caller([&] { first = fakes::callHttp(system.ticket(3, "ticket-7")); });
    const bool dispatched = waitUntil(
            milliseconds(5'000), [&] { return !system.history("services", "request").empty(); });
    system.nodeProcess(3).kill();
    caller.join();
    ASSERT_TRUE(dispatched);
    EXPECT_NE(first.status, 200);
    const fakes::http_answer earlyAnswer = fakes::callHttp(system.ticket(0, "ticket-7"));
    EXPECT_NE(earlyAnswer.status, 200);
    EXPECT_NE(earlyAnswer.body.find("\"may_have_run\":true"), std::string::npos)
            << earlyAnswer.body;
    system.startNode(3); // its new incarnation proves that the old process ended
    ASSERT_TRUE(system.waitReady(3));
    json last;
    const bool outcomeKnown = waitUntil(milliseconds(20'000), [&] {
        const fakes::http_answer answer = fakes::callHttp(system.ticket(0, "ticket-7"));
        last = json::parse(answer.body, nullptr, false);
        const json problem = last.is_object() ? last.value("error", json::object()) : json();
        return answer.status == 200 || problem.value("kind", "") == "outcome_unknown";
    });
    EXPECT_TRUE(outcomeKnown) << last;
    EXPECT_TRUE(waitUntil(milliseconds(5'000), [&] { // the first run may still be in progress
        return !system.history("services", "run").empty();
    }));
    EXPECT_NE(fakes::callHttp(system.ticket(1, "ticket-7")).status, 0);
    EXPECT_EQ(system.history("services", "run").size(), 1U);
}

TEST(at_most_once, aServiceRequestIsNotRunAgainAfterItsAnswerIsLost)
{
    cluster_options options;
    options.serviceOptions = {{"loseAnswerEvery", 1}};
    const cluster system{options};
    for (std::size_t node = 0; node < system.size(); ++node) {
        const fakes::http_answer answer = fakes::callHttp(system.ticket(node, "lost-1"));
        const json body = json::parse(answer.body, nullptr, false);
        ASSERT_TRUE(body.is_object() && body.contains("error")) << answer.body;
        EXPECT_TRUE(body["error"].value("may_have_run", false)) << answer.body;
    }
    EXPECT_EQ(system.history("services", "run").size(), 1U);
}

} // namespace yuccascale::processes

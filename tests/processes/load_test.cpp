#include "processes/cluster.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <set>

namespace yuccascale::processes {

namespace {

json steadyLoad(int seconds)
{
    return {{"seed", 20261203},
            {"callers", 64},
            {"organisations", {{{"name", "albany"}, {"requestsPerSecond", 10}}}},
            {"phases", {{{"seconds", seconds}, {"promptTokens", 200}, {"outputTokens", 40}}}}};
}

} // namespace

TEST(load, aRollingRestartInterruptsNoRequest)
{
    cluster system{{}};
    const std::unique_ptr<child_process> load = system.startLoad(steadyLoad(25));
    for (std::size_t node = 0; node < system.size(); ++node) {
        system.nodeProcess(node).signal(SIGTERM);
        ASSERT_TRUE(system.nodeProcess(node).waitForExit(milliseconds(20'000))) << node;
        system.startNode(node);
        ASSERT_TRUE(system.waitReady(node)) << node;
    }
    ASSERT_TRUE(load->waitForExit(milliseconds(60'000)));
    std::map<std::string, int> outcomes = system.loadOutcomes();
    EXPECT_GT(outcomes["whole"], 200);
    EXPECT_EQ(outcomes["lost"], 0);
    EXPECT_EQ(outcomes["wrong"], 0);
    EXPECT_EQ(outcomes["unknown"], 0);
    std::set<std::string> resumed;
    for (const json &request : system.history("engines", "request")) {
        if (!request.at("resume_from").get<std::string>().empty())
            resumed.insert(request.at("request_id"));
    }
    EXPECT_TRUE(resumed.empty()) << json(resumed);
}

TEST(load, aUsageWindowIsReportedOnceWhenTheLeaderIsKilled)
{
    cluster_options options;
    options.usageWindow = "2s";
    cluster system{options};
    const std::unique_ptr<child_process> load = system.startLoad(steadyLoad(10));
    ASSERT_TRUE(waitUntil(milliseconds(15'000), [&] {
        return !system.history("platform", "report").empty();
    })) << "no usage window was reported within 15 s";
    const std::size_t leader = system.leader(3);
    ASSERT_LT(leader, system.size());
    system.nodeProcess(leader).kill();
    system.startNode(leader);
    ASSERT_TRUE(load->waitForExit(milliseconds(40'000)));
    const int whole = system.loadOutcomes()["whole"];
    const auto answersReported = [&] {
        std::uint64_t answers = 0;
        for (const json &report : system.history("platform", "report")) {
            if (!report.at("first").get<bool>())
                continue;
            const json figures = json::parse(report.at("body").get<std::string>());
            for (const char *part : {"usage", "late"}) {
                for (const json &row : figures.value(part, json::array()))
                    answers += row.at("answers").get<std::uint64_t>();
            }
        }
        return answers;
    };
    EXPECT_TRUE(waitUntil(milliseconds(20'000),
                          [&] { return answersReported() >= static_cast<std::uint64_t>(whole); }));
    EXPECT_EQ(answersReported(), static_cast<std::uint64_t>(whole));
    for (const json &report : system.history("platform", "report"))
        EXPECT_TRUE(report.at("same").get<bool>()) << report;
}

} // namespace yuccascale::processes

#include "processes/chat_stream.hpp"
#include "processes/cluster.hpp"
#include "processes/endpoint_runs.hpp"

#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <fstream>
#include <future>
#include <iterator>
#include <thread>

/// \file
/// \brief One planned stop of one entry, without any other trouble.

namespace yuccascale::processes {

namespace {

constexpr std::size_t stoppedNode = 3;
constexpr milliseconds exitLimit{9'000};

cluster_options optionsWith(const std::string &routeDeadline)
{
    cluster_options options;
    options.shutdownLimit = "8s";
    options.addressTtl = "2s";
    options.routeDeadline = routeDeadline;
    return options;
}

/// What the caller of a request saw that may run once.
struct filing
{
    std::string id;
    int status = 0;
    bool whole = false;
    std::string problem;
};

/// Adds a route to the engines on which a request runs once.
void addFilings(const cluster &system, const std::string &deadline)
{
    const json row{{"name", "filings"},
                   {"pool", "engines"},
                   {"kind", "model"},
                   {"deadline", deadline},
                   {"idempotent", "false"}};
    const command_answer answer = system.put("route", json::array({row}));
    ASSERT_EQ(answer.exitCode, 0) << answer.text;
    const std::string revision = std::to_string(answer.document.value("revision", 0));
    ASSERT_EQ(system.command({"wait", "--revision=" + revision}).exitCode, 0);
}

filing file(const cluster &system, const std::string &id, int pieces)
{
    fakes::http_call call = system.chat(stoppedNode, id, "file " + id, pieces, "filings");
    call.headers.emplace("Idempotency-Key", id);
    chat_stream stream;
    filing seen;
    seen.id = id;
    seen.status = stream.run(call).status;
    seen.whole = stream.finished();
    seen.problem = stream.problem();
    return seen;
}

/// Sends SIGHUP after the settings of the stopped node have got another time limit.
void reloadWithShorterLimit(const cluster &system)
{
    std::ifstream former(system.settingsFile(stoppedNode));
    std::string text{std::istreambuf_iterator<char>(former), {}};
    const std::string limit = "shutdown: 8s";
    const std::size_t at = text.find(limit);
    ASSERT_NE(at, std::string::npos);
    text.replace(at, limit.size(), "shutdown: 1s");
    std::ofstream(system.settingsFile(stoppedNode)) << text;
    system.nodeProcess(stoppedNode).signal(SIGHUP);
}

} // namespace

/// Guards against requests that may run once, begun although they may outlast the grace period.
TEST(planned_stop, nothingThatMayNotBeRepeatedIsBegunAndCut)
{
    constexpr int recentAnswers = 8;
    constexpr int shortAnswer = 10;
    constexpr int answerBeyondTheGracePeriod = 1'500;
    constexpr std::array<milliseconds, 6> sentAfter{milliseconds(100),   milliseconds(700),
                                                    milliseconds(1'300), milliseconds(1'900),
                                                    milliseconds(3'000), milliseconds(5'000)};
    const cluster system{optionsWith("20s")};
    addFilings(system, "20s");
    for (int number = 0; number < recentAnswers; ++number) {
        const filing seen = file(system, "recent-" + std::to_string(number), shortAnswer);
        ASSERT_TRUE(seen.whole) << seen.problem;
    }
    system.nodeProcess(stoppedNode).signal(SIGTERM);
    std::vector<std::future<filing>> late;
    late.reserve(sentAfter.size());
    for (const milliseconds after : sentAfter) {
        late.push_back(std::async(std::launch::async, [&system, after] {
            std::this_thread::sleep_for(after);
            return file(system, "late-" + std::to_string(after.count()),
                        answerBeyondTheGracePeriod);
        }));
    }
    for (std::future<filing> &one : late) {
        const filing seen = one.get();
        EXPECT_EQ(seen.status, 503) << seen.id << ": " << seen.problem;
        EXPECT_FALSE(runsIn(system.history("engines")).contains(seen.id)) << seen.id;
    }
    EXPECT_TRUE(system.nodeProcess(stoppedNode).waitForExit(exitLimit));
    EXPECT_EQ(system.nodeProcess(stoppedNode).exitCode(), 0);
}

/// Guards against a stop that is ended sooner by what arrives after the first signal.
TEST(planned_stop, neitherASecondSignalNorAReloadEndsARequestSooner)
{
    constexpr milliseconds pause{300};
    constexpr int answerOfThreeSeconds = 350;
    const cluster system{optionsWith("6s")};
    addFilings(system, "6s");
    system.nodeProcess(stoppedNode).signal(SIGTERM);
    std::this_thread::sleep_for(pause);
    auto running = std::async(std::launch::async,
                              [&system] { return file(system, "once", answerOfThreeSeconds); });
    ASSERT_TRUE(waitUntil(milliseconds(2'000),
                          [&] { return runsIn(system.history("engines")).contains("once"); }));
    system.nodeProcess(stoppedNode).signal(SIGTERM);
    std::this_thread::sleep_for(pause);
    reloadWithShorterLimit(system);
    const filing seen = running.get();
    EXPECT_TRUE(seen.whole) << seen.status << " " << seen.problem;
    EXPECT_EQ(system.reloadOutcomes(stoppedNode), std::vector<std::string>{"taken over"});
    EXPECT_TRUE(system.nodeProcess(stoppedNode).waitForExit(exitLimit));
    EXPECT_EQ(system.nodeProcess(stoppedNode).exitCode(), 0);
}

} // namespace yuccascale::processes

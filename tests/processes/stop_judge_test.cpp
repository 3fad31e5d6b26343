#include "processes/stop_judge.hpp"

#include <gtest/gtest.h>

namespace yuccascale::processes {

namespace {

constexpr std::int64_t signalledMs = 100'000;

/// Node 4 gets SIGTERM at signalledMs and has the default grace period of 8 s.
const std::vector<node_stop> oneStop{{4, signalledMs, signalledMs + 8'000, signalledMs + 9'000}};

request_record sentAfterSignal(std::int64_t sentMs, std::int64_t endedMs)
{
    request_record record;
    record.id = "a";
    record.node = 4;
    record.sentMs = signalledMs + sentMs;
    record.startedMs = record.sentMs;
    record.answeredMs = signalledMs + endedMs;
    record.end = fakes::connection_end::Closed;
    return record;
}

request_record answeredWith(int status)
{
    request_record record = sentAfterSignal(1'000, 1'100);
    record.status = status;
    record.complete = true;
    record.end = fakes::connection_end::Open;
    return record;
}

endpoint_runs runningFrom(std::int64_t firstMs, std::int64_t lastMs)
{
    endpoint_run run;
    run.received = 1;
    run.firstMs = signalledMs + firstMs;
    run.lastMs = signalledMs + lastMs;
    return {{"a", run}};
}

stop_promises promises()
{
    stop_promises made;
    made.deadlines.fill(kernel::milliseconds(10'000));
    return made;
}

stop_findings judgeOne(const request_record &record, const endpoint_runs &runs)
{
    const std::vector<request_record> records{record};
    return judgeStops(records, oneStop, runs, promises());
}

} // namespace

TEST(stop_judge, aRequestThatRanAndWasCutIsGivenUp)
{
    EXPECT_EQ(judgeOne(sentAfterSignal(4'600, 8'000), runningFrom(4'700, 8'000)).givenUp.size(),
              1U);
    EXPECT_EQ(judgeOne(sentAfterSignal(1'000, 5'000), runningFrom(1'100, 5'000)).givenUp.size(),
              1U);
}

TEST(stop_judge, aRequestSentEarlyAndAtWorkAtTheEndOfTheGracePeriodIsNotGivenUp)
{
    const stop_findings found = judgeOne(sentAfterSignal(2'900, 8'000), runningFrom(3'000, 8'000));
    EXPECT_TRUE(found.givenUp.empty());
    EXPECT_EQ(found.excused, 1);
}

TEST(stop_judge, aTicketThatWasBegunAfterTheSignalAndCutIsGivenUp)
{
    request_record record = sentAfterSignal(300, 8'000);
    record.kind = request_kind::Ticket;
    EXPECT_EQ(judgeOne(record, runningFrom(400, 8'000)).givenUp.size(), 1U);
    record.sentMs = signalledMs - 100;
    EXPECT_TRUE(judgeOne(record, runningFrom(0, 8'000)).givenUp.empty());
}

TEST(stop_judge, aRequestWhoseDeadlinePassedIsNotGivenUp)
{
    const request_record record = sentAfterSignal(-4'000, 6'000);
    EXPECT_TRUE(judgeOne(record, runningFrom(-3'900, 6'000)).givenUp.empty());
}

TEST(stop_judge, aRequestThatWasReadAndNotAnsweredIsGivenUp)
{
    EXPECT_EQ(judgeOne(sentAfterSignal(1'000, 1'201), {}).givenUp.size(), 1U);
    EXPECT_TRUE(judgeOne(sentAfterSignal(1'000, 1'200), {}).givenUp.empty());
}

TEST(stop_judge, aRequestThatWasLeftUnreadIsNotGivenUp)
{
    request_record record = sentAfterSignal(1'000, 3'000);
    record.end = fakes::connection_end::Reset;
    EXPECT_TRUE(judgeOne(record, {}).givenUp.empty());
    record.sentMs = 0;
    EXPECT_EQ(judgeOne(record, {}).excused, 0);
}

TEST(stop_judge, aRefusedRequestMustNotHaveRun)
{
    EXPECT_EQ(judgeOne(answeredWith(503), runningFrom(1'000, 1'100)).ranThoughRefused.size(), 1U);
    endpoint_runs runs = runningFrom(1'000, 1'100);
    runs.at("a").refused = 1;
    EXPECT_TRUE(judgeOne(answeredWith(503), runs).ranThoughRefused.empty());
}

TEST(stop_judge, countsRefusalsOfRequestsThatWouldHaveEndedInTime)
{
    const std::vector<request_record> records{answeredWith(200), answeredWith(503)};
    const stop_findings found = judgeStops(records, oneStop, {}, promises());
    EXPECT_EQ(found.refusedByLeaving, 1);
    EXPECT_EQ(found.refusedThoughInTime, 1);
}

TEST(stop_judge, aTicketThatWasHandedToAnEndpointTwiceRanTwice)
{
    request_record record = answeredWith(200);
    record.kind = request_kind::Ticket;
    endpoint_runs runs = runningFrom(1'000, 1'100);
    EXPECT_TRUE(judgeOne(record, runs).ranTwice.empty());
    runs.at("a").received = 2;
    EXPECT_EQ(judgeOne(record, runs).ranTwice.size(), 1U);
}

TEST(stop_judge, readsRunsFromTheEventsOfStandins)
{
    const std::vector<kernel::json> events{
            {{"event", "request"},
             {"request_id", "a~1"},
             {"at_ms", 5},
             {"headers", {"x-prefill-only"}}},
            {{"event", "request"}, {"request_id", "a~1"}, {"at_ms", 10}, {"headers", {"host"}}},
            {{"event", "not_run"}, {"request_id", "a~1"}, {"at_ms", 11}},
            {{"event", "request"}, {"request_id", "a~2"}, {"at_ms", 12}, {"headers", {"host"}}},
            {{"event", "finished"}, {"request_id", "a~2"}, {"at_ms", 20}, {"prefill_only", false}}};
    const endpoint_run run = runsIn(events).at("a");
    EXPECT_EQ(run.received, 2);
    EXPECT_EQ(run.refused, 1);
    EXPECT_EQ(run.firstMs, 10);
    EXPECT_EQ(run.lastMs, 20);
    EXPECT_TRUE(run.ran());
}

} // namespace yuccascale::processes

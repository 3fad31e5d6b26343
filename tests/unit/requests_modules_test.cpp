#include "yuccascale/kernel/requests/circuit_breaker.hpp"
#include "yuccascale/kernel/requests/event_stream.hpp"
#include "yuccascale/kernel/requests/pool_scheduler.hpp"
#include "yuccascale/kernel/requests/resume_token.hpp"
#include "yuccascale/kernel/requests/retry_budget.hpp"
#include "yuccascale/kernel/requests/suspects.hpp"
#include "yuccascale/kernel/requests/usage_batcher.hpp"

#include <gtest/gtest.h>

namespace yuccascale::kernel::requests {

namespace {

using std::chrono::hours;

constexpr instant start{hours(1)};

[[nodiscard]] pool_scheduler makeScheduler(int engines, entry_position position = {},
                                           const std::string &queue = "first_come_first_served")
{
    pool_scheduler scheduler({policy::router_registry::make("round_robin", 0).value(),
                              policy::admission_registry::make("always").value(),
                              policy::fair_queue_registry::make(queue).value()},
                             {});
    state::pool pool;
    for (int number = 0; number < engines; ++number) {
        state::endpoint row;
        row.name = "engine-" + std::to_string(number);
        row.zone = "zone-" + std::to_string(number % 3);
        row.slots = 4;
        pool.endpoints.push_back(row);
    }
    scheduler.setRows(pool);
    scheduler.setPosition({}, position);
    return scheduler;
}

[[nodiscard]] request makeRequest()
{
    request subject;
    subject.organisation = "swanfield";
    subject.route.name = "briefing";
    subject.promptTokens = 10;
    subject.outputTokens = 10;
    subject.deadline = start + hours(1);
    return subject;
}

} // namespace

TEST(resume_token, isValidOnlyForItsOrganisationAndRequest)
{
    const std::string token = issueResumeToken("secret", {"swanfield", "r1", "f1", 3});
    EXPECT_EQ(readResumeToken("secret", token, "swanfield", "f1").value().delivered, 3);
    EXPECT_FALSE(readResumeToken("secret", token, "mehta", "f1"));
    EXPECT_FALSE(readResumeToken("secret", token, "swanfield", "f2"));
    EXPECT_FALSE(readResumeToken("other", token, "swanfield", "f1"));
    for (std::size_t index = 0; index < token.size(); ++index) {
        std::string altered = token;
        altered[index] = altered[index] == '0' ? '1' : '0';
        EXPECT_FALSE(readResumeToken("secret", altered, "swanfield", "f1")) << index;
    }
}

TEST(retry_budget, boundsRetriesToAShareOfFirstAttempts)
{
    constexpr int firstAttempts = 1'000;
    const retry_limits limits;
    retry_budget budget(limits);
    int retries = 0;
    for (int number = 0; number < firstAttempts; ++number) {
        budget.recordFirstAttempt(start);
        retries += budget.tryAcquire(start) ? 1 : 0;
    }
    EXPECT_LE(retries, limits.burst + limits.share * firstAttempts);
    EXPECT_GE(retries, limits.share * firstAttempts);
    EXPECT_GT(budget.timeUntilRetry(), nanoseconds::zero());
}

TEST(retry_budget, refusesRetryImmediatelyWhenExhausted)
{
    pool_scheduler scheduler = makeScheduler(3);
    const enqueue retry{true, false, true, {}, {}};
    std::optional<refusal> refused;
    std::uint64_t ticket = 0;
    while (!refused && ticket < 1'000)
        refused = scheduler.push(start, ++ticket, makeRequest(), 1, retry);
    ASSERT_TRUE(refused);
    EXPECT_LE(ticket, retry_limits{}.burst + 1);
    EXPECT_GT(refused->retryAfter, nanoseconds::zero());
}

TEST(circuit_breaker, halfOpenAdmitsFewTrialsAndDoublesThem)
{
    const breaker_limits limits;
    circuit_breaker breaker(limits);
    EXPECT_TRUE(breaker.failed(start, true));
    EXPECT_FALSE(breaker.allows(start, 0));
    const instant trial = start + limits.initialOpenTime;
    EXPECT_TRUE(breaker.allows(trial, 0));
    EXPECT_FALSE(breaker.allows(trial, 1));
    EXPECT_FALSE(breaker.succeeded(trial, trial));
    EXPECT_TRUE(breaker.allows(trial, 1));
    EXPECT_FALSE(breaker.allows(trial, 2));
    EXPECT_FALSE(breaker.failed(trial, false));
    EXPECT_FALSE(breaker.allows(trial + limits.initialOpenTime, 0)) << "the open time doubles";
    const instant secondTrial = trial + 2 * limits.initialOpenTime;
    EXPECT_TRUE(breaker.allows(secondTrial, 0));
    bool closed = false;
    for (int answered = 0; answered < limits.trialsToClose; ++answered)
        closed = breaker.succeeded(secondTrial, secondTrial);
    EXPECT_TRUE(closed);
}

TEST(sse_data_parser, readsTheSameEventsForAnyChunking)
{
    const std::string text = ": comment\r\ndata: one\r\n\r\ndata: two\ndata: lines\n\nevent: x\n\n";
    const std::vector<std::string> expected{"one", "two\nlines"};
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        sse_data_parser stream;
        std::vector<std::string> events = stream.feed(text.substr(0, cut));
        for (std::string &event : stream.feed(text.substr(cut)))
            events.push_back(std::move(event));
        EXPECT_EQ(events, expected) << cut;
        EXPECT_EQ(stream.pending(), 0U);
    }
}

TEST(claim_decision, claimOfACrashedEntryBecomesUnknownAfterItsDeadline)
{
    constexpr milliseconds deadline{10'000};
    state::command_result running;
    running.detail = {{"state", "running"}, {"wallMs", 1'000'000}};
    const auto stateAt = [&](std::int64_t wallMs) {
        return claimDecision(running, wall_time(milliseconds(wallMs)), deadline).state;
    };
    EXPECT_EQ(stateAt(1'010'000), claim_state::Running);
    EXPECT_EQ(stateAt(1'020'000), claim_state::Unknown);
}

TEST(usage_batcher, repeatsABatchUntilItIsCommitted)
{
    usage_batcher batcher("e#1", milliseconds(60'000), milliseconds(6'000));
    const wall_time now{milliseconds(120'500)};
    batcher.add(now, 1, "swanfield", "briefing", {10, 4, 5});
    batcher.add(now, 2, "swanfield", "briefing", {1, 0, 2});
    const auto first = batcher.next(now);
    ASSERT_TRUE(first);
    batcher.add(now, 3, "swanfield", "briefing", {7, 0, 7});
    EXPECT_EQ(json(*batcher.next(now + seconds(1))), json(*first));
    EXPECT_EQ(batcher.committed(), (std::vector<std::uint64_t>{1, 2}));
    const auto lines = std::get<state::record_usage>(first->body).lines;
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines[0].answers, 2U);
    EXPECT_EQ(lines[0].promptTokens, 11U);
    EXPECT_EQ(lines[0].windowStartMs, 120'000);
    const auto second = batcher.next(now);
    ASSERT_TRUE(second);
    EXPECT_EQ(std::get<state::record_usage>(second->body).sequence, 2U);
    EXPECT_EQ(batcher.committed(), (std::vector<std::uint64_t>{3}));
    EXPECT_FALSE(batcher.next(now + seconds(1)));
    EXPECT_TRUE(batcher.next(now + seconds(10))) << "the time mark advances without answers";
}

TEST(usage_batcher, markStaysMonotonicWhenTheWallClockGoesBack)
{
    usage_batcher batcher("e#1", milliseconds(60'000), milliseconds(6'000));
    const auto first = batcher.next(wall_time(milliseconds(120'000)));
    static_cast<void>(batcher.committed());
    batcher.add(wall_time(milliseconds(60'000)), 1, "swanfield", "briefing", {});
    const auto second = batcher.next(wall_time(milliseconds(60'000)));
    const auto &later = std::get<state::record_usage>(second->body);
    EXPECT_GE(later.markMs, std::get<state::record_usage>(first->body).markMs);
    EXPECT_EQ(later.lines[0].windowStartMs, 120'000);
}

TEST(crash_suspects, identifiesTheOneRequestCommonToTwoCrashes)
{
    crash_suspects tracker;
    for (const char *fingerprint : {"poison", "neighbour-1", "neighbour-2"})
        tracker.started("a", fingerprint);
    EXPECT_EQ(tracker.crashed(start, "a", "zone-0"), "");
    EXPECT_TRUE(tracker.isSuspect("neighbour-1"));
    tracker.started("b", "poison");
    tracker.started("c", "neighbour-1");
    tracker.started("b", "fresh");
    EXPECT_TRUE(tracker.runsAnotherSuspect("b", "neighbour-2"));
    tracker.finished("c", "neighbour-1", true);
    EXPECT_FALSE(tracker.isSuspect("neighbour-1"));
    EXPECT_EQ(tracker.crashed(start + seconds(3), "b", "zone-1"), "poison");
    EXPECT_FALSE(tracker.isSuspect("fresh"));
}

TEST(crash_suspects, zoneLossIsNotAttributedToARequest)
{
    crash_suspects tracker;
    tracker.started("a", "one");
    EXPECT_EQ(tracker.crashed(start, "a", "zone-0"), "");
    tracker.started("b", "one");
    EXPECT_EQ(tracker.crashed(start + milliseconds(500), "b", "zone-0"), "");
}

TEST(pool_scheduler, isolatesSuspectsOfDifferentEntries)
{
    constexpr int entries = 3;
    std::set<std::string> used;
    for (int index = 0; index < entries; ++index) {
        pool_scheduler scheduler = makeScheduler(6, {index, entries});
        request subject = makeRequest();
        subject.fingerprint = "f" + std::to_string(index);
        ASSERT_FALSE(scheduler.push(start, 1, subject, 1, {}));
        ASSERT_EQ(scheduler.schedule(start).size(), 1U);
        attempt_result crash;
        crash.crashed = true;
        scheduler.finish(start, 1, crash);
        ASSERT_FALSE(scheduler.push(start, 1, subject, 1, {true, true, true, {}, {}}));
        const auto assignments = scheduler.schedule(start + seconds(5));
        ASSERT_EQ(assignments.size(), 1U);
        EXPECT_TRUE(used.insert(assignments[0].endpoint).second) << assignments[0].endpoint;
    }
}

TEST(pool_scheduler, refusesImmediatelyWhenNoEndpointAcceptsWork)
{
    pool_scheduler scheduler = makeScheduler(0);
    const auto refused = scheduler.push(start, 1, makeRequest(), 1, {});
    ASSERT_TRUE(refused);
    EXPECT_FALSE(refused->mayHaveRun);
    EXPECT_GT(refused->retryAfter, nanoseconds::zero());
}

TEST(pool_scheduler, keepsNonIdempotentWorkOnSteadyEndpoints)
{
    pool_scheduler scheduler = makeScheduler(2);
    state::pool pool;
    state::endpoint cheap;
    cheap.name = "cheap";
    cheap.tenure = state::endpoint_tenure::Cheap;
    state::endpoint steady;
    steady.name = "steady";
    pool.endpoints = {cheap, steady};
    scheduler.setRows(pool);
    request subject = makeRequest();
    subject.route.idempotent = false;
    for (std::uint64_t ticket = 1; ticket <= 8; ++ticket)
        ASSERT_FALSE(scheduler.push(start, ticket, subject, 1, {}));
    const auto assignments = scheduler.schedule(start);
    ASSERT_EQ(assignments.size(), 8U);
    for (const endpoint_assignment &assignment : assignments)
        EXPECT_EQ(assignment.endpoint, "steady");
    pool.endpoints = {cheap};
    scheduler.setRows(pool);
    EXPECT_TRUE(scheduler.push(start, 9, subject, 1, {}));
}

TEST(pool_scheduler, sendsNoMoreThanAnEndpointsSlotsAllow)
{
    pool_scheduler scheduler = makeScheduler(2);
    for (std::uint64_t ticket = 1; ticket <= 100; ++ticket)
        ASSERT_FALSE(scheduler.push(start, ticket, makeRequest(), 1, {}));
    EXPECT_EQ(scheduler.schedule(start).size(), 8U) << "two engines with 4 slots";
    EXPECT_TRUE(scheduler.schedule(start).empty());
    attempt_result answered;
    answered.answered = true;
    scheduler.finish(start, 1, answered);
    EXPECT_EQ(scheduler.schedule(start).size(), 1U);
}

TEST(pool_scheduler, keepsLongPromptsQueuedWhenThePrefillWindowIsFull)
{
    pool_scheduler scheduler = makeScheduler(1);
    request longPrompt = makeRequest();
    longPrompt.promptTokens = 3'000;
    for (std::uint64_t ticket = 1; ticket <= 4; ++ticket)
        ASSERT_FALSE(scheduler.push(start, ticket, longPrompt, 1, {}));
    EXPECT_LT(scheduler.schedule(start).size(), 4U)
            << "slots are free, but the prefill window is full";
}

TEST(pool_scheduler, removesRequestsThatCannotMeetTheirDeadline)
{
    pool_scheduler scheduler = makeScheduler(1, {}, "fair_share");
    for (std::uint64_t ticket = 1; ticket <= 4; ++ticket)
        ASSERT_FALSE(scheduler.push(start, ticket, makeRequest(), 1, {}));
    ASSERT_EQ(scheduler.schedule(start).size(), 4U);
    request urgent = makeRequest();
    urgent.deadline = start + seconds(2);
    ASSERT_FALSE(scheduler.push(start, 9, urgent, 1, {}));
    EXPECT_TRUE(scheduler.takeLate(start).empty());
    EXPECT_EQ(scheduler.takeLate(start + seconds(2)), std::vector<std::uint64_t>{9});
    EXPECT_EQ(scheduler.waiting(), 0U);
    EXPECT_GT(scheduler.retryAfter(start + seconds(2)), nanoseconds(0));
}

} // namespace yuccascale::kernel::requests

#include "yuccascale/kernel/requests/pool_scheduler.hpp"
#include "yuccascale/kernel/requests/request_life.hpp"

#include <gtest/gtest.h>

#include <algorithm>

/// \file
/// \brief Guards against requests for endpoints that drain, and for endpoints of which an old list
/// says that they don't.

namespace yuccascale::kernel::requests {

namespace {

constexpr instant start{seconds(100)};
constexpr seconds notice{3};

[[nodiscard]] state::pool poolOf(const std::vector<std::string> &names)
{
    state::pool pool;
    pool.discovered = true;
    for (const std::string &name : names) {
        state::endpoint row;
        row.name = name;
        row.address = name + ":80";
        row.startedMs = 5;
        row.slots = 16;
        pool.endpoints.push_back(row);
    }
    return pool;
}

[[nodiscard]] pool_scheduler schedulerOf(const std::vector<std::string> &names)
{
    queue_limits limits;
    limits.drainNotice = notice;
    pool_scheduler scheduler({policy::router_registry::make("round_robin", 0).value(),
                              policy::admission_registry::make("always").value(),
                              policy::fair_queue_registry::make("first_come_first_served").value()},
                             limits);
    scheduler.setRows(poolOf(names));
    return scheduler;
}

[[nodiscard]] request requestOf(bool idempotent, int attempts = 1)
{
    request subject;
    subject.id = "r";
    subject.organisation = "o";
    subject.route.name = "query";
    subject.route.idempotent = idempotent;
    subject.route.claimed = false;
    subject.route.maxAttempts = attempts;
    subject.promptTokens = 10;
    subject.outputTokens = 10;
    subject.usageCommitPoint = usage_commit_point::AtStart;
    subject.receivedAt = start;
    subject.deadline = start + seconds(3'600);
    return subject;
}

/// \returns how many of 12 requests went to \a endpoint.
[[nodiscard]] std::ptrdiff_t sentTo(pool_scheduler &scheduler, instant now, bool idempotent,
                                    const std::string &endpoint)
{
    static std::uint64_t ticket = 0;
    for (int number = 0; number < 12; ++number)
        EXPECT_FALSE(scheduler.push(now, ++ticket, requestOf(idempotent), 1, {}));
    const auto assignments = scheduler.schedule(now);
    EXPECT_EQ(assignments.size(), 12U) << "nothing waits for the sake of an old list";
    const auto count = std::ranges::count(assignments, endpoint, &endpoint_assignment::endpoint);
    for (const endpoint_assignment &one : assignments)
        scheduler.finish(now, one.ticket, {false, false, false, false, true, {}, {}, {}});
    return count;
}

template<typename Action>
[[nodiscard]] const Action *find(const std::vector<action> &actions)
{
    for (const action &one : actions) {
        if (const auto *found = std::get_if<Action>(&one))
            return found;
    }
    return nullptr;
}

[[nodiscard]] request_lifecycle sentOnce(request subject)
{
    request_lifecycle lifecycle(std::move(subject));
    static_cast<void>(lifecycle.start(start, start_check::Allowed));
    static_cast<void>(lifecycle.handle(start, endpoint_assigned{"e0", "z", start_check::Allowed}));
    return lifecycle;
}

} // namespace

TEST(endpoint_standing, tellsWhatHasBecomeOfAnAssignedEndpoint)
{
    pool_scheduler scheduler = schedulerOf({"e0"});
    ASSERT_FALSE(scheduler.push(start, 1, requestOf(true), 1, {}));
    const auto assigned = scheduler.schedule(start);
    ASSERT_EQ(assigned.size(), 1U);
    const auto standingAfter = [&](const state::pool &pool) {
        scheduler.setRows(pool);
        return scheduler.standing(assigned.front(), false);
    };
    EXPECT_EQ(standingAfter(poolOf({"e0"})), endpoint_standing::Serving);
    state::pool changed = poolOf({"e0"});
    changed.endpoints.front().draining = true;
    EXPECT_EQ(standingAfter(changed), endpoint_standing::Draining);
    changed = poolOf({"e0"});
    changed.endpoints.front().startedMs = 6;
    EXPECT_EQ(standingAfter(changed), endpoint_standing::Replaced);
    changed = poolOf({"e0"});
    changed.endpoints.front().address = "e9:80";
    EXPECT_EQ(standingAfter(changed), endpoint_standing::Replaced);
    EXPECT_EQ(standingAfter(poolOf({"e1"})), endpoint_standing::Gone);
    scheduler.setRows(poolOf({"e0"}));
    static_cast<void>(scheduler.applyNotice(start, "pool", "e0", {true, {}, {}}));
    EXPECT_EQ(scheduler.standing(assigned.front(), false), endpoint_standing::Leaving);
}

/// Guards against a prefill at an engine that drains, and against an attempt that is given up after
/// its prefill for the sake of an engine that has done its part.
TEST(endpoint_standing, thePrefillingEngineCountsUntilItHasAnswered)
{
    pool_scheduler scheduler = schedulerOf({"e0", "p0"});
    endpoint_assignment assignment;
    assignment.endpoint = "e0";
    assignment.address = "e0:80";
    assignment.startedMs = assignment.prefillStartedMs = 5;
    assignment.prefillEndpoint = "p0";
    assignment.prefillAddress = "p0:80";
    EXPECT_EQ(scheduler.standing(assignment, true), endpoint_standing::Serving);
    state::pool changed = poolOf({"e0", "p0"});
    changed.endpoints.back().draining = true;
    scheduler.setRows(changed);
    EXPECT_EQ(scheduler.standing(assignment, true), endpoint_standing::Draining);
    EXPECT_EQ(scheduler.standing(assignment, false), endpoint_standing::Serving);
}

/// Guards against a request that runs once and is lost at an endpoint that the old list shows as
/// ready.
TEST(old_list, requestsThatRunOnceGoToEndpointsThatWereHeardFrom)
{
    pool_scheduler scheduler = schedulerOf({"e0", "e1", "e2"});
    const instant now = start + seconds(60);
    scheduler.endpoints().setListAskedAt(now - notice - milliseconds(1));
    static_cast<void>(scheduler.applyNotice(now - seconds(1), "pool", "e1", {}));
    EXPECT_EQ(sentTo(scheduler, now, false, "e1"), 12);
    EXPECT_EQ(sentTo(scheduler, now, true, "e1"), 4) << "the others are heard from by these";
    EXPECT_EQ(sentTo(scheduler, now + notice, false, "e1"), 4) << "none was heard from lately";
    scheduler.endpoints().setListAskedAt(now);
    static_cast<void>(scheduler.applyNotice(now, "pool", "e1", {}));
    EXPECT_EQ(sentTo(scheduler, now + notice, false, "e1"), 4) << "the list is young";
}

/// Guards against refusing everything while the platform is down.
TEST(old_list, nothingIsRefusedForIt)
{
    pool_scheduler scheduler = schedulerOf({"e0", "e1"});
    scheduler.endpoints().setListAskedAt(std::nullopt);
    EXPECT_EQ(sentTo(scheduler, start + seconds(600), false, "e0"), 6);
    static_cast<void>(scheduler.applyNotice(start + seconds(600), "pool", "e1", {}));
    std::size_t assigned = 0;
    for (std::uint64_t ticket = 1'000; ticket < 1'030; ++ticket) {
        EXPECT_FALSE(scheduler.push(start + seconds(600), ticket, requestOf(false), 1, {}));
        assigned += scheduler.schedule(start + seconds(600)).size();
    }
    EXPECT_EQ(assigned, 30U) << "more than the one that was heard from holds";
}

TEST(old_list, itsAgeStandsInTheAssignment)
{
    pool_scheduler scheduler = schedulerOf({"e0"});
    scheduler.endpoints().setListAskedAt(start);
    ASSERT_FALSE(scheduler.push(start, 1, requestOf(true), 1, {}));
    const auto assigned = scheduler.schedule(start + milliseconds(700));
    ASSERT_EQ(assigned.size(), 1U);
    EXPECT_EQ(assigned.front().listAge, milliseconds(700));
}

/// Guards against a withheld request that is refused as if it had used its attempts.
TEST(send_withheld, isNoAttemptHoweverOftenItHappens)
{
    request_lifecycle lifecycle = sentOnce(requestOf(false, 1));
    for (int number = 1; number <= 20; ++number) {
        const auto withheld = lifecycle.handle(start, send_withheld{number});
        ASSERT_NE(find<release_endpoint>(withheld), nullptr);
        const enqueue *queued = find<enqueue>(withheld);
        ASSERT_NE(queued, nullptr);
        EXPECT_TRUE(queued->retry);
        EXPECT_FALSE(queued->endpointReached) << "no retry budget";
        EXPECT_EQ(lifecycle.reachedAttempts(), 0);
        EXPECT_FALSE(lifecycle.mayHaveRun());
        static_cast<void>(
                lifecycle.handle(start, endpoint_assigned{"e1", "z", start_check::Allowed}));
    }
    EXPECT_EQ(lifecycle.reachedAttempts(), 1);
}

TEST(send_withheld, anAssignmentThatNoLongerHoldsIsNotBegun)
{
    request_lifecycle lifecycle(requestOf(false, 1));
    static_cast<void>(lifecycle.start(start, start_check::Allowed));
    const auto next = lifecycle.handle(
            start, endpoint_assigned{"e0", "z", start_check::Allowed, {}, false});
    EXPECT_NE(find<release_endpoint>(next), nullptr);
    EXPECT_NE(find<enqueue>(next), nullptr);
    EXPECT_EQ(find<dispatch>(next), nullptr);
    EXPECT_EQ(lifecycle.attempt(), 0);
    EXPECT_EQ(lifecycle.state(), request_state::Queued);
}

/// Guards against a request that is queued again after its endpoint has begun to work on it.
TEST(send_withheld, nothingHappensOnceAPieceHasArrivedOrForAFormerAttempt)
{
    request_lifecycle lifecycle = sentOnce(requestOf(true, 3));
    EXPECT_TRUE(lifecycle.handle(start, send_withheld{0}).empty());
    static_cast<void>(lifecycle.handle(start, piece_arrived{1, 0, "x"}));
    EXPECT_TRUE(lifecycle.handle(start, send_withheld{1}).empty());
}

/// Guards against a stream that goes on at another software version after it was withheld.
TEST(send_withheld, aStreamThatGoesOnKeepsItsVersionAndItsPlace)
{
    request subject = requestOf(true, 3);
    subject.streamed = true;
    request_lifecycle lifecycle(subject);
    static_cast<void>(lifecycle.start(start, start_check::Allowed));
    static_cast<void>(
            lifecycle.handle(start, endpoint_assigned{"e0", "z", start_check::Allowed, "v1"}));
    static_cast<void>(lifecycle.handle(start, piece_arrived{1, 0, "x"}));
    static_cast<void>(lifecycle.handle(start, attempt_failed{1, attempt_failure::Broken, {}}));
    static_cast<void>(
            lifecycle.handle(start, endpoint_assigned{"e1", "z", start_check::Allowed, "v1"}));
    const auto withheld = lifecycle.handle(start, send_withheld{2});
    ASSERT_NE(find<enqueue>(withheld), nullptr);
    EXPECT_EQ(find<enqueue>(withheld)->softwareVersion, "v1");
    EXPECT_EQ(find<enqueue>(withheld)->avoidEndpoints, std::vector<std::string>{"e0"});
    const auto again
            = lifecycle.handle(start, endpoint_assigned{"e2", "z", start_check::Allowed, "v1"});
    ASSERT_NE(find<dispatch>(again), nullptr);
    EXPECT_EQ(find<dispatch>(again)->resumeFrom, 1);
}

} // namespace yuccascale::kernel::requests

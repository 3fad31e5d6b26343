#include "yuccascale/kernel/requests/pool_scheduler.hpp"

#include <gtest/gtest.h>

/// \file
/// \brief What a pool's scheduler at an entry measures as work.

namespace yuccascale::kernel::requests {

namespace {

constexpr instant start{seconds(100)};

state::pool engines()
{
    state::pool pool;
    pool.scaling = {{1, 30, 0.22, {{"a", 1.0}}}};
    state::endpoint row;
    row.name = "e";
    row.address = "10.0.0.1:100";
    row.zone = "a";
    pool.endpoints.push_back(row);
    return pool;
}

pool_scheduler schedulerOf(const state::pool &pool, bool measureWork)
{
    queue_limits limits;
    limits.window.prefillAheadTokens = 24'000;
    limits.assumeOthers = false;
    limits.cheapNotice = seconds(1);
    limits.measureWork = measureWork;
    pool_scheduler scheduler({policy::router_registry::make("prompt_homes", 1).value(),
                              policy::admission_registry::make("deadline").value(),
                              policy::fair_queue_registry::make("fair_share").value()},
                             limits);
    scheduler.setRows(pool);
    return scheduler;
}

request prompt(instant now, bool idempotent)
{
    request subject;
    subject.id = "r";
    subject.organisation = "o";
    subject.route.name = "brief";
    subject.route.firstTokenMs = 250;
    subject.route.idempotent = idempotent;
    subject.promptTokens = 3'000;
    subject.outputTokens = 9;
    subject.receivedAt = now;
    subject.deadline = now + seconds(8);
    return subject;
}

void send(pool_scheduler &scheduler, std::uint64_t ticket, bool idempotent)
{
    ASSERT_FALSE(scheduler.push(start, ticket, prompt(start, idempotent), 1, {}));
    ASSERT_EQ(scheduler.schedule(start).size(), 1U);
}

attempt_result answeredIn(milliseconds firstToken)
{
    attempt_result result;
    result.answered = true;
    result.usage = {3'000, 0, 9};
    result.timeToFirstToken = firstToken;
    result.totalTime = firstToken + milliseconds(50);
    return result;
}

} // namespace

/// Guards against messages that grow where the part is off or numbers can't be ordered.
TEST(measured_work, isReportedOnlyWhereItIsUsed)
{
    state::pool fixed = engines();
    fixed.scaling.clear();
    EXPECT_FALSE(schedulerOf(engines(), false).takeDemand(start).work);
    EXPECT_FALSE(schedulerOf(fixed, true).takeDemand(start).work);
    EXPECT_TRUE(schedulerOf(engines(), true).takeDemand(start).work);
}

TEST(measured_work, isCountedFromDispatchToTheEnd)
{
    pool_scheduler scheduler = schedulerOf(engines(), true);
    (void)scheduler.takeDemand(start);
    send(scheduler, 1, true);
    send(scheduler, 2, false);
    (void)scheduler.finish(start + milliseconds(200), 1, answeredIn(milliseconds(100)));
    (void)scheduler.finish(start + milliseconds(400), 2, answeredIn(milliseconds(300)));
    const work_report work = scheduler.takeDemand(start + seconds(1)).work.value();
    ASSERT_EQ(work.spans.size(), 4U);
    EXPECT_EQ(work.spans[0].uncachedTokens, 6'000);
    EXPECT_EQ(work.spans[0].steadyTokens, 3'000) << "how long it takes was not known yet";
    EXPECT_NEAR(work.spans[0].busySeconds, 0.2 + 0.25, 1e-9);
    EXPECT_NEAR(work.spans[1].busySeconds, 0.15, 1e-9);
    EXPECT_NEAR(work.spans[1].steadySeconds, 0.15, 1e-9);
    EXPECT_EQ(work.counts.offered, 2);
    EXPECT_EQ(work.counts.sent, 2);
    EXPECT_EQ(work.counts.late, 1);
    EXPECT_EQ(work.counts.running, 0);
    EXPECT_GT(work.prefillTokensPerSecond, 10'000);
}

/// Guards against an engine that rejects what it is sent being taken for one that is idle.
TEST(measured_work, countsWhatEnginesReject)
{
    pool_scheduler scheduler = schedulerOf(engines(), true);
    send(scheduler, 1, true);
    attempt_result rejected;
    rejected.rejected = true;
    rejected.excludedFromHealth = true;
    (void)scheduler.finish(start + milliseconds(10), 1, rejected);
    const work_report work = scheduler.takeDemand(start + seconds(1)).work.value();
    EXPECT_EQ(work.counts.rejected, 1);
    EXPECT_EQ(work.counts.running, 0);
}

} // namespace yuccascale::kernel::requests

#include "fakes/policy_fleet.hpp"

#include <gtest/gtest.h>

namespace yuccascale {

using namespace fakes;

TEST(policy_queue, lowPriorityIsNotStarved)
{
    auto queue = makeStrategy<fair_queue_registry>("fair_share");
    queue->push(at(0), waitingRequest(1, "a", 100, at(0)));
    double servedAt = -1;
    for (int step = 1; step <= 100 && servedAt < 0; ++step) {
        const double now = 0.1 * step;
        waiting_request urgent
                = waitingRequest(1'000 + static_cast<unsigned>(step), "a", 100, at(now));
        urgent.priority = 5;
        queue->push(at(now), urgent);
        if (queue->pop(at(now))->ticket == 1)
            servedAt = now;
    }
    EXPECT_GE(servedAt, 0) << "the low-priority request was never served";
    EXPECT_LE(servedAt, 6.0);
}

TEST(policy_queue, chargesAtOtherEntriesDelayAnOrganisation)
{
    auto queue = makeStrategy<fair_queue_registry>("fair_share");
    queue->applyRemoteCharge("busy", 1.0, 10'000);
    queue->push(at(0), waitingRequest(1, "busy", 100, at(0)));
    queue->push(at(1), waitingRequest(2, "quiet", 100, at(1)));
    EXPECT_EQ(queue->pop(at(1))->organisation, "quiet");
}

TEST(policy_queue, idleTimeGivesNoCredit)
{
    auto queue = makeStrategy<fair_queue_registry>("fair_share");
    for (unsigned ticket = 0; ticket < 100; ++ticket)
        queue->push(at(0), waitingRequest(ticket, "steady", 100, at(0)));
    for (int popped = 0; popped < 50; ++popped)
        EXPECT_TRUE(queue->pop(at(1)));
    for (unsigned ticket = 200; ticket < 220; ++ticket)
        queue->push(at(1), waitingRequest(ticket, "late", 100, at(1)));
    int late = 0;
    for (int popped = 0; popped < 20; ++popped)
        late += queue->pop(at(1))->organisation == "late" ? 1 : 0;
    EXPECT_NEAR(late, 10, 1);
}

TEST(policy_queue, removesRequestsThatCannotMeetTheirDeadline)
{
    auto queue = makeStrategy<fair_queue_registry>("fair_share");
    queue->push(at(0), waitingRequest(1, "a", 100, at(0)));
    queue->push(at(5), waitingRequest(2, "a", 100, at(5)));
    EXPECT_TRUE(queue->takeLate(at(9.9)).empty());
    const auto late = queue->takeLate(at(10.1));
    ASSERT_EQ(late.size(), 1U);
    EXPECT_EQ(late.front().ticket, 1U);
    EXPECT_EQ(queue->size(), 1U);
    EXPECT_DOUBLE_EQ(queue->costWaiting(), 100);
}

TEST(policy_admission, refusesOnlyOrganisationsAboveTheirShareWithARetryDelay)
{
    auto admission = makeStrategy<admission_registry>("deadline");
    queue_view view{100, 20'000, 19'900, 1'000, 0.5, kernel::seconds(20)};
    const waiting_request request = waitingRequest(1, "flooding", 100, at(0));
    const auto refusal = admission->refuse(at(0), request, view);
    ASSERT_TRUE(refusal);
    EXPECT_GT(refusal->retryAfter, kernel::nanoseconds::zero());
    EXPECT_FALSE(refusal->reason.empty());
    view.costWaitingOfOrganisation = 100;
    EXPECT_FALSE(admission->refuse(at(0), request, view));
}

TEST(policy_admission, admitsEverythingOnAnIdlePool)
{
    auto admission = makeStrategy<admission_registry>("deadline");
    waiting_request request = waitingRequest(1, "a", 1e9, at(0));
    request.predictedService = kernel::seconds(100);
    EXPECT_FALSE(admission->refuse(at(0), request, {0, 0, 0, 1'000, 1.0, {}}));
}

} // namespace yuccascale

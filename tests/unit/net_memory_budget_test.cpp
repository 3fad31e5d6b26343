#include "yuccascale/net/memory_budget.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace yuccascale::net {

namespace {

using kernel::instant;
using kernel::milliseconds;

constexpr std::size_t limit = 800'000;
const instant start{std::chrono::seconds(1'000)};

/// An account that counts how often it was chosen.
struct counted_account
{
    explicit counted_account(const std::shared_ptr<memory_budget> &budget)
        : account(budget, [this] { ++shed; })
    { }

    int shed = 0;
    memory_account account;
};

} // namespace

/// Guards against bytes that stay counted after their connection has ended.
TEST(memory_budget, forgetsWhatAConnectionHeld)
{
    const auto budget = std::make_shared<memory_budget>(limit);
    {
        counted_account one(budget);
        EXPECT_TRUE(one.account.hold(500'000, start));
        EXPECT_TRUE(one.account.hold(300'000, start));
        EXPECT_TRUE(one.account.run(100'000, start));
        EXPECT_EQ(budget->held(), 400'000U);
    }
    EXPECT_EQ(budget->held(), 0U);
}

/// Guards against a stalled connection that stays while a new one is refused.
TEST(memory_budget, shedsTheStalledConnectionForTheOneThatProgresses)
{
    const auto budget = std::make_shared<memory_budget>(limit);
    counted_account stalled(budget);
    counted_account other(budget);
    EXPECT_TRUE(stalled.account.hold(190'000, start));
    EXPECT_TRUE(other.account.hold(640'000, start + milliseconds(2'000)));
    EXPECT_EQ(stalled.shed, 1);
    EXPECT_TRUE(stalled.account.beingShed());
    EXPECT_TRUE(other.account.hold(680'000, start + milliseconds(2'001)));
    EXPECT_EQ(stalled.shed, 1) << "its bytes are counted as free already";
    EXPECT_TRUE(stalled.account.hold(0, start + milliseconds(2'002)));
    EXPECT_FALSE(stalled.account.beingShed());
}

/// Guards against a late loop that keeps what it has to shed while others grow.
TEST(memory_budget, shedsThoseWhoGrowWhileMuchWaitsToBeFreed)
{
    const auto budget = std::make_shared<memory_budget>(limit);
    counted_account late(budget);
    counted_account other(budget);
    EXPECT_TRUE(late.account.hold(700'000, start));
    EXPECT_FALSE(other.account.hold(200'000, start + milliseconds(2'000)));
    EXPECT_TRUE(late.account.hold(0, start + milliseconds(2'001)));
    EXPECT_TRUE(other.account.hold(300'000, start + milliseconds(2'002)));
}

/// Guards against cutting a healthy answer, whose request has run, since others are being shed.
TEST(memory_budget, keepsAnswersThatGrowWhileMuchWaitsToBeFreed)
{
    const auto budget = std::make_shared<memory_budget>(limit);
    counted_account late(budget);
    counted_account other(budget);
    counted_account answered(budget);
    EXPECT_TRUE(late.account.hold(700'000, start));
    EXPECT_FALSE(other.account.hold(200'000, start + milliseconds(2'000)));
    EXPECT_TRUE(answered.account.hold(50'000, start + milliseconds(2'001), held_for::Answer));
}

/// Guards against refusing a body, though there is room, since others are being shed.
TEST(memory_budget, takesABodyWithinTheLimitWhileMuchWaitsToBeFreed)
{
    const auto budget = std::make_shared<memory_budget>(limit);
    counted_account late(budget);
    counted_account other(budget);
    counted_account next(budget);
    EXPECT_TRUE(late.account.hold(700'000, start));
    EXPECT_FALSE(other.account.hold(200'000, start + milliseconds(2'000)));
    EXPECT_TRUE(other.account.hold(0, start + milliseconds(2'001)));
    EXPECT_TRUE(next.account.hold(50'000, start + milliseconds(2'002)));
}

/// Guards against an account that stays marked, so that what it holds is never chosen again.
TEST(memory_budget, asksTheAccountThatGrowsToo)
{
    const auto budget = std::make_shared<memory_budget>(limit);
    counted_account running(budget);
    counted_account grows(budget);
    EXPECT_TRUE(running.account.run(600'000, start));
    EXPECT_FALSE(grows.account.hold(250'000, start));
    EXPECT_TRUE(grows.account.beingShed());
    EXPECT_EQ(grows.shed, 1);
}

/// Guards against requests that run being counted as if they could be given up.
TEST(memory_budget, refusesNewBytesWhileRequestsThatRunHoldTheLimit)
{
    const auto budget = std::make_shared<memory_budget>(limit);
    counted_account first(budget);
    counted_account second(budget);
    counted_account third(budget);
    counted_account innocent(budget);
    EXPECT_TRUE(innocent.account.hold(8'000, start - milliseconds(5'000)));
    EXPECT_TRUE(first.account.run(400'000, start));
    EXPECT_TRUE(second.account.run(390'000, start));
    EXPECT_FALSE(third.account.hold(200'000, start));
    EXPECT_TRUE(third.account.hold(0, start));
    EXPECT_FALSE(third.account.run(200'000, start));
    EXPECT_EQ(first.shed + second.shed, 0);
    EXPECT_EQ(innocent.shed, 0);
    EXPECT_EQ(budget->held(), 798'000U);
    first.account.ended(400'000);
    EXPECT_TRUE(third.account.run(200'000, start));
}

/// Guards against a count of what is being shed that wraps around when it is freed on another loop
/// at the same time: from then on nobody would be shed, and whoever grows would be refused.
TEST(memory_budget, countsWhatIsBeingShedWhileItIsFreedOnAnotherLoop)
{
    constexpr int rounds = 1'000'000;
    const auto budget = std::make_shared<memory_budget>(limit);
    counted_account one(budget);
    counted_account other(budget);
    int shedWithoutBytes = 0;
    const auto toggle = [&shedWithoutBytes](counted_account &account) {
        for (int round = 0; round < rounds; ++round) {
            static_cast<void>(account.account.hold(500'000, start));
            static_cast<void>(account.account.hold(0, start));
            if (account.account.beingShed())
                ++shedWithoutBytes;
        }
    };
    {
        const std::jthread loop([&] {
            for (int round = 0; round < rounds; ++round) {
                static_cast<void>(other.account.hold(500'000, start));
                static_cast<void>(other.account.hold(0, start));
            }
        });
        toggle(one);
    }
    EXPECT_EQ(shedWithoutBytes, 0);
    EXPECT_EQ(budget->held(), 0U);
    counted_account stalled(budget);
    counted_account next(budget);
    EXPECT_TRUE(stalled.account.hold(190'000, start));
    EXPECT_TRUE(next.account.hold(640'000, start + milliseconds(2'000)));
    EXPECT_EQ(stalled.shed, 1);
}

/// Guards against refusing those whose bytes could not make room anyway, since requests that run
/// hold nearly all.
TEST(memory_budget, refusesOnlyWhoeverGrowsWhenSheddingCannotMakeRoom)
{
    const auto budget = std::make_shared<memory_budget>(limit);
    counted_account first(budget);
    counted_account second(budget);
    counted_account innocent(budget);
    counted_account next(budget);
    EXPECT_TRUE(first.account.run(390'000, start));
    EXPECT_TRUE(second.account.run(390'000, start));
    EXPECT_TRUE(innocent.account.hold(10'000, start));
    EXPECT_FALSE(next.account.run(200'000, start + milliseconds(2'000)));
    EXPECT_EQ(innocent.shed, 0);
    EXPECT_FALSE(innocent.account.beingShed());
}

/// Guards against refusing small requests, which frees next to nothing.
TEST(memory_budget, neverShedsWhoeverHoldsNextToNothing)
{
    const auto budget = std::make_shared<memory_budget>(limit);
    counted_account running(budget);
    counted_account small(budget);
    counted_account large(budget);
    counted_account next(budget);
    EXPECT_TRUE(running.account.run(600'000, start));
    EXPECT_TRUE(small.account.hold(4'000, start));
    EXPECT_TRUE(large.account.hold(150'000, start + milliseconds(29'950)));
    EXPECT_TRUE(next.account.hold(70'000, start + milliseconds(30'000)));
    EXPECT_EQ(large.shed, 1);
    EXPECT_EQ(small.shed, 0);
}

/// Guards against a log line for each connection that is shed.
TEST(memory_budget, tellsOfAShortageOnceInAWhile)
{
    const auto budget = std::make_shared<memory_budget>(limit);
    int told = 0;
    budget->setListener([&told](const memory_shortage &) { ++told; });
    counted_account running(budget);
    counted_account other(budget);
    EXPECT_TRUE(running.account.run(700'000, start));
    for (int number = 0; number < 100; ++number) {
        EXPECT_FALSE(other.account.hold(300'000, start + milliseconds(number)));
        EXPECT_TRUE(other.account.hold(0, start + milliseconds(number)));
    }
    EXPECT_EQ(told, 1);
    EXPECT_FALSE(other.account.hold(300'000, start + milliseconds(6'000)));
    EXPECT_EQ(told, 2);
}

} // namespace yuccascale::net

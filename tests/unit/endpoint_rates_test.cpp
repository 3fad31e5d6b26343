#include "yuccascale/kernel/policy/endpoint_pace.hpp"
#include "yuccascale/kernel/policy/endpoint_rates.hpp"
#include "yuccascale/kernel/policy/prefill_queue.hpp"
#include "yuccascale/kernel/policy/routing.hpp"
#include "yuccascale/kernel/policy/spread_choice.hpp"

#include <gtest/gtest.h>

#include <limits>
#include <vector>

/// \file
/// \brief Guards against predictions by rates and paces that are not, or no longer, those of the
/// endpoint.

namespace yuccascale::kernel::policy {

namespace {

constexpr instant start{seconds(100)};

[[nodiscard]] rate_observation prefillAt(double tokensPerSecond)
{
    return {tokensPerSecond, 0, false};
}

[[nodiscard]] routing_outcome longPrompt(nanoseconds firstToken)
{
    routing_outcome outcome;
    outcome.promptTokens = 17'020;
    outcome.cachedTokens = 13'300;
    outcome.outputTokens = 7;
    outcome.timeToFirstToken = firstToken;
    outcome.totalTime = firstToken + milliseconds(60);
    outcome.answered = true;
    return outcome;
}

} // namespace

TEST(endpoint_rates, aFewAnswersMoveAnEngineFromThePoolsRateAndNoneLeavesItThere)
{
    endpoint_rates pool;
    endpoint_rates fast;
    const endpoint_rates unseen;
    for (int count = 0; count < 20; ++count)
        pool.observe(start, prefillAt(48'000), nullptr);
    EXPECT_NEAR(unseen.prefillTokensPerSecond(start, false, pool), 48'000, 1);
    for (int count = 0; count < 4; ++count)
        fast.observe(start, prefillAt(76'800), &pool);
    EXPECT_GT(fast.prefillTokensPerSecond(start, false, pool), 65'000);
    EXPECT_LT(fast.prefillTokensPerSecond(start, false, pool), 77'000);
}

TEST(endpoint_rates, oneValueThatIsFarOffMovesTheRateLittle)
{
    endpoint_rates pool;
    endpoint_rates one;
    for (int count = 0; count < 20; ++count) {
        pool.observe(start, prefillAt(48'000), nullptr);
        one.observe(start, prefillAt(48'000), &pool);
    }
    one.observe(start, prefillAt(4'800'000), &pool);
    EXPECT_LT(one.prefillTokensPerSecond(start, false, pool), 52'000);
    one.observe(start, prefillAt(std::numeric_limits<double>::quiet_NaN()), &pool);
    one.observe(start, prefillAt(-1), &pool);
    EXPECT_LT(one.prefillTokensPerSecond(start, false, pool), 52'000);
}

/// Guards against an endpoint that is left out for good by a wrong rate.
TEST(endpoint_rates, withoutAnswersARateReturnsToThePools)
{
    endpoint_rates pool;
    endpoint_rates slow;
    pool.observe(start, prefillAt(48'000), nullptr);
    for (int count = 0; count < 20; ++count)
        slow.observe(start, prefillAt(12'000), &pool);
    EXPECT_LT(slow.prefillTokensPerSecond(start, false, pool), 16'000);
    EXPECT_GT(slow.prefillTokensPerSecond(start + seconds(60), false, pool), 45'000);
}

TEST(endpoint_rates, anAnswerOfASlowedDownEngineShowsItsUsualRate)
{
    const auto usual = observationOf(longPrompt(milliseconds(80)), 1.0);
    const auto slowed = observationOf(longPrompt(milliseconds(200)), 2.5);
    EXPECT_NEAR(usual.prefillTokensPerSecond, 46'500, 1);
    EXPECT_NEAR(slowed.prefillTokensPerSecond, usual.prefillTokensPerSecond, 1);
    EXPECT_NEAR(usual.workSeconds, 0.010, 1e-6);
    routing_outcome queued = longPrompt(milliseconds(800));
    queued.tokensAhead = 40'000;
    EXPECT_EQ(observationOf(queued, 1.0).prefillTokensPerSecond, 0) << "it shows the queue";
    EXPECT_TRUE(observationOf(longPrompt(milliseconds(80)), 0).empty());
}

TEST(endpoint_rates, timeBetweenTokensIsLearntFromAnswersOfThreeTokens)
{
    endpoint_rates pool;
    endpoint_rates slow;
    for (int count = 0; count < 10; ++count) {
        pool.observe(start, {0, 0.010, false}, nullptr);
        slow.observe(start, {0, 0.020, false}, &pool);
    }
    EXPECT_NEAR(slow.slowdown(start, pool), 2.0, 0.2);
}

TEST(endpoint_pace, theLastFigureCountsForShortWorkAndTheAverageForLongWork)
{
    endpoint_pace pace;
    EXPECT_FALSE(pace.reported());
    EXPECT_EQ(pace.expected(start, 0.02), 1.0);
    for (int count = 0; count < 100; ++count)
        pace.observe(start + milliseconds(100 * count), 1.0);
    const instant now = start + seconds(10);
    pace.observe(now, 2.5);
    EXPECT_GT(pace.expected(now, 0.02), 2.3);
    EXPECT_LT(pace.expected(now, 3.0), 1.3);
    EXPECT_LT(pace.expected(now + milliseconds(400), 0.02), 1.7);
    EXPECT_NEAR(pace.expected(now + seconds(2), 0.02), 1.0, 0.1) << "the figure is old";
    EXPECT_NEAR(pace.expected(now + seconds(60), 0.02), 1.0, 1e-3);
}

TEST(endpoint_pace, anOlderFigureDoesNotReplaceANewerOne)
{
    endpoint_pace pace;
    pace.observe(start + seconds(1), 2.5);
    pace.observe(start, 1.0);
    EXPECT_GT(pace.expected(start + seconds(1), 0), 2.4);
}

TEST(prefill_queue, isWorkedOffAtTheRateAndSetRightByAFirstToken)
{
    prefill_queue queue;
    queue.add(start, 10'000);
    queue.add(start + milliseconds(100), 5'000);
    queue.advance(start + milliseconds(100), 50'000);
    EXPECT_NEAR(queue.tokens(start + milliseconds(100), 50'000), 10'000, 1);
    EXPECT_NEAR(queue.tokens(start + milliseconds(200), 50'000), 5'000, 1);
    queue.advance(start + milliseconds(300), 50'000);
    EXPECT_EQ(queue.tokens(start + milliseconds(300), 50'000), 0) << "by the rate all is done";
    queue.prefilled(start, start + milliseconds(300));
    EXPECT_NEAR(queue.tokens(start + milliseconds(300), 50'000), 5'000, 1)
            << "the second prompt was not begun before";
    EXPECT_NEAR(queue.tokens(start + milliseconds(350), 50'000), 2'500, 1);
}

TEST(spread_choice, fewUnseenRequestsGoToTheBestAndManyFollowTheSpeeds)
{
    const std::vector<spread_candidate> all{{0, 0.010, 100}, {1, 0.030, 100}, {2, 0.030, 300}};
    std::vector<spread_candidate> few = all;
    spreadProbabilities(few, 1, 0.001);
    EXPECT_NEAR(few[0].probability, 1.0, 1e-9);
    std::vector<spread_candidate> many = all;
    spreadProbabilities(many, 1'000, 0.001);
    EXPECT_NEAR(many[0].probability, 0.2, 0.02);
    double fastest = 0;
    for (const spread_candidate &one : many)
        fastest = std::max(fastest, one.index == 2 ? one.probability : 0.0);
    EXPECT_NEAR(fastest, 0.6, 0.02);
}

TEST(spread_choice, candidatesWithoutASpeedAreDrawnToo)
{
    std::vector<spread_candidate> none;
    std::mt19937_64 random(1);
    EXPECT_FALSE(drawSpread(none, 1, 0.001, random));
    std::vector<spread_candidate> one{{7, 0.5, 0}};
    EXPECT_EQ(drawSpread(one, 0, 0, random)->index, 7U);
}

} // namespace yuccascale::kernel::policy

#include "yuccascale/kernel/policy/service_estimate.hpp"

#include <gtest/gtest.h>

#include <vector>

/// \file
/// \brief Guards against refusing requests for a service time that fits another engine.

namespace yuccascale::kernel::policy {

namespace {

constexpr nanoseconds overhead = milliseconds(20);

/// An engine that reads a prompt at a constant rate.
struct reading_engine
{
    std::int64_t tokensPerMs = 0;

    [[nodiscard]] nanoseconds timeToFirstToken(std::int64_t promptTokens) const
    {
        return overhead + milliseconds(promptTokens) / tokensPerMs;
    }
};

void observePrompts(service_estimate &estimate, const reading_engine &engine,
                    const std::vector<std::int64_t> &prompts)
{
    for (const std::int64_t tokens : prompts) {
        const nanoseconds first = engine.timeToFirstToken(tokens);
        estimate.observe({"e", tokens, 0, 2, first, first, 1, true});
    }
}

} // namespace

TEST(service_estimate, predictsNothingBeforeItHasSeenAnswers)
{
    service_estimate estimate;
    EXPECT_FALSE(estimate.predict(60'000, 30));
    estimate.observe({"e", 1'000, 0, 2, seconds(1), seconds(1), 1, false});
    EXPECT_FALSE(estimate.predict(60'000, 30)) << "a failed attempt shows nothing";
}

TEST(service_estimate, predictsLongPromptsFromShorterOnesOnEnginesOfAnySpeed)
{
    for (const std::int64_t tokensPerMs : {2, 20, 50, 200}) {
        const reading_engine engine{tokensPerMs};
        service_estimate estimate;
        observePrompts(estimate, engine, {4'000, 12'000, 7'000, 9'000, 5'000, 14'000});
        const nanoseconds expected = engine.timeToFirstToken(48'000);
        const auto predicted = estimate.predict(48'000, 0);
        ASSERT_TRUE(predicted);
        EXPECT_NEAR(static_cast<double>(predicted->count()), static_cast<double>(expected.count()),
                    0.05 * static_cast<double>(expected.count()))
                << tokensPerMs << " tokens a ms";
    }
}

TEST(service_estimate, predictsTheMeanWhileAllPromptsHaveOneLength)
{
    service_estimate estimate;
    observePrompts(estimate, {50}, {10'000, 10'000, 10'000, 10'000});
    EXPECT_EQ(std::chrono::round<milliseconds>(*estimate.predict(10'000, 0)), milliseconds(220));
    EXPECT_EQ(std::chrono::round<milliseconds>(*estimate.predict(90'000, 0)), milliseconds(220));
}

TEST(service_estimate, followsAnEngineThatBecomesSlower)
{
    service_estimate estimate;
    observePrompts(estimate, {100}, std::vector<std::int64_t>(50, 10'000));
    observePrompts(estimate, {10}, std::vector<std::int64_t>(100, 10'000));
    EXPECT_GT(*estimate.predict(10'000, 0), milliseconds(900));
}

} // namespace yuccascale::kernel::policy

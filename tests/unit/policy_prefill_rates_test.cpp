#include "yuccascale/kernel/policy/prefill_rates.hpp"

#include <gtest/gtest.h>

#include <random>

/// \file
/// \brief Guards against prefill rates that fit one engine only.

namespace yuccascale::kernel::policy {

TEST(prefill_rates, followTheObservedRatesOfEachKindOfEngine)
{
    for (const std::int64_t tokensPerMs : {4, 50, 200}) {
        prefill_rates rates;
        for (int count = 0; count < 20; ++count) {
            rates.observe(true, 10'000, 5'000, milliseconds(15'000) / tokensPerMs);
            rates.observe(false, 10'000, 0, milliseconds(40'000) / tokensPerMs);
        }
        const double expected = 1'000.0 * static_cast<double>(tokensPerMs);
        EXPECT_NEAR(rates.tokensPerSecond(true), expected, 0.1 * expected);
        EXPECT_NEAR(rates.tokensPerSecond(false), expected / 4, 0.1 * expected / 4);
    }
}

TEST(prefill_rates, ignoreShortPromptsAndTimesThatAreNotPositive)
{
    prefill_rates rates;
    const double before = rates.tokensPerSecond(true);
    rates.observe(true, 100, 0, milliseconds(50));
    rates.observe(true, 10'000, 0, milliseconds(0));
    EXPECT_EQ(rates.tokensPerSecond(true), before);
}

TEST(prefill_rates, aFewObservationsThatAreFarTooFastChangeThemLittle)
{
    prefill_rates rates;
    for (int count = 0; count < 200; ++count)
        rates.observe(true, 10'000, 0, milliseconds(count % 10 == 5 ? 1 : 200));
    EXPECT_LT(rates.tokensPerSecond(true), 60'000);
    EXPECT_GT(rates.tokensPerSecond(true), 40'000);
}

TEST(quantile_tracker, followsAQuantileOfANoisySequence)
{
    std::mt19937 random(1);
    std::lognormal_distribution<double> values(0.0, 0.5);
    quantile_tracker tracker(0.75, 100.0);
    double sum = 0;
    constexpr int warmUp = 500;
    constexpr int count = 2'000;
    for (int index = 0; index < warmUp + count; ++index) {
        tracker.observe(values(random));
        sum += index >= warmUp ? tracker.estimate() : 0.0;
    }
    EXPECT_NEAR(sum / count, 1.40, 0.1) << "the third quartile of the distribution is 1.40";
}

} // namespace yuccascale::kernel::policy

#include "yuccascale/kernel/orders/demand_book.hpp"
#include "yuccascale/wire/demand_codec.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace yuccascale::kernel::orders {

namespace {

constexpr instant start{seconds(100)};

requests::demand_report measuredOver(milliseconds interval)
{
    requests::demand_meter meter;
    (void)meter.takeReport(start);
    meter.offered(3'000, 500, true);
    meter.offered(1'000, 300, false);
    requests::demand_report report = meter.takeReport(start + interval);
    report.pool = "engines";
    return report;
}

} // namespace

TEST(demand, isMeasuredAsRates)
{
    const requests::demand_report report = measuredOver(seconds(2));
    EXPECT_EQ(report.prefillTokensPerSecond, 2'000);
    EXPECT_EQ(report.decodeTokensPerSecond, 400);
    EXPECT_EQ(report.nonIdempotentShare, 0.5);
}

TEST(demand, isIdleOnlyWhenNothingIsOfferedAndNothingWaits)
{
    requests::demand_report report;
    EXPECT_TRUE(report.idle());
    report.decodeBacklogTokens = 1;
    EXPECT_FALSE(report.idle());
    EXPECT_FALSE(measuredOver(seconds(2)).idle());
}

TEST(demand, isSummedOverEntriesUntilTheirReportsAreOld)
{
    demand_aggregator aggregator{seconds(5)};
    const std::vector<requests::demand_report> reports{measuredOver(seconds(2))};
    aggregator.update(start, "one", reports);
    aggregator.update(start + seconds(3), "other", reports);
    EXPECT_EQ(aggregator.poolDemand(start + seconds(4), "engines").prefillTokensPerSecond, 4'000);
    EXPECT_EQ(aggregator.poolDemand(start + seconds(6), "engines").prefillTokensPerSecond, 2'000);
    EXPECT_EQ(aggregator.poolDemand(start + seconds(4), "other pool").prefillTokensPerSecond, 0);
}

TEST(demand, invalidNumbersAreReplacedWhenDecoded)
{
    requests::demand_report report = measuredOver(seconds(2));
    report.prefillTokensPerSecond = std::numeric_limits<double>::infinity();
    report.nonIdempotentShare = 7;
    const std::vector<requests::demand_report> sent{report};
    const auto read = wire::decodeDemands(wire::encodeDemands(sent));
    ASSERT_EQ(read.size(), 1U);
    EXPECT_EQ(read.front().prefillTokensPerSecond, 0);
    EXPECT_EQ(read.front().decodeTokensPerSecond, 400);
    EXPECT_EQ(read.front().nonIdempotentShare, 1);
}

} // namespace yuccascale::kernel::orders

#include "fakes/demand_of_30bf086_generated.h"
#include "yuccascale/kernel/orders/work_book.hpp"
#include "yuccascale/wire/demand_codec.hpp"

#include <gtest/gtest.h>

#include <limits>

/// \file
/// \brief The work that entries measure, report, and the leader adds.

namespace yuccascale::kernel::orders {

namespace {

using requests::demand_report;
using requests::work_meter;
using requests::work_report;
using requests::work_span;

constexpr instant start{seconds(100)};

demand_report reportOf(work_report work)
{
    demand_report report;
    report.pool = "engines";
    report.work = std::move(work);
    return report;
}

/// A second in which all work falls into one of its four spans.
demand_report burst(std::size_t span, double tokens)
{
    work_report work;
    work.interval = seconds(1);
    work.spans.resize(4);
    work.spans[span] = {tokens, 0, tokens / 1'000, 0};
    work.prefillTokensPerSecond = 50'000;
    work.counts.offered = 100;
    return reportOf(std::move(work));
}

void update(work_book &book, instant now, const std::string &entry, const demand_report &report)
{
    book.update(now, entry, std::span(&report, 1));
}

} // namespace

/// Guards against busy time that is counted where a request ends in place of while it runs.
TEST(work_meter, countsBusyTimeInEachSpan)
{
    work_meter meter;
    (void)meter.takeReport(start, 0);
    meter.sent(start + milliseconds(100), 3'000, 1, false);
    meter.sent(start + milliseconds(600), 500, 2, true);
    meter.ended(start + milliseconds(850), 2, true);
    const work_report report = meter.takeReport(start + seconds(1), 7);
    EXPECT_EQ(report.interval, seconds(1));
    ASSERT_EQ(report.spans.size(), 4U);
    EXPECT_EQ(report.spans[0], (work_span{3'000, 0, 0.15, 0}));
    EXPECT_EQ(report.spans[1], (work_span{0, 0, 0.25, 0}));
    EXPECT_NEAR(report.spans[2].busySeconds, 0.25 + 2 * 0.15, 1e-9);
    EXPECT_NEAR(report.spans[2].steadySeconds, 2 * 0.15, 1e-9);
    EXPECT_EQ(report.spans[2].steadyTokens, 500);
    EXPECT_NEAR(report.spans[3].busySeconds, 0.25 + 2 * 0.1, 1e-9);
    EXPECT_EQ(report.counts.sent, 2);
    EXPECT_EQ(report.counts.waiting, 7);
    EXPECT_EQ(report.counts.running, 1);
    EXPECT_NEAR(meter.takeReport(start + seconds(2), 0).spans[3].busySeconds, 0.25, 1e-9)
            << "a request that runs on stays counted";
}

/// Guards against a report that grows while no leader takes it.
TEST(work_meter, keepsALimitedNumberOfSpans)
{
    work_meter meter;
    meter.sent(start, 1'000, 1, false);
    const work_report report = meter.takeReport(start + seconds(60), 0);
    EXPECT_EQ(report.spans.size(), 40U);
    double busy = 0;
    for (const work_span &span : report.spans)
        busy += span.busySeconds;
    EXPECT_NEAR(busy, 60, 1e-6);
}

TEST(work_meter, countsWhatCallersFeel)
{
    work_meter meter;
    meter.offered(false);
    meter.offered(true);
    meter.refusedLater(2);
    meter.rejected();
    meter.answered(start, 200, false, true);
    const work_report report = meter.takeReport(start + milliseconds(100), 0);
    EXPECT_EQ(report.counts.offered, 2);
    EXPECT_EQ(report.counts.late, 4);
    EXPECT_EQ(report.counts.rejected, 1);
    ASSERT_EQ(report.spans.size(), 1U);
    EXPECT_EQ(report.spans[0].uncachedTokens, 200) << "more was computed than expected";
}

/// Guards against a wave that is averaged away since the entries report at different times.
TEST(work_book, findsThePeakOfReportsThatAreNotAligned)
{
    work_book book;
    // a burst between 2.0 s and 2.25 s, in another span of each entry's report
    for (std::size_t entry = 0; entry < 4; ++entry) {
        const instant at = start + seconds(3) - static_cast<int>(entry) * milliseconds(250);
        update(book, at, "entry-" + std::to_string(entry), burst(entry, 10'000));
    }
    const auto work = book.work(start + seconds(4), "engines", 4);
    EXPECT_TRUE(work.known());
    EXPECT_NEAR(work.peak.tokensPerSecond, 40'000, 1);
    EXPECT_NEAR(work.peak.busySlots, 40, 0.01);
    EXPECT_EQ(work.prefillTokensPerSecond, 50'000);
}

TEST(work_book, knowsTheWorkOnlyWhileNearlyAllEntriesReport)
{
    work_book book;
    for (int entry = 0; entry < 9; ++entry)
        update(book, start, "entry-" + std::to_string(entry), burst(0, 9'000));
    EXPECT_TRUE(book.work(start + seconds(1), "engines", 10).known());
    EXPECT_NEAR(book.work(start + seconds(1), "engines", 10).peak.tokensPerSecond, 90'000, 1)
            << "the others stand for the one that is silent";
    EXPECT_FALSE(book.work(start + seconds(1), "engines", 11).known());
    EXPECT_FALSE(book.work(start + seconds(4), "engines", 10).known()) << "the reports are old";
    EXPECT_FALSE(book.work(start, "engines", 0).known());
    EXPECT_FALSE(book.work(start, "other pool", 10).known());
}

/// Guards against a peak that is kept for ever, and one that is forgotten within some waves.
TEST(work_book, keepsThePeakForTensOfSeconds)
{
    work_book book;
    update(book, start, "entry", burst(0, 10'000));
    for (int second = 1; second <= 15; ++second)
        update(book, start + seconds(second), "entry", burst(0, 1'000));
    EXPECT_NEAR(book.work(start + seconds(15), "engines", 1).peak.tokensPerSecond, 10'000, 1);
    for (int second = 16; second <= 40; ++second)
        update(book, start + seconds(second), "entry", burst(0, 1'000));
    const auto work = book.work(start + seconds(40), "engines", 1);
    EXPECT_NEAR(work.peak.tokensPerSecond, 1'000, 1);
    EXPECT_NEAR(work.mean.tokensPerSecond, 1'000, 100);
}

/// Guards against strain that is taken from reports before the last step.
TEST(work_book, takesStrainFromTheLastSeconds)
{
    work_book book;
    demand_report late = burst(0, 1'000);
    late.work->counts.late = 20;
    update(book, start, "entry", late);
    EXPECT_NEAR(book.work(start + seconds(1), "engines", 1).strain.late, 0.2, 1e-9);
    for (int second = 1; second <= 6; ++second)
        update(book, start + seconds(second), "entry", burst(0, 1'000));
    EXPECT_EQ(book.work(start + seconds(6), "engines", 1).strain.late, 0);
}

TEST(work_messages, areDecodedAsTheyWereEncoded)
{
    const std::vector<demand_report> sent{burst(2, 1'000)};
    const auto read = wire::decodeDemands(wire::encodeDemands(sent));
    ASSERT_EQ(read.size(), 1U);
    ASSERT_TRUE(read[0].work);
    EXPECT_EQ(*read[0].work, *sent[0].work);
    EXPECT_FALSE(read[0].idle()) << "an entry without load reports too";
}

/// Guards against numbers of another node that poison the sum.
TEST(work_messages, invalidNumbersAreReplaced)
{
    demand_report bad = burst(0, 1'000);
    bad.work->spans[0] = {std::numeric_limits<double>::infinity(), 5, -3, 7};
    bad.work->prefillTokensPerSecond = -1;
    const auto read = wire::decodeDemands(wire::encodeDemands(std::span(&bad, 1)));
    ASSERT_TRUE(read.at(0).work);
    EXPECT_EQ(read[0].work->spans[0], work_span{});
    EXPECT_EQ(read[0].work->prefillTokensPerSecond, 0);
}

/// Guards against the demand of a former build being taken for no work.
TEST(work_messages, aFormerBuildSaysNothingOfWork)
{
    namespace former = former_30bf086::fb;
    flatbuffers::FlatBufferBuilder builder;
    const auto pool = builder.CreateString("engines");
    const std::vector rows{former::CreateDemand(builder, pool, 4'000, 300, 20, 10, 0.5)};
    builder.Finish(former::CreateDemands(builder, builder.CreateVector(rows)));
    const auto read = wire::decodeDemands(
            {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()});
    ASSERT_EQ(read.size(), 1U);
    EXPECT_EQ(read[0].prefillTokensPerSecond, 4'000);
    EXPECT_FALSE(read[0].work);
    work_book book;
    book.update(start, "entry", read);
    EXPECT_FALSE(book.work(start, "engines", 1).known());
}

TEST(work_messages, aFormerBuildReadsTheDemandOfThisOne)
{
    namespace former = former_30bf086::fb;
    demand_report report = burst(0, 1'000);
    report.prefillTokensPerSecond = 4'000;
    report.nonIdempotentShare = 0.5;
    const std::string bytes = wire::encodeDemands(std::span(&report, 1));
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                   bytes.size());
    ASSERT_TRUE(verifier.VerifyBuffer<former::Demands>(nullptr));
    const auto *rows = flatbuffers::GetRoot<former::Demands>(bytes.data())->demands();
    ASSERT_EQ(rows->size(), 1U);
    EXPECT_EQ(rows->Get(0)->pool()->str(), "engines");
    EXPECT_EQ(rows->Get(0)->prefill_tokens_per_second(), 4'000);
    EXPECT_EQ(rows->Get(0)->non_idempotent_share(), 0.5);
}

/// Guards against messages that differ from the former build's where the part is off.
TEST(work_messages, withoutWorkTheBytesAreTheFormerOnes)
{
    namespace former = former_30bf086::fb;
    demand_report report;
    report.pool = "engines";
    report.prefillTokensPerSecond = 4'000;
    report.decodeTokensPerSecond = 300;
    flatbuffers::FlatBufferBuilder builder;
    const auto pool = builder.CreateString("engines");
    const std::vector rows{former::CreateDemand(builder, pool, 4'000, 300)};
    builder.Finish(former::CreateDemands(builder, builder.CreateVector(rows)));
    EXPECT_EQ(wire::encodeDemands(std::span(&report, 1)),
              (std::string{reinterpret_cast<const char *>(builder.GetBufferPointer()),
                           builder.GetSize()}));
}

} // namespace yuccascale::kernel::orders

#include "fakes/load_of_30bf086_generated.h"
#include "yuccascale/kernel/requests/endpoint_driver.hpp"
#include "yuccascale/kernel/requests/pool_scheduler.hpp"
#include "yuccascale/wire/load_codec.hpp"
#include "yuccascale/wire/load_generated.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <string>

/// \file
/// \brief Guards against wrong reading of the reported pace, against keeping what was learnt from a
/// process that is gone, and against load messages that the former build cannot read.

namespace yuccascale::kernel::requests {

namespace {

namespace former = former_30bf086::fb;

constexpr instant start{seconds(100)};

[[nodiscard]] state::pool poolOf(std::int64_t startedMs)
{
    state::pool pool;
    pool.name = "pool";
    for (const char *name : {"e1", "e2"}) {
        state::endpoint row;
        row.name = name;
        row.address = std::string("10.0.0.1:") + name[1];
        row.startedMs = startedMs;
        row.slots = 16;
        pool.endpoints.push_back(row);
    }
    return pool;
}

[[nodiscard]] std::optional<endpoint_report> reportOf(const std::string &header)
{
    const auto driver = endpoint_driver_registry::make("platform").value();
    const auto reader = driver->reader(request{}, {});
    answer_head head;
    head.status = 200;
    head.headers = {{"X-Server-Load", header}};
    std::vector<event> ignored;
    static_cast<void>(reader->head(head, ignored));
    return reader->load(start);
}

[[nodiscard]] policy::routing_outcome longPrompt(double tokensPerSecond)
{
    policy::routing_outcome outcome;
    outcome.endpoint = "e1";
    outcome.promptTokens = 10'000;
    outcome.timeToFirstToken = std::chrono::duration_cast<nanoseconds>(
            std::chrono::duration<double>(10'000 / tokensPerSecond));
    outcome.totalTime = outcome.timeToFirstToken;
    outcome.answered = true;
    return outcome;
}

[[nodiscard]] double rateOf(const endpoint_table &table, std::string_view endpoint)
{
    for (const learnt_endpoint &one : table.learnt(start)) {
        if (one.name == endpoint)
            return one.prefillTokensPerSecond;
    }
    return -1;
}

/// A table whose endpoints report a pace, with a fast e1 and an e2 at the pool's rate.
void teach(endpoint_table &table)
{
    table.report("e1", *reportOf("3,1,16,100"));
    for (int count = 0; count < 8; ++count)
        table.observe(start, start, longPrompt(80'000));
}

/// Prompt tokens that a caller may claim in a header.
constexpr std::int64_t claimedTokens = 1'000'000'000'000;

[[nodiscard]] double queuedTokens(const endpoint_table &table, instant now)
{
    return table.views(now, {}).front().speed->queuedTokens;
}

[[nodiscard]] endpoint_rate rateRow()
{
    endpoint_rate rate{"pool", "e1", 7, 3, {48'200, 0.0125, false}};
    rate.pace = 2.5;
    rate.age = milliseconds(120);
    rate.running = 5;
    rate.queued = 2;
    rate.slots = 6;
    rate.promptSentAge = milliseconds(300);
    rate.firstTokenAge = milliseconds(100);
    return rate;
}

[[nodiscard]] std::vector<endpoint_rate> sent(const endpoint_rate &rate)
{
    endpoint_updates updates;
    updates.rates = {rate};
    return wire::decodeLoad(wire::encodeLoad({{}, updates})).updates.rates;
}

} // namespace

TEST(load_header, fourFiguresAreRead)
{
    const auto report = reportOf("3,1,16,250");
    ASSERT_TRUE(report);
    EXPECT_EQ(report->load.running, 3);
    EXPECT_EQ(report->load.queued, 1);
    EXPECT_EQ(report->load.slots, 16);
    EXPECT_DOUBLE_EQ(report->load.pace, 2.5);
}

TEST(load_header, furtherFiguresAreIgnored)
{
    EXPECT_DOUBLE_EQ(reportOf("3,1,16,250,9")->load.pace, 2.5);
    EXPECT_DOUBLE_EQ(reportOf("3,1,16,250,x")->load.pace, 2.5);
}

TEST(load_header, aFigureThatCannotBeReadIsNotReportedAndTheOthersAreUsed)
{
    for (const char *header :
         {"3,1", "3,1,16", "3,1,16,", "3,1,16,-250", "3,1,16,0", "3,1,16,nan", "3,1,16,2.5",
          "3,1,16,99999999999999999999", "3,1,16,1000000", "3,1,16, 250", "3,1,16,250x"}) {
        const auto report = reportOf(header);
        ASSERT_TRUE(report) << header;
        EXPECT_EQ(report->load.running, 3) << header;
        EXPECT_EQ(report->load.queued, 1) << header;
        EXPECT_EQ(report->load.pace, 0) << header;
    }
    const auto withoutSlots = reportOf("3,1,-4,250");
    EXPECT_EQ(withoutSlots->load.slots, 0);
    EXPECT_DOUBLE_EQ(withoutSlots->load.pace, 2.5);
    EXPECT_EQ(reportOf("3,1,0,250")->load.slots, 0);
    EXPECT_FALSE(reportOf("nan,1,16,250"));
    EXPECT_FALSE(reportOf(""));
}

TEST(endpoint_table_rates, nothingIsKnownOrToldUntilAnEndpointReportsAPace)
{
    endpoint_table table;
    table.setRows(poolOf(7));
    table.report("e1", *reportOf("3,1,4"));
    table.observe(start, start, longPrompt(80'000));
    EXPECT_FALSE(table.views(start, {}).front().speed);
    EXPECT_TRUE(table.learnt(start).empty());
    EXPECT_TRUE(table.takeRates(start, "pool").empty());
    table.report("e2", *reportOf("3,1,4,100"));
    const auto views = table.views(start, {});
    ASSERT_TRUE(views[0].speed);
    EXPECT_EQ(views[0].speed->slots, 4) << "the reported slots replace the listed ones";
}

TEST(endpoint_table_rates, areForgottenWhenTheProcessChanges)
{
    endpoint_table table;
    table.setRows(poolOf(7));
    teach(table);
    const double learnt = rateOf(table, "e1");
    EXPECT_GT(learnt, 70'000);
    table.setRows(poolOf(7));
    EXPECT_EQ(rateOf(table, "e1"), learnt) << "the same processes";
    table.setRows(poolOf(8));
    EXPECT_EQ(table.views(start, {}).front().speed->pace.reported(), false);
}

TEST(endpoint_table_rates, areForgottenWhenTheIncarnationChanges)
{
    endpoint_table table;
    table.setRows(poolOf(7));
    endpoint_report first = *reportOf("3,1,16,100");
    first.incarnation = 1;
    table.report("e1", first);
    for (int count = 0; count < 8; ++count) {
        policy::routing_outcome other = longPrompt(40'000);
        other.endpoint = "e2";
        table.observe(start, start, other);
        table.observe(start, start, longPrompt(80'000));
    }
    EXPECT_GT(rateOf(table, "e1"), 1.3 * rateOf(table, "e2"));
    endpoint_report second = first;
    second.incarnation = 2;
    table.report("e1", second);
    EXPECT_NEAR(rateOf(table, "e1"), std::sqrt(40'000.0 * 80'000.0), 1'000)
            << "the rate of the whole pool";
}

TEST(endpoint_table_rates, reachTheOtherEntriesOnce)
{
    endpoint_table first;
    endpoint_table second;
    first.setRows(poolOf(7));
    second.setRows(poolOf(7));
    first.report("e1", *reportOf("3,1,6,250"));
    first.observe(start, start, longPrompt(32'000));
    for (const endpoint_rate &rate : first.takeRates(start + milliseconds(100), "pool"))
        second.applyRemoteRate(start + milliseconds(100), rate);
    EXPECT_NEAR(rateOf(second, "e1"), 80'000, 1'000) << "at the usual pace";
    const auto view = second.views(start + milliseconds(100), {}).front();
    EXPECT_EQ(view.report.running, 3);
    EXPECT_EQ(view.speed->slots, 6);
    EXPECT_GT(view.speed->pace.expected(start + milliseconds(100), 0), 1.8);
    EXPECT_TRUE(first.takeRates(start + milliseconds(200), "pool").empty());
    EXPECT_TRUE(second.takeRates(start + milliseconds(200), "pool").empty())
            << "what came from another entry is not passed on";
}

TEST(endpoint_table_rates, ofAnotherProcessOrAnOlderReportAreNotApplied)
{
    endpoint_table table;
    table.setRows(poolOf(7));
    table.report("e1", *reportOf("1,0,16,100"));
    endpoint_rate rate = rateRow();
    rate.startedMs = 6;
    table.applyRemoteRate(start, rate);
    EXPECT_EQ(rateOf(table, "e1"), 0) << "nothing is learnt";
    rate = rateRow();
    rate.incarnation = 0;
    table.applyRemoteRate(start, rate);
    EXPECT_EQ(table.views(start, {}).front().report.running, 1) << "this entry's report is newer";
    EXPECT_GT(rateOf(table, "e1"), 0);
    endpoint_rate unknown = rateRow();
    unknown.endpoint = "e9";
    table.applyRemoteRate(start, unknown);
}

/// Guards against pools that are served in another way by a header alone, although their router
/// does not use the pace: their dispatch window and the limit by a report would change.
TEST(endpoint_table_rates, takeEffectOnlyWithARouterThatUsesThePace)
{
    for (const char *router : {"round_robin", "least_outstanding", "predicted_first_token",
                               "prompt_homes", "prompt_homes_paced"}) {
        pool_scheduler scheduler({policy::router_registry::make(router, 1).value(),
                                  policy::admission_registry::make("deadline").value(),
                                  policy::fair_queue_registry::make("fair_share").value()},
                                 {});
        scheduler.setRows(poolOf(7));
        endpoint_table &table = scheduler.endpoints();
        table.report("e1", *reportOf("60,0,16,100"));
        endpoint_rate remote = rateRow();
        remote.endpoint = "e2";
        remote.age = {};
        scheduler.applyRemoteRate(start, remote);
        const bool used = std::string_view(router) == "prompt_homes_paced";
        const auto views = table.views(start, {});
        EXPECT_EQ(table.paced(), used) << router;
        EXPECT_EQ(views[0].speed.has_value(), used) << router;
        EXPECT_EQ(views[0].usable, used) << router << ": full by its report";
        EXPECT_EQ(views[1].report.running, used ? remote.running : 0) << router;
    }
}

/// Guards against an endpoint that is never chosen again since a caller claimed more prompt tokens
/// than an engine prefills in years, and the engine rejected the request.
TEST(endpoint_table_queue, aPromptThatEndedWithoutAFirstTokenIsRemoved)
{
    endpoint_table table;
    table.setRows(poolOf(7));
    teach(table);
    table.requestSent(start, "e1", 1, {4'000, 1});
    const double before = queuedTokens(table, start);
    EXPECT_GT(before, 0);
    table.requestSent(start, "e1", 2, {claimedTokens, 1});
    table.requestEnded("e1", 2);
    EXPECT_EQ(queuedTokens(table, start), before) << "the other prompt stays";
    table.requestEnded("e1", 1);
    EXPECT_EQ(queuedTokens(table, start), 0);
}

TEST(endpoint_table_queue, aClaimedPromptCountsForNoMoreThanAPromptThatEnginesAccept)
{
    endpoint_table table;
    table.setRows(poolOf(7));
    teach(table);
    table.requestSent(start, "e1", 1, {claimedTokens, 1});
    EXPECT_LE(queuedTokens(table, start), 60 * rateOf(table, "e1"));
    EXPECT_EQ(queuedTokens(table, start + seconds(60)), 0);
}

TEST(endpoint_table_queue, promptsOfOtherEntriesExpireWhenTheirFirstTokenIsNeverTold)
{
    endpoint_table table;
    table.setRows(poolOf(7));
    teach(table);
    for (int count = 0; count < 100; ++count)
        table.addRemotePrompt(start, "e1", claimedTokens, seconds(100'000));
    EXPECT_GT(queuedTokens(table, start + seconds(10)), 0);
    EXPECT_EQ(queuedTokens(table, start + seconds(60)), 0);
    table.addRemotePrompt(start + seconds(60), "e1", 4'000, milliseconds(50));
    EXPECT_NEAR(queuedTokens(table, start + seconds(60)), 4'000, 1);
}

TEST(load_rates, areDecodedAsTheyWereEncoded)
{
    const auto received = sent(rateRow());
    ASSERT_EQ(received.size(), 1U);
    const endpoint_rate &rate = received.front();
    EXPECT_EQ(rate.pool, "pool");
    EXPECT_EQ(rate.endpoint, "e1");
    EXPECT_EQ(rate.startedMs, 7);
    EXPECT_EQ(rate.incarnation, 3U);
    EXPECT_FLOAT_EQ(static_cast<float>(rate.seen.prefillTokensPerSecond), 48'200);
    EXPECT_FLOAT_EQ(static_cast<float>(rate.seen.workSeconds), 0.0125F);
    EXPECT_DOUBLE_EQ(rate.pace, 2.5);
    EXPECT_EQ(rate.age, milliseconds(120));
    EXPECT_EQ(rate.running, 5);
    EXPECT_EQ(rate.queued, 2);
    EXPECT_EQ(rate.slots, 6);
    EXPECT_EQ(rate.promptSentAge, milliseconds(300));
    EXPECT_EQ(rate.firstTokenAge, milliseconds(100));
}

TEST(load_rates, withInvalidFiguresAreLeftOut)
{
    endpoint_rate rate = rateRow();
    rate.seen.prefillTokensPerSecond = std::numeric_limits<double>::infinity();
    EXPECT_TRUE(sent(rate).empty());
    rate.seen.prefillTokensPerSecond = -1;
    EXPECT_TRUE(sent(rate).empty());
    rate = rateRow();
    rate.age = seconds(600);
    EXPECT_EQ(sent(rate).front().pace, 0) << "too old to count";
}

/// Guards against a row that the sender did not check.
TEST(load_rates, ofASenderThatDoesNotCheckItsFiguresAreLeftOut)
{
    using namespace wire::fb;
    flatbuffers::FlatBufferBuilder builder;
    const auto text = builder.CreateString("e1");
    std::vector<flatbuffers::Offset<Rate>> rows{
            CreateRate(builder, text, text, 0, 0, false, 1, 1, 4'000'000'000U, 1, 1, 1, 1),
            CreateRate(builder, text, text, 0, 0, false, 1, 1, 100, 4'000'000'000U, 1, 1, 1),
            CreateRate(builder, text, text, 0, 0, false, 1, 1, 100, 1, -1, 1, 1),
            CreateRate(builder, text, text, 0, 0, false, 1, 1, 100, 1, 1, 1, 1, 10, 20),
            CreateRate(builder, 0, text, 0, 0, false, 1, 1, 100, 1, 1, 1, 1)};
    const auto rates = builder.CreateVector(rows);
    LoadBuilder load(builder);
    load.add_rates(rates);
    builder.Finish(load.Finish());
    EXPECT_TRUE(wire::decodeLoad({reinterpret_cast<const char *>(builder.GetBufferPointer()),
                                  builder.GetSize()})
                        .empty());
}

TEST(load_rates, theFormerBuildReadsTheRestOfAMessageWithRates)
{
    endpoint_updates updates;
    updates.rates = {rateRow()};
    updates.limits.push_back({"pool", "e1", 1.75});
    const std::string bytes = wire::encodeLoad({{{"pool", "o", 5}}, updates});
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                   bytes.size());
    ASSERT_TRUE(verifier.VerifyBuffer<former::Load>(nullptr));
    const former::Load &load = *flatbuffers::GetRoot<former::Load>(bytes.data());
    ASSERT_EQ(load.charges()->size(), 1U);
    EXPECT_EQ(load.charges()->Get(0)->cost(), 5);
    ASSERT_EQ(load.limits()->size(), 1U);
    EXPECT_EQ(load.limits()->Get(0)->requests_per_second(), 1.75);
}

TEST(load_rates, aMessageOfTheFormerBuildHasNone)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto pool = builder.CreateString("pool");
    const auto limit = former::CreateLimit(builder, pool, pool, 2);
    const auto limits = builder.CreateVector(&limit, 1);
    builder.Finish(former::CreateLoad(builder, 0, 0, 0, 0, 0, 0, limits));
    const auto message = wire::decodeLoad(
            {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()});
    EXPECT_EQ(message.updates.limits.size(), 1U);
    EXPECT_TRUE(message.updates.rates.empty());
}

/// Guards against messages that grow without need, and measures the size stated in
/// docs/CAPACITY.md.
TEST(load_rates, takeNoBytesWithoutAPaceAndFewWithOne)
{
    wire::load_message message{{{"pool", "o", 5}}};
    const std::size_t without = wire::encodeLoad(message).size();
    message.updates.rates = {rateRow()};
    const std::size_t one = wire::encodeLoad(message).size();
    message.updates.rates.push_back(rateRow());
    message.updates.rates.back().endpoint = "e2";
    const std::size_t two = wire::encodeLoad(message).size();
    RecordProperty("withoutRates", static_cast<int>(without));
    RecordProperty("firstRow", static_cast<int>(one - without));
    RecordProperty("nextRow", static_cast<int>(two - one));
    EXPECT_LE(two - one, 100U);
    flatbuffers::FlatBufferBuilder builder;
    const auto pool = builder.CreateSharedString("pool");
    const auto organisation = builder.CreateSharedString("o");
    const auto charge = former::CreateCharge(builder, pool, organisation, 5);
    const auto charges = builder.CreateVector(&charge, 1);
    const auto empty = [&]<typename Table>(Table *) {
        return builder.CreateVector(std::vector<flatbuffers::Offset<Table>>());
    };
    const auto placements = empty(static_cast<former::Placement *>(nullptr));
    const auto failures = empty(static_cast<former::Failure *>(nullptr));
    const auto leaving = empty(static_cast<former::Leaving *>(nullptr));
    const auto crashes = empty(static_cast<former::Crash *>(nullptr));
    const auto cleared = empty(static_cast<former::Cleared *>(nullptr));
    const auto limits = empty(static_cast<former::Limit *>(nullptr));
    builder.Finish(former::CreateLoad(builder, charges, placements, failures, leaving, crashes,
                                      cleared, limits));
    const std::string formerBytes(reinterpret_cast<const char *>(builder.GetBufferPointer()),
                                  builder.GetSize());
    message.updates.rates.clear();
    EXPECT_EQ(wire::encodeLoad(message), formerBytes) << "byte for byte the former message";
}

} // namespace yuccascale::kernel::requests

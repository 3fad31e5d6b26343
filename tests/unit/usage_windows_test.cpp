#include "fakes/state_commands.hpp"

#include <gtest/gtest.h>

namespace yuccascale::kernel::state {

namespace {

using namespace fakes;

constexpr std::int64_t secondWindowMs = firstWindowMs + windowMs;

json figuresOf(const command_result &answer)
{
    EXPECT_TRUE(answer.accepted) << answer.message;
    return json::parse(answer.detail.at("figures").get<std::string>());
}

std::uint64_t answersIn(const json &lines)
{
    std::uint64_t answers = 0;
    for (const json &line : lines)
        answers += line.at("answers").get<std::uint64_t>();
    return answers;
}

} // namespace

TEST(usage_windows, aRepeatedBatchCountsOnce)
{
    applied_log log;
    EXPECT_TRUE(log.apply(makeUsage("a/1", 1, firstWindowMs, firstWindowMs, 3)).accepted);
    log.restart();
    EXPECT_TRUE(log.apply(makeUsage("a/1", 1, firstWindowMs, firstWindowMs, 3)).accepted);
    EXPECT_TRUE(log.apply(makeUsage("a/1", 2, secondWindowMs, firstWindowMs, 4)).accepted);
    const json figures = figuresOf(log.apply(freeze_window{firstWindowMs, 1, windowMs}));
    EXPECT_EQ(answersIn(figures.at("usage")), 7U);
}

TEST(usage_windows, aWatermarkAdvancesOnlyWhenNoEarlierBatchIsMissing)
{
    applied_log log;
    EXPECT_TRUE(log.apply(makeUsage("a/1", 2, secondWindowMs, firstWindowMs, 4)).accepted);
    EXPECT_EQ(log.apply(freeze_window{firstWindowMs, 1, windowMs}).kind, error_kind::NotReady);
    EXPECT_TRUE(log.apply(makeUsage("a/1", 1, firstWindowMs, firstWindowMs, 3)).accepted);
    EXPECT_EQ(
            answersIn(figuresOf(log.apply(freeze_window{firstWindowMs, 1, windowMs})).at("usage")),
            7U);
}

TEST(usage_windows, freezeWaitsForEveryLiveEntryButNotForRetiredOnes)
{
    applied_log log;
    EXPECT_TRUE(log.apply(makeUsage("a/1", 1, secondWindowMs, firstWindowMs, 3)).accepted);
    EXPECT_TRUE(log.apply(makeUsage("b/1", 1, firstWindowMs, firstWindowMs, 5)).accepted);
    const command_result early = log.apply(freeze_window{firstWindowMs, 1, windowMs});
    EXPECT_EQ(early.kind, error_kind::NotReady);
    EXPECT_NE(early.message.find(" b/1"), std::string::npos);
    EXPECT_TRUE(log.apply(retire_entry{"b/1"}).accepted);
    EXPECT_EQ(
            answersIn(figuresOf(log.apply(freeze_window{firstWindowMs, 1, windowMs})).at("usage")),
            8U);
}

TEST(usage_windows, lateRecordsAreCountedInTheNextWindowNotInAFrozenOne)
{
    applied_log log;
    EXPECT_TRUE(log.apply(makeUsage("a/1", 1, secondWindowMs, firstWindowMs, 3)).accepted);
    EXPECT_TRUE(log.apply(makeUsage("b/1", 1, firstWindowMs, firstWindowMs, 5)).accepted);
    EXPECT_TRUE(log.apply(retire_entry{"b/1"}).accepted);
    const command_result frozen = log.apply(freeze_window{firstWindowMs, 1, windowMs});
    EXPECT_TRUE(log.apply(makeUsage("b/1", 2, secondWindowMs, firstWindowMs, 2)).accepted);
    log.restart();
    const command_result again = log.apply(freeze_window{firstWindowMs, 2, windowMs});
    EXPECT_EQ(again.detail.at("figures"), frozen.detail.at("figures"));
    EXPECT_TRUE(log.apply(settle_window{firstWindowMs}).accepted);
    EXPECT_EQ(log.apply(freeze_window{firstWindowMs, 2, windowMs}).kind, error_kind::Conflict);
    EXPECT_TRUE(
            log.apply(makeUsage("a/1", 2, secondWindowMs + windowMs, secondWindowMs, 1)).accepted);
    const json next = figuresOf(log.apply(freeze_window{secondWindowMs, 2, windowMs}));
    EXPECT_EQ(answersIn(next.at("usage")), 1U);
    EXPECT_EQ(answersIn(next.at("late")), 2U);
    EXPECT_EQ(next.at("late")[0].at("window_start_ms"), firstWindowMs);
}

TEST(usage_windows, refusesToFreezeForAReporterWithAnOlderFence)
{
    applied_log log;
    EXPECT_TRUE(
            log.apply(makeUsage("a/1", 1, secondWindowMs + windowMs, firstWindowMs, 3)).accepted);
    EXPECT_TRUE(log.apply(freeze_window{firstWindowMs, 5, windowMs}).accepted);
    EXPECT_EQ(log.apply(freeze_window{secondWindowMs, 4, windowMs}).kind, error_kind::Forbidden);
}

TEST(usage_windows, chargesEndpointsByTheMillisecondWithoutRoundingLoss)
{
    applied_log log;
    edit_tables edit = firstEdit();
    edit.putPools[0].endpoints[0].pricePerHour = 0.000007;
    edit.putPools[0].endpoints[1].pricePerHour = 1.0;
    edit.wallMs = firstWindowMs + 1'000;
    EXPECT_TRUE(log.apply(edit, "op-1").accepted);
    std::int64_t cost = 0;
    constexpr int windows = 60;
    for (int window = 0; window < windows; ++window) {
        const std::int64_t startMs = firstWindowMs + window * windowMs;
        const json figures = figuresOf(log.apply(freeze_window{startMs, 1, windowMs}));
        EXPECT_EQ(figures.at("endpoints")[1].at("endpoint_ms"),
                  windowMs - (window == 0 ? 1'000 : 0));
        cost += figures.at("cost_micro").get<std::int64_t>();
        log.restart();
    }
    constexpr std::int64_t ranMs = windows * windowMs - 1'000;
    EXPECT_EQ(cost, ranMs * (7 + 1'000'000) / 3'600'000);
}

} // namespace yuccascale::kernel::state

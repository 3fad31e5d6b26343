#include "yuccascale/kernel/requests/part_suspects.hpp"

#include <gtest/gtest.h>

namespace yuccascale::kernel::requests {

namespace {

constexpr instant start{seconds(100)};

/// Answers ten prompts of other parts.
void answerOthers(part_suspects &suspects, instant now)
{
    for (std::uint64_t part = 1'000; part < 1'010; ++part)
        suspects.answered(now, {part});
}

/// Crashes another endpoint every two seconds, and answers other prompts in between.
void crashEach(part_suspects &suspects, const std::vector<part_set> &parts)
{
    for (std::size_t index = 0; index < parts.size(); ++index) {
        const instant now = start + seconds(2 * index);
        for (int step = 0; step < 4; ++step)
            answerOthers(suspects, now + milliseconds(500 * step));
        suspects.crashed(now, "e" + std::to_string(index), parts[index], 1);
    }
}

[[nodiscard]] std::vector<prompt_part> promptOf(std::initializer_list<std::uint64_t> ids)
{
    std::vector<prompt_part> parts;
    for (const std::uint64_t id : ids)
        parts.push_back({id, 100});
    return parts;
}

} // namespace

TEST(part_suspects, findsThePartThatIsPresentInEveryCrash)
{
    part_suspects suspects;
    crashEach(suspects, {{1, 9}, {2, 9}, {3, 9}});
    EXPECT_EQ(suspects.takeCauses(start + seconds(6)), (std::vector<part_set>{{9}}));
    EXPECT_TRUE(suspects.isBanned(start + seconds(6), promptOf({1, 9, 77})));
    EXPECT_FALSE(suspects.isBanned(start + seconds(6), promptOf({1, 2, 77})));
    EXPECT_FALSE(suspects.isBanned(start + seconds(6), promptOf({1, 9})))
            << "the last part belongs to the request alone";
    EXPECT_TRUE(suspects.takeCauses(start + seconds(6)).empty()) << "each cause is found once";
}

TEST(part_suspects, bansPartsThatAreAlwaysTogetherOnlyTogetherUntilOneIsCleared)
{
    part_suspects suspects;
    crashEach(suspects, {{1, 9}, {1, 9}, {1, 9}});
    const instant now = start + seconds(6);
    EXPECT_EQ(suspects.takeCauses(now), (std::vector<part_set>{{1, 9}}));
    EXPECT_FALSE(suspects.isBanned(now, promptOf({1, 5, 77}))) << "may clear its first part";
    EXPECT_EQ(suspects.answered(now, {1, 5}), (part_set{1}));
    EXPECT_TRUE(suspects.takeCauses(now).empty()) << "evaluated a moment ago";
    EXPECT_EQ(suspects.takeCauses(now + seconds(1)), (std::vector<part_set>{{9}}));
    EXPECT_TRUE(suspects.isBanned(now, promptOf({5, 9, 77})));
}

TEST(part_suspects, anAnswerClearsAPart)
{
    part_suspects suspects;
    crashEach(suspects, {{9}, {9}});
    EXPECT_EQ(suspects.answered(start + seconds(4), {9}), (part_set{9}));
    suspects.crashed(start + seconds(8), "e8", {9}, 1);
    EXPECT_TRUE(suspects.takeCauses(start + seconds(8)).empty());
}

TEST(part_suspects, crashesAtTheSameMomentCountOnce)
{
    part_suspects suspects;
    answerOthers(suspects, start);
    for (int number = 0; number < 12; ++number)
        suspects.crashed(start + milliseconds(20 * number), "e" + std::to_string(number), {9}, 1);
    EXPECT_TRUE(suspects.takeCauses(start + seconds(1)).empty());
}

TEST(part_suspects, reportsOfOneCrashFromSeveralEntriesAreOneCrash)
{
    part_suspects suspects;
    for (int step = 0; step < 10; ++step)
        answerOthers(suspects, start);
    EXPECT_TRUE(suspects.crashed(start, "e1", {1, 9}, 1));
    EXPECT_FALSE(suspects.crashed(start + milliseconds(700), "e1", {9}, 0));
    EXPECT_TRUE(suspects.crashed(start + milliseconds(1'500), "e1", {2}, 1));
    suspects.crashed(start + seconds(4), "e2", {9}, 1);
    EXPECT_TRUE(suspects.takeCauses(start + seconds(4)).empty());
}

TEST(part_suspects, needsMoreCrashesWhileRequestsAreLostInOthersToo)
{
    part_suspects calm;
    crashEach(calm, {{9}, {9}, {9}, {9}});
    EXPECT_EQ(calm.takeCauses(start + seconds(6)), (std::vector<part_set>{{9}}));
    part_suspects unrest;
    for (int number = 0; number < 30; ++number)
        unrest.crashed(start + seconds(6), "u" + std::to_string(number), {100}, 2);
    crashEach(unrest, {{9}, {9}, {9}, {9}});
    EXPECT_TRUE(unrest.takeCauses(start + seconds(6)).empty());
}

TEST(part_suspects, fewAnswersProveLittle)
{
    part_suspects suspects;
    answerOthers(suspects, start);
    for (int number = 0; number < 4; ++number)
        suspects.crashed(start + seconds(2 * number), "e" + std::to_string(number), {9}, 1);
    EXPECT_TRUE(suspects.takeCauses(start + seconds(6)).empty());
}

TEST(part_suspects, banFingerprintsNameThePoolAndAllParts)
{
    const std::set<std::string> bans{partBanOf("engines", {0x5c1e07a2, 9}), "12-34",
                                     "parts:engines:", "parts:engines:xyz"};
    EXPECT_TRUE(isBannedByParts(bans, "engines", promptOf({9, 1, 0x5c1e07a2, 77})));
    EXPECT_FALSE(isBannedByParts(bans, "engines", promptOf({9, 1, 77})));
    EXPECT_FALSE(isBannedByParts(bans, "others", promptOf({9, 0x5c1e07a2, 77})));
    EXPECT_FALSE(isBannedByParts(bans, "engines", {}));
}

} // namespace yuccascale::kernel::requests

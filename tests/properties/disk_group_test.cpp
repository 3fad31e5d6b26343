#include "properties/disk_group.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <vector>

namespace yuccascale::properties {

namespace {

constexpr std::uint64_t ciScheduleCount = 40;
constexpr std::uint64_t ciFirstSeed = 43'000'000;

std::uint64_t environmentNumber(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// \param formerSeed one that failed once
[[nodiscard]] std::vector<std::uint64_t> seedsFromEnvironment(std::uint64_t formerSeed)
{
    const std::uint64_t schedules = environmentNumber("YUCCASCALE_SCHEDULES", ciScheduleCount);
    const std::uint64_t firstSeed = environmentNumber("YUCCASCALE_SEED", ciFirstSeed);
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + schedules; ++seed)
        seeds.push_back(seed);
    if (std::getenv("YUCCASCALE_SEED") == nullptr)
        seeds.push_back(formerSeed);
    return seeds;
}

/// Three of three, five of five, and three of five replicas vote.
void expectChangesAfterTheLastDiskHasRoom(bool otherFaults, std::uint64_t formerSeed)
{
    const std::vector<std::uint64_t> seeds = seedsFromEnvironment(formerSeed);
    std::size_t acknowledged = 0;
    std::size_t failedWrites = 0;
    milliseconds slowest{};
    for (const std::uint64_t seed : seeds) {
        const bool five = seed % 3 != 0;
        disk_group group({seed, five ? 5U : 3U, seed % 3 == 1 ? 5U : 3U, otherFaults});
        const std::string violation = group.run();
        ASSERT_EQ(violation, "") << "YUCCASCALE_SCHEDULES=1 YUCCASCALE_SEED=" << seed << "\n"
                                 << group.trace();
        acknowledged += group.acknowledged();
        failedWrites += group.failedWrites();
        slowest = std::max(slowest, group.recoveredAfter());
    }
    // without failed writes the schedules would pass without testing anything
    EXPECT_GT(failedWrites, seeds.size());
    EXPECT_GT(acknowledged, seeds.size() * 20);
    std::cout << seeds.size() << " schedules, " << acknowledged << " edits acknowledged, "
              << failedWrites << " failed writes, at most " << slowest.count()
              << " ms to the next acknowledgement\n";
}

} // namespace

/// Guards against a group that acknowledges no change once disks have been full in turn.
TEST(disk_group, changesAreAcknowledgedSoonAfterTheLastFullDiskHasRoom)
{
    constexpr std::uint64_t aSpareWasRemovedAgainAndAgain = 43'000'052;
    expectChangesAfterTheLastDiskHasRoom(false, aSpareWasRemovedAgainAndAgain);
}

TEST(disk_group, theSameWithKillsLossesOfPowerAndLostDisks)
{
    constexpr std::uint64_t theLeaderWasNoSeed = 44'000'009;
    expectChangesAfterTheLastDiskHasRoom(true, theLeaderWasNoSeed);
}

} // namespace yuccascale::properties

#include "properties/disk_group.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace yuccascale::properties {

namespace {

constexpr std::uint64_t ciScheduleCount = 40;
constexpr std::uint64_t ciFirstSeed = 43'000'000;

std::uint64_t environmentNumber(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Three of three, five of five, and three of five replicas vote.
void expectChangesAfterTheLastDiskHasRoom(bool otherFaults)
{
    const std::uint64_t schedules = environmentNumber("YUCCASCALE_SCHEDULES", ciScheduleCount);
    const std::uint64_t firstSeed = environmentNumber("YUCCASCALE_SEED", ciFirstSeed);
    std::size_t acknowledged = 0;
    std::size_t failedWrites = 0;
    milliseconds slowest{};
    for (std::uint64_t seed = firstSeed; seed < firstSeed + schedules; ++seed) {
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
    EXPECT_GT(failedWrites, schedules);
    EXPECT_GT(acknowledged, schedules * 20);
    std::cout << schedules << " schedules, " << acknowledged << " edits acknowledged, "
              << failedWrites << " failed writes, at most " << slowest.count()
              << " ms to the next acknowledgement\n";
}

} // namespace

/// Guards against a group that acknowledges no change once disks have been full in turn.
TEST(disk_group, changesAreAcknowledgedSoonAfterTheLastFullDiskHasRoom)
{
    expectChangesAfterTheLastDiskHasRoom(false);
}

TEST(disk_group, theSameWithKillsLossesOfPowerAndLostDisks)
{
    expectChangesAfterTheLastDiskHasRoom(true);
}

} // namespace yuccascale::properties

#include "properties/consensus_simulation.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace yuccascale::properties {

namespace {

constexpr std::uint64_t ciScheduleCount = 10'000;
constexpr std::uint64_t ciFirstSeed = 20'261'203;

std::uint64_t environmentNumber(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

} // namespace

/// Guards the safety properties under crashes, pauses, lost disks and network cuts: one value at
/// each log index, no acknowledged command lost, at most one holder of authority at a time,
/// increasing fences with one holder each, no orders of two leaders in flight at once, confirmed
/// reads that include all acknowledged commands, and recovery after the last fault.
TEST(consensus_property, promisesHoldUnderSchedulesOfFaults)
{
    const std::uint64_t schedules = environmentNumber("YUCCASCALE_SCHEDULES", ciScheduleCount);
    const std::uint64_t firstSeed = environmentNumber("YUCCASCALE_SEED", ciFirstSeed);
    std::uint64_t acknowledged = 0;
    std::uint64_t leaders = 0;
    for (std::uint64_t number = 0; number < schedules; ++number) {
        schedule_settings settings;
        settings.seed = firstSeed + number;
        settings.nodes = settings.seed % 4 == 0 ? 5 : 3;
        cluster_simulation simulation(settings);
        const std::string violation = simulation.run();
        ASSERT_EQ(violation, "") << "YUCCASCALE_SCHEDULES=1 YUCCASCALE_SEED=" << settings.seed
                                 << "\n"
                                 << simulation.trace();
        acknowledged += simulation.history().acknowledgedCommands().size();
        leaders += simulation.history().fenceCount();
    }
    // without enough commands and elections the schedules would pass without testing anything
    EXPECT_GT(acknowledged, schedules * 10);
    EXPECT_GT(leaders, schedules);
    std::cout << schedules << " schedules, " << acknowledged << " commands acknowledged, "
              << leaders << " leaders\n";
}

} // namespace yuccascale::properties

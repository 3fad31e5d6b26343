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

/// Promises: one value at each index, no acknowledged command lost, never two holders of authority,
/// fences that rise and have one holder, orders of two leaders never under way at once, reads that
/// know all acknowledged commands, and recovery once the faults end.
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
    // schedules in which nothing happens prove nothing
    EXPECT_GT(acknowledged, schedules * 10);
    EXPECT_GT(leaders, schedules);
    std::cout << schedules << " schedules, " << acknowledged << " commands acknowledged, "
              << leaders << " leaders\n";
}

} // namespace yuccascale::properties

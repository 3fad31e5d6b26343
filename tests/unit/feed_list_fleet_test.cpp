#include "fakes/list_fleet.hpp"

#include <gtest/gtest.h>

/// \file
/// \brief The list of endpoints in whole fleets: how old it gets at the entries, and what it costs.

namespace yuccascale::kernel::feed {

namespace {

using fakes::list_faults;
using fakes::list_figures;
using fakes::list_fleet;

constexpr seconds notice{3};
constexpr list_times times{milliseconds(600), milliseconds(500), notice};
constexpr list_times unbounded{milliseconds(600), milliseconds(500), {}};

struct fleet_size
{
    int control;
    int entries;
};

constexpr std::array<fleet_size, 3> sizes{{{3, 7}, {5, 7}, {9, 300}}};

/// After ten seconds of calm.
[[nodiscard]] list_figures playWith(fleet_size size, const list_times &derived, bool changes,
                                    const std::function<list_faults(milliseconds)> &faults)
{
    list_fleet fleet(size.control, size.entries, derived);
    static_cast<void>(fleet.play(seconds(10), changes, [](auto) { return list_faults{}; }));
    return fleet.play(seconds(30), changes, faults);
}

/// Three elections in a row, of 1.3 s each, with a new leader after each.
[[nodiscard]] list_faults threeElections(milliseconds since)
{
    constexpr milliseconds length{1'300};
    constexpr milliseconds apart{4'000};
    const auto number = since / apart;
    if (number >= 3)
        return {2};
    return since % apart < length ? list_faults{-1} : list_faults{static_cast<int>(number)};
}

} // namespace

/// Guards against calls to the platform, polls and bytes that a bound costs in calm.
TEST(list_of_a_fleet, aBoundCostsNoCallAndNoPollInCalm)
{
    for (const fleet_size size : sizes) {
        const auto calm = [](auto) { return list_faults{}; };
        const list_figures before = playWith(size, unbounded, false, calm);
        const list_figures after = playWith(size, times, false, calm);
        EXPECT_EQ(after.platformCalls, before.platformCalls);
        EXPECT_EQ(after.polls, before.polls);
        EXPECT_LE(after.believed, milliseconds(1'800));
    }
}

/// Guards against entries that act on an old list in elections, which nobody renews meanwhile.
TEST(list_of_a_fleet, isYoungerThanTheBoundInElections)
{
    for (const fleet_size size : sizes) {
        const list_figures figures = playWith(size, times, true, threeElections);
        EXPECT_LE(figures.oldest, notice);
        EXPECT_EQ(figures.stepsBack, 0U);
    }
}

TEST(list_of_a_fleet, isYoungerThanTheBoundWithoutAnyLeader)
{
    for (const fleet_size size : sizes) {
        const list_figures figures
                = playWith(size, times, true, [](auto) { return list_faults{-1}; });
        EXPECT_LE(figures.oldest, notice);
        EXPECT_EQ(figures.stepsBack, 0U);
        EXPECT_LE(figures.platformCalls, static_cast<std::uint64_t>(size.control) * 30);
    }
}

/// Guards against a leader that holds everybody to the list that it can no longer read.
TEST(list_of_a_fleet, isYoungerThanTheBoundThoughTheLeaderCannotReadIt)
{
    for (const fleet_size size : sizes) {
        list_faults faults;
        faults.withoutPlatform = {0};
        const list_figures figures = playWith(size, times, true, [&](auto) { return faults; });
        EXPECT_LE(figures.oldest, notice);
        EXPECT_EQ(figures.stepsBack, 0U);
    }
}

/// Guards against an entry that keeps a relay which is cut off from the leader and from the
/// platform.
TEST(list_of_a_fleet, isYoungerThanTheBoundThoughTheRelayIsCutOffFromTheOthersAndThePlatform)
{
    for (const fleet_size size : sizes) {
        list_faults faults;
        faults.withoutPlatform = {1};
        for (int other = 0; other < size.control; ++other)
            faults.splits.insert({1, other});
        const list_figures figures = playWith(size, times, true, [&](auto) { return faults; });
        EXPECT_LE(figures.oldest, notice);
        EXPECT_EQ(figures.stepsBack, 0U);
    }
}

TEST(list_of_a_fleet, isYoungerThanTheBoundThoughAnEntryIsCutFromItsRelayOnly)
{
    for (const fleet_size size : sizes) {
        list_faults faults;
        for (int entry = 0; entry < size.entries; ++entry)
            faults.cuts.insert({entry, entry % size.control});
        const list_figures figures = playWith(size, times, true, [&](auto) { return faults; });
        EXPECT_LE(figures.oldest, notice);
        EXPECT_EQ(figures.stepsBack, 0U);
    }
}

/// Guards against a leader whose reads take long and that takes back what others have read.
TEST(list_of_a_fleet, neverGoesBackThoughReadsTakeLong)
{
    for (const fleet_size size : sizes) {
        const list_figures figures = playWith(size, times, true, [](milliseconds since) {
            list_faults faults = threeElections(since);
            faults.readTime = milliseconds(900);
            return faults;
        });
        EXPECT_EQ(figures.stepsBack, 0U);
        EXPECT_LE(figures.believed, notice + milliseconds(900));
    }
}

/// Guards against a load on feed and platform that grows while the platform is down.
TEST(list_of_a_fleet, aPlatformThatIsDownCostsLittle)
{
    for (const fleet_size size : sizes) {
        list_faults down;
        for (int node = 0; node < size.control; ++node)
            down.withoutPlatform.insert(node);
        const auto calm = playWith(size, times, false, [](auto) { return list_faults{}; });
        const auto figures = playWith(size, times, false, [&](auto) { return down; });
        EXPECT_LE(figures.platformCalls,
                  calm.platformCalls + static_cast<std::uint64_t>(size.control) * 20);
        // each node asks each other control node once in the bound's time
        const auto others = static_cast<std::uint64_t>(size.control - 1);
        const auto nodes = static_cast<std::uint64_t>(size.control)
                + static_cast<std::uint64_t>(size.entries);
        EXPECT_LE(figures.polls, calm.polls + nodes * others * 11);
    }
}

} // namespace yuccascale::kernel::feed

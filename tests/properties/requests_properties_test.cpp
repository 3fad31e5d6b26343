#include "properties/requests_world.hpp"

#include <gtest/gtest.h>

#include <cstdlib>

namespace yuccascale::fakes {

namespace {

constexpr int defaultSchedules = 200;
/// From the second crash until no entry sends the request any more.
constexpr kernel::seconds stoppedEverywhere{1};
constexpr std::uint64_t defaultSeed = 20'261'203;

[[nodiscard]] std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
{
    const char *text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

/// Plays a plan under many seeds and reports the first breach with its seed.
template<typename MakePlan>
void playAll(MakePlan makePlan)
{
    const auto schedules = static_cast<int>(numberFrom("YUCCASCALE_SCHEDULES", defaultSchedules));
    const std::uint64_t seed = numberFrom("YUCCASCALE_SEED", defaultSeed);
    for (int schedule = 0; schedule < schedules; ++schedule) {
        std::mt19937_64 random(seed + static_cast<std::uint64_t>(schedule));
        world_plan plan = makePlan(random);
        plan.seed = random();
        requests_world world(plan);
        world.play();
        const auto breaches = world.breaches();
        ASSERT_TRUE(breaches.empty())
                << "YUCCASCALE_SEED=" << seed + static_cast<std::uint64_t>(schedule)
                << " YUCCASCALE_SCHEDULES=1: " << breaches.front() << " (" << breaches.size()
                << " breaches)";
    }
}

[[nodiscard]] int draw(std::mt19937_64 &random, int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(random);
}

[[nodiscard]] std::vector<fault> drawFaults(std::mt19937_64 &random, int count,
                                            std::vector<fault::kind> kinds)
{
    std::vector<fault> faults;
    for (int number = 0; number < count; ++number) {
        fault one;
        one.what = kinds[static_cast<std::size_t>(
                draw(random, 0, static_cast<int>(kinds.size()) - 1))];
        one.atMs = draw(random, 500, 3'000);
        one.target = draw(random, 0, 8);
        one.lengthMs = draw(random, 50, 1'500);
        faults.push_back(one);
    }
    return faults;
}

} // namespace

TEST(requests_properties, holdUnderKillsPausesAndCutsOfEntries)
{
    playAll([](std::mt19937_64 &random) {
        world_plan plan;
        plan.faults = drawFaults(
                random, draw(random, 1, 6),
                {fault::kind::KillEntry, fault::kind::PauseEntry, fault::kind::CutEntry});
        return plan;
    });
}

TEST(requests_properties, holdUnderCrashesAndBadAnswersOfEndpoints)
{
    playAll([](std::mt19937_64 &random) {
        world_plan plan;
        plan.badTreatment = 0.5;
        plan.faults = drawFaults(random, draw(random, 1, 6),
                                 {fault::kind::CrashEndpoint, fault::kind::LoseZone});
        return plan;
    });
}

TEST(requests_properties, holdWhenEverythingFailsTogether)
{
    playAll([](std::mt19937_64 &random) {
        world_plan plan;
        plan.badTreatment = 0.3;
        plan.lostCommits = 0.3;
        plan.withdrawKeyAtMs = draw(random, 500, 2'500);
        plan.faults = drawFaults(random, draw(random, 4, 12),
                                 {fault::kind::KillEntry, fault::kind::PauseEntry,
                                  fault::kind::CutEntry, fault::kind::CrashEndpoint,
                                  fault::kind::LoseZone, fault::kind::Leave});
        return plan;
    });
}

TEST(requests_properties, leavingEndpointsGetNoNewWork)
{
    playAll([](std::mt19937_64 &random) {
        world_plan plan;
        plan.submissions = 120;
        plan.spreadMs = 8'000;
        plan.faults = drawFaults(random, 2, {fault::kind::Leave});
        return plan;
    });
}

TEST(requests_properties, withdrawnKeysStopWorking)
{
    playAll([](std::mt19937_64 &random) {
        world_plan plan;
        plan.submissions = 120;
        plan.spreadMs = 8'000;
        plan.withdrawKeyAtMs = draw(random, 600, 3'000);
        plan.faults = drawFaults(random, 3, {fault::kind::CutEntry, fault::kind::PauseEntry});
        for (fault &one : plan.faults)
            one.lengthMs = draw(random, 3'000, 8'000); // longer than a freshness lease
        return plan;
    });
}

TEST(requests_properties, aPoisonousRequestIsStoppedAfterTwoCrashes)
{
    const auto schedules = static_cast<int>(numberFrom("YUCCASCALE_SCHEDULES", defaultSchedules));
    const std::uint64_t seed = numberFrom("YUCCASCALE_SEED", defaultSeed);
    for (int schedule = 0; schedule < schedules; ++schedule) {
        world_plan plan;
        plan.seed = seed + static_cast<std::uint64_t>(schedule);
        plan.poisons = 1;
        plan.badTreatment = 0;
        plan.lostCommits = 0;
        plan.nonIdempotent = 0;
        plan.engines = 9;
        requests_world world(plan);
        world.play();
        const std::vector<instant> &crashes = world.poisonCrashes();
        ASSERT_GE(crashes.size(), 2U) << "YUCCASCALE_SEED=" << plan.seed;
        ASSERT_LE(crashes.back() - crashes[1], stoppedEverywhere)
                << "YUCCASCALE_SEED=" << plan.seed;
        for (const caller_submission &wanted : world.submissions())
            ASSERT_EQ(wanted.whole, !wanted.poison)
                    << "request " << wanted.number << ", YUCCASCALE_SEED=" << plan.seed;
        ASSERT_TRUE(world.breaches().empty()) << world.breaches().front();
    }
}

} // namespace yuccascale::fakes

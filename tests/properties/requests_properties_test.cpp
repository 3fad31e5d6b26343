#include "properties/requests_world.hpp"

#include <gtest/gtest.h>

#include <cstdlib>

namespace yuccascale::fakes {

namespace {

constexpr int defaultSchedules = 200;
/// Time after the second crash within which every entry must stop sending the request.
constexpr kernel::seconds banPropagationLimit{1};
constexpr std::uint64_t defaultSeed = 20'261'203;

[[nodiscard]] std::uint64_t environmentNumber(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Runs a plan under many seeds; fails at the first violation and prints its seed.
template<typename MakePlan>
void runSchedules(MakePlan makePlan)
{
    const auto schedules
            = static_cast<int>(environmentNumber("YUCCASCALE_SCHEDULES", defaultSchedules));
    const std::uint64_t seed = environmentNumber("YUCCASCALE_SEED", defaultSeed);
    for (int schedule = 0; schedule < schedules; ++schedule) {
        std::mt19937_64 random(seed + static_cast<std::uint64_t>(schedule));
        simulation_plan plan = makePlan(random);
        plan.seed = random();
        requests_simulation simulation(plan);
        simulation.runToEnd();
        const auto violations = simulation.violations();
        ASSERT_TRUE(violations.empty())
                << "YUCCASCALE_SEED=" << seed + static_cast<std::uint64_t>(schedule)
                << " YUCCASCALE_SCHEDULES=1: " << violations.front() << " (" << violations.size()
                << " violations)";
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
        one.type = kinds[static_cast<std::size_t>(
                draw(random, 0, static_cast<int>(kinds.size()) - 1))];
        one.timeMs = draw(random, 500, 3'000);
        one.target = draw(random, 0, 8);
        one.durationMs = draw(random, 50, 1'500);
        faults.push_back(one);
    }
    return faults;
}

} // namespace

TEST(requests_properties, promisesHoldWhenEntriesAreKilledPausedOrCutOff)
{
    runSchedules([](std::mt19937_64 &random) {
        simulation_plan plan;
        plan.faults = drawFaults(
                random, draw(random, 1, 6),
                {fault::kind::KillEntry, fault::kind::PauseEntry, fault::kind::CutEntry});
        return plan;
    });
}

TEST(requests_properties, promisesHoldWhenEndpointsCrashOrMisbehave)
{
    runSchedules([](std::mt19937_64 &random) {
        simulation_plan plan;
        plan.misbehaviourShare = 0.5;
        plan.faults = drawFaults(random, draw(random, 1, 6),
                                 {fault::kind::CrashEndpoint, fault::kind::LoseZone});
        return plan;
    });
}

TEST(requests_properties, promisesHoldUnderAllFaultsTogether)
{
    runSchedules([](std::mt19937_64 &random) {
        simulation_plan plan;
        plan.misbehaviourShare = 0.3;
        plan.lostCommitShare = 0.3;
        plan.keyWithdrawalMs = draw(random, 500, 2'500);
        plan.faults = drawFaults(random, draw(random, 4, 12),
                                 {fault::kind::KillEntry, fault::kind::PauseEntry,
                                  fault::kind::CutEntry, fault::kind::CrashEndpoint,
                                  fault::kind::LoseZone, fault::kind::AnnounceLeaving});
        return plan;
    });
}

TEST(requests_properties, leavingEndpointsGetNoNewWork)
{
    runSchedules([](std::mt19937_64 &random) {
        simulation_plan plan;
        plan.submissions = 120;
        plan.submissionPeriodMs = 8'000;
        plan.faults = drawFaults(random, 2, {fault::kind::AnnounceLeaving});
        return plan;
    });
}

TEST(requests_properties, withdrawnKeysAreRefusedWithinTheLimit)
{
    runSchedules([](std::mt19937_64 &random) {
        simulation_plan plan;
        plan.submissions = 120;
        plan.submissionPeriodMs = 8'000;
        plan.keyWithdrawalMs = draw(random, 600, 3'000);
        plan.faults = drawFaults(random, 3, {fault::kind::CutEntry, fault::kind::PauseEntry});
        for (fault &one : plan.faults)
            one.durationMs = draw(random, 3'000, 8'000); // longer than the freshness lease
        return plan;
    });
}

TEST(requests_properties, aRequestThatCrashesEnginesIsBannedAfterTwoCrashes)
{
    const auto schedules
            = static_cast<int>(environmentNumber("YUCCASCALE_SCHEDULES", defaultSchedules));
    const std::uint64_t seed = environmentNumber("YUCCASCALE_SEED", defaultSeed);
    for (int schedule = 0; schedule < schedules; ++schedule) {
        simulation_plan plan;
        plan.seed = seed + static_cast<std::uint64_t>(schedule);
        plan.poisonRequests = 1;
        plan.misbehaviourShare = 0;
        plan.lostCommitShare = 0;
        plan.nonIdempotentShare = 0;
        plan.engines = 9;
        requests_simulation simulation(plan);
        simulation.runToEnd();
        const std::vector<instant> &crashes = simulation.poisonCrashes();
        ASSERT_GE(crashes.size(), 2U) << "YUCCASCALE_SEED=" << plan.seed;
        ASSERT_LE(crashes.back() - crashes[1], banPropagationLimit)
                << "YUCCASCALE_SEED=" << plan.seed;
        for (const caller_submission &submission : simulation.submissions())
            ASSERT_EQ(submission.complete, !submission.poison)
                    << "request " << submission.number << ", YUCCASCALE_SEED=" << plan.seed;
        ASSERT_TRUE(simulation.violations().empty()) << simulation.violations().front();
    }
}

} // namespace yuccascale::fakes

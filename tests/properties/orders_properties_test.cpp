#include "fakes/leader_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <sstream>

namespace yuccascale::fakes {

namespace {

std::string environmentValue(const char *name, const std::string &fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

/// Takes the number of schedules from YUCCASCALE_SCHEDULES and the seed from YUCCASCALE_SEED.
void configureRapidCheck()
{
    const std::string parameters = "seed=" + environmentValue("YUCCASCALE_SEED", "20261203")
            + " max_success=" + environmentValue("YUCCASCALE_SCHEDULES", "1500");
    ::setenv("RC_PARAMS", parameters.c_str(), 1);
}

/// \returns the violations seen by one target; empty if there are none.
std::string targetProblems(const fake_target &target)
{
    std::ostringstream problem;
    std::uint64_t latestOrder = 0;
    std::uint64_t latestSender = 0;
    std::map<std::uint64_t, std::string> bytesOf;
    std::set<std::pair<std::uint64_t, int>> effects;
    for (const received_order &seen : target.history) {
        const auto [first, added] = bytesOf.emplace(seen.orderId, seen.bytes);
        if (!added && first->second != seen.bytes)
            problem << "order " << seen.orderId << " was sent again with different bytes; ";
        if (seen.senderFence < latestSender)
            problem << "order " << seen.orderId << " came from a replaced leader with fence "
                    << seen.senderFence << "; ";
        latestSender = std::max(latestSender, seen.senderFence);
        if (!seen.tookEffect)
            continue;
        if (!effects.emplace(seen.orderId, seen.restartCount).second)
            problem << "order " << seen.orderId << " took effect twice; ";
        if (target.name() != "platform" && seen.orderId < latestOrder)
            problem << "order " << seen.orderId << " took effect after the newer order "
                    << latestOrder << "; ";
        if (target.name() != "platform" && seen.runningRequestsAtEffect != 0)
            problem << "order " << seen.orderId << " interrupted " << seen.runningRequestsAtEffect
                    << " running requests; ";
        latestOrder = std::max(latestOrder, seen.orderId);
    }
    return problem.str();
}

/// \returns orders whose outcome in the log contradicts what the targets saw; empty if there are
/// none.
std::string outcomeProblems(leader_simulation &world)
{
    std::set<std::uint64_t> effects;
    for (const fake_target &target : world.targets) {
        for (const received_order &seen : target.history) {
            if (seen.tookEffect)
                effects.insert(seen.orderId);
        }
    }
    std::ostringstream problem;
    for (std::uint64_t id = 1; id <= world.log.state().appliedIndex(); ++id) {
        const auto order = world.log.state().order(id);
        if (!order)
            continue;
        const bool tookEffect = effects.contains(id);
        if (!order->settled)
            problem << "order " << id << " is not settled; ";
        else if (order->end == order_outcome::Done && !tookEffect)
            problem << "order " << id << " is recorded as done but had no effect; ";
        else if (order->end == order_outcome::Refused)
            problem << "order " << id << " was refused for a newer fence; ";
        else if (order->end == order_outcome::Abandoned && tookEffect
                 && order->detail.starts_with("not sent"))
            problem << "order " << id << " is recorded as not sent but had an effect; ";
    }
    return problem.str();
}

std::string usageProblems(leader_simulation &world)
{
    std::ostringstream problem;
    std::map<std::int64_t, std::string> bytesOf;
    std::uint64_t latestSender = 0;
    std::uint64_t reported = 0;
    for (const received_report &report : world.reports) {
        const auto [first, added] = bytesOf.emplace(report.windowStartMs, report.bytes);
        if (!added && first->second != report.bytes)
            problem << "window " << report.windowStartMs
                    << " was reported again with different figures; ";
        if (report.senderFence < latestSender)
            problem << "window " << report.windowStartMs
                    << " was reported by a replaced leader with fence " << report.senderFence
                    << "; ";
        latestSender = std::max(latestSender, report.senderFence);
        if (!added)
            continue;
        const kernel::json figures = kernel::json::parse(report.bytes);
        for (const char *part : {"usage", "late"}) {
            for (const kernel::json &line : figures.at(part))
                reported += line.at("answers").get<std::uint64_t>();
        }
    }
    std::uint64_t counted = 0;
    for (const auto &[entry, answers] : world.countedAnswers)
        counted += answers;
    if (counted != reported)
        problem << counted << " answers were counted by the entries but " << reported
                << " were reported; ";
    return problem.str();
}

} // namespace

/// Guards against orders that take effect twice, out of order, or after their leader lost
/// authority, against outcomes in the log that contradict the targets, and against lost or repeated
/// usage.
TEST(orders_properties, ordersNeitherConflictNorTakeEffectAfterLostAuthority)
{
    configureRapidCheck();
    EXPECT_TRUE(rc::check("engines, platform and usage interface see consistent orders and reports",
                          [] {
                              const auto seed = *rc::gen::noShrink(
                                      rc::gen::resize(100, rc::gen::arbitrary<std::uint64_t>()));
                              const int steps = *rc::gen::resize(100, rc::gen::inRange(10, 350));
                              leader_simulation world(seed, steps);
                              world.run();
                              std::string problems;
                              for (const fake_target &target : world.targets)
                                  problems += targetProblems(target);
                              problems += outcomeProblems(world);
                              problems += usageProblems(world);
                              RC_ASSERT(problems == "");
                          }));
}

} // namespace yuccascale::fakes

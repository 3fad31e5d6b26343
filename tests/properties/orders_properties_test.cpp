#include "fakes/leader_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <sstream>

namespace yuccascale::fakes {

namespace {

std::string environment(const char *name, const std::string &otherwise)
{
    const char *value = std::getenv(name);
    return value == nullptr ? otherwise : value;
}

/// YUCCASCALE_SCHEDULES and YUCCASCALE_SEED choose how many schedules run, and which.
void configureRapidCheck()
{
    const std::string parameters = "seed=" + environment("YUCCASCALE_SEED", "20261203")
            + " max_success=" + environment("YUCCASCALE_SCHEDULES", "1500");
    ::setenv("RC_PARAMS", parameters.c_str(), 1);
}

/// What is wrong with what one target saw; empty when nothing is.
std::string problemAt(const fake_target &target)
{
    std::ostringstream problem;
    std::uint64_t latestOrder = 0;
    std::uint64_t latestSender = 0;
    std::map<std::uint64_t, std::string> bytesOf;
    std::set<std::pair<std::uint64_t, int>> effects;
    for (const received_order &seen : target.history) {
        const auto [first, added] = bytesOf.emplace(seen.orderId, seen.bytes);
        if (!added && first->second != seen.bytes)
            problem << "order " << seen.orderId << " came with other bytes; ";
        if (seen.senderFence < latestSender)
            problem << "order " << seen.orderId << " came from a leader that was replaced; ";
        latestSender = std::max(latestSender, seen.senderFence);
        if (!seen.tookEffect)
            continue;
        if (!effects.emplace(seen.orderId, seen.restartCount).second)
            problem << "order " << seen.orderId << " took effect twice; ";
        if (target.name() != "platform" && seen.orderId < latestOrder)
            problem << "order " << seen.orderId << " took effect after " << latestOrder << "; ";
        if (target.name() != "platform" && seen.runningRequestsAtEffect != 0)
            problem << "order " << seen.orderId << " cut " << seen.runningRequestsAtEffect
                    << " requests; ";
        latestOrder = std::max(latestOrder, seen.orderId);
    }
    return problem.str();
}

/// Whether the log's outcomes are what the targets saw.
std::string problemWithOutcomes(leader_simulation &world)
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
        const bool took = effects.contains(id);
        if (!order->settled)
            problem << "order " << id << " is still open; ";
        else if (order->end == order_outcome::Done && !took)
            problem << "order " << id << " is done in the log but had no effect; ";
        else if (order->end == order_outcome::Refused)
            problem << "order " << id << " met a newer fence while it was open; ";
        else if (order->end == order_outcome::Abandoned && took
                 && order->detail.starts_with("not sent"))
            problem << "order " << id << " was called not sent but had an effect; ";
    }
    return problem.str();
}

std::string problemWithUsage(leader_simulation &world)
{
    std::ostringstream problem;
    std::map<std::int64_t, std::string> bytesOf;
    std::uint64_t latestSender = 0;
    std::uint64_t reported = 0;
    for (const received_report &report : world.reports) {
        const auto [first, added] = bytesOf.emplace(report.windowStartMs, report.bytes);
        if (!added && first->second != report.bytes)
            problem << "window " << report.windowStartMs << " was reported with other figures; ";
        if (report.senderFence < latestSender)
            problem << "window " << report.windowStartMs << " came from a replaced leader; ";
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
        problem << counted << " answers were counted and " << reported << " reported; ";
    return problem.str();
}

} // namespace

TEST(orders_properties, noConflictAndNoEffectOfLostAuthorityUnderFaults)
{
    configureRapidCheck();
    EXPECT_TRUE(rc::check("what engines, platform and usage interface see is consistent", [] {
        const auto seed
                = *rc::gen::noShrink(rc::gen::resize(100, rc::gen::arbitrary<std::uint64_t>()));
        const int steps = *rc::gen::resize(100, rc::gen::inRange(10, 350));
        leader_simulation world(seed, steps);
        world.run();
        std::string problems;
        for (const fake_target &target : world.targets)
            problems += problemAt(target);
        problems += problemWithOutcomes(world);
        problems += problemWithUsage(world);
        RC_ASSERT(problems == "");
    }));
}

} // namespace yuccascale::fakes

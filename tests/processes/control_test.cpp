#include "processes/cluster.hpp"

#include <gtest/gtest.h>

#include <set>

namespace yuccascale::processes {

namespace {

/// Puts organisations until \a count edits are accepted; tries at most 3 * \a count names.
/// \returns the accepted names.
std::set<std::string> putOrganisations(const cluster &system, const std::string &prefix, int count)
{
    std::set<std::string> accepted;
    for (int number = 0; static_cast<int>(accepted.size()) < count && number < 3 * count;
         ++number) {
        const std::string name = prefix + std::to_string(number);
        if (system.put("organisation", json{{"name", name}}).exitCode == 0)
            accepted.insert(name);
    }
    return accepted;
}

/// \returns the names of \a wanted that are not in force at node \a node.
std::set<std::string> missingAt(const cluster &system, std::size_t node,
                                std::set<std::string> wanted)
{
    const command_answer answer = system.command({"organisation", "list"}, {node});
    if (!answer.document.is_array())
        return wanted;
    for (const json &row : answer.document)
        wanted.erase(row.at("name").get<std::string>());
    return wanted;
}

void expectInForceEverywhere(const cluster &system, const std::set<std::string> &wanted)
{
    constexpr milliseconds inForceWithin{6'000};
    for (std::size_t node = 0; node < system.size(); ++node) {
        const bool inForce
                = waitUntil(inForceWithin, [&] { return missingAt(system, node, wanted).empty(); });
        EXPECT_TRUE(inForce) << "node " << node + 1 << " lacks the organisations "
                             << json(missingAt(system, node, wanted));
    }
}

} // namespace

/// Guards against accepted edits that are lost when the leader is killed.
TEST(control, acceptedEditsSurviveAKilledLeader)
{
    cluster system{{}};
    std::set<std::string> wanted = putOrganisations(system, "before", 5);
    const std::size_t leader = system.leader(3);
    ASSERT_LT(leader, system.size());
    system.nodeProcess(leader).kill();
    wanted.merge(putOrganisations(system, "after", 5));
    EXPECT_EQ(wanted.size(), 10U);
    system.startNode(leader);
    ASSERT_TRUE(system.waitReady(leader));
    expectInForceEverywhere(system, wanted);
}

/// Guards against edits lost when a node with an empty disk rejoins and another node then fails:
/// the rejoined node must hold the log and vote before the status reports no degradation.
TEST(control, anErasedNodeRejoinsAndASecondNodeMayThenFail)
{
    cluster system{{}};
    std::set<std::string> wanted = putOrganisations(system, "first", 3);
    system.nodeProcess(0).kill();
    system.eraseData(0);
    wanted.merge(putOrganisations(system, "while-gone", 2));
    system.startNode(0);
    ASSERT_TRUE(system.waitReady(0));
    const bool recovered = waitUntil(cluster::readyTimeout, [&] {
        const json status = system.command({"status"}, {0}).document;
        return status.is_object() && status.value("degraded", json::array()).empty();
    });
    EXPECT_TRUE(recovered) << system.command({"status"}, {0}).text;
    system.nodeProcess(1).kill();
    wanted.merge(putOrganisations(system, "second-gone", 3));
    EXPECT_EQ(wanted.size(), 8U);
    system.startNode(1);
    ASSERT_TRUE(system.waitReady(1));
    expectInForceEverywhere(system, wanted);
}

} // namespace yuccascale::processes

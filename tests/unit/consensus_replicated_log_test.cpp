#include "fakes/control_cluster.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <memory>

namespace yuccascale::runtime {

namespace {

using namespace std::chrono_literals;
using list_cluster = fakes::control_cluster<fakes::recording_consumer>;

constexpr auto timeout = 20s;

bool everyNodeHas(list_cluster &cluster, const std::vector<std::string> &commands)
{
    return cluster.waitFor(
            [&] {
                for (std::size_t at = 0; at < cluster.size(); ++at) {
                    if (cluster.node(at).consumer().commands() != commands)
                        return false;
                }
                return true;
            },
            timeout);
}

std::filesystem::path firstSegment(const std::filesystem::path &folder)
{
    return folder / "log-0000000000000001";
}

/// Spoils the first write, with others after it.
void damageFirstSegment(const std::filesystem::path &folder)
{
    constexpr std::int64_t insideFirstRecord = 30; ///< byte
    std::fstream file(firstSegment(folder), std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(insideFirstRecord);
    const char byte = static_cast<char>(file.get());
    file.seekp(insideFirstRecord);
    file.put(static_cast<char>(byte ^ 0x10));
}

} // namespace

TEST(consensus_replicated_log, commitsOnAllNodesAndReturnsTheConsumersAnswer)
{
    list_cluster cluster(3);
    cluster.startAll();
    const std::size_t leader = cluster.waitForLeader(timeout);
    ASSERT_NE(leader, cluster.size());

    std::string answer;
    kernel::error problem;
    const auto propose = [&]() -> kernel::result<void> {
        BOOST_LEAF_ASSIGN(
                answer, cluster.node(leader).log().propose("one", cluster.clock().now() + timeout));
        return cluster.node(leader).log().confirmLeadership(cluster.clock().now() + timeout);
    };
    EXPECT_TRUE(kernel::succeeded(propose, problem)) << problem.message;
    EXPECT_EQ(answer, "one");
    EXPECT_TRUE(everyNodeHas(cluster, {"one"}));

    const std::size_t follower = (leader + 1) % cluster.size();
    EXPECT_FALSE(kernel::succeeded(
            [&] {
                return cluster.node(follower).log().propose("two", cluster.clock().now() + timeout);
            },
            problem));
    EXPECT_EQ(problem.kind, kernel::error_kind::NotLeader);
    EXPECT_EQ(problem.where, cluster.name(leader));
}

/// Guards against a proposer that does not wait and never hears, or hears the wrong outcome.
TEST(consensus_replicated_log, answersProposersThatDoNotWait)
{
    list_cluster cluster(3);
    cluster.startAll();
    const std::size_t leader = cluster.waitForLeader(timeout);
    ASSERT_NE(leader, cluster.size());
    const auto proposeLater = [&](std::size_t node, kernel::instant deadline) {
        const auto outcome = std::make_shared<std::promise<log_outcome>>();
        cluster.node(node).log().proposeLater("later", deadline, [outcome](log_outcome ended) {
            outcome->set_value(std::move(ended));
        });
        auto future = outcome->get_future();
        EXPECT_EQ(future.wait_for(timeout), std::future_status::ready);
        return future.get();
    };
    const log_outcome committed = proposeLater(leader, cluster.clock().now() + timeout);
    EXPECT_TRUE(committed.succeeded) << committed.problem.message;
    EXPECT_EQ(committed.answer, "later");
    const log_outcome refused
            = proposeLater((leader + 1) % cluster.size(), cluster.clock().now() + timeout);
    EXPECT_EQ(refused.problem.kind, kernel::error_kind::NotLeader);
    const log_outcome late = proposeLater(leader, cluster.clock().now());
    EXPECT_EQ(late.problem.kind, kernel::error_kind::Unavailable);
    cluster.stop(leader);
    EXPECT_TRUE(cluster.proposeOnLeader("next", timeout));
}

TEST(consensus_replicated_log, aNodeThatLostItsDiskJoinsAsALearnerAndVotesAgain)
{
    list_cluster cluster(3);
    cluster.startAll();
    ASSERT_TRUE(cluster.proposeOnLeader("before", timeout));
    const std::size_t leader = cluster.waitForLeader(timeout);
    const std::size_t lost = (leader + 1) % cluster.size();
    cluster.stop(lost);
    std::filesystem::remove_all(cluster.folderOf(lost));
    ASSERT_TRUE(cluster.proposeOnLeader("without", timeout));

    kernel::error problem;
    ASSERT_TRUE(cluster.start(lost, problem)) << problem.message;
    EXPECT_FALSE(cluster.node(lost).log().status().degraded.empty());
    EXPECT_TRUE(cluster.waitFor(
            [&] {
                const replicated_log_status status = cluster.node(lost).log().status();
                return status.voters.size() == 3 && status.degraded.empty();
            },
            timeout));
    EXPECT_TRUE(everyNodeHas(cluster, {"before", "without"}));

    // the repaired node forms a quorum with either of the other nodes
    cluster.stop(leader);
    EXPECT_TRUE(cluster.proposeOnLeader("after", timeout));
}

/// Guards against a replica that ends again and again at a damaged log, while its group lacks a
/// quorum.
TEST(consensus_replicated_log, aNodeWithADamagedLogJoinsAnewByItself)
{
    list_cluster cluster(3);
    cluster.startAll();
    ASSERT_TRUE(cluster.proposeOnLeader("before", timeout));
    const std::size_t leader = cluster.waitForLeader(timeout);
    const std::size_t damaged = (leader + 1) % cluster.size();
    ASSERT_TRUE(everyNodeHas(cluster, {"before"}));
    cluster.stop(damaged);
    damageFirstSegment(cluster.folderOf(damaged));

    kernel::error problem;
    ASSERT_TRUE(cluster.start(damaged, problem)) << problem.message;
    EXPECT_TRUE(cluster.waitFor(
            [&] {
                const replicated_log_status status = cluster.node(damaged).log().status();
                return status.voters.size() == 3 && status.degraded.empty();
            },
            timeout));
    cluster.stop(leader);
    EXPECT_TRUE(cluster.proposeOnLeader("after", timeout));
    // a follower applies an entry once it hears of the commit
    EXPECT_TRUE(cluster.waitFor(
            [&] {
                return cluster.node(damaged).consumer().commands()
                        == std::vector<std::string>{"before", "after"};
            },
            timeout));
}

TEST(consensus_replicated_log, theOnlyReplicaKeepsItsDamagedLog)
{
    list_cluster cluster(1);
    cluster.startAll();
    ASSERT_TRUE(cluster.proposeOnLeader("before", timeout));
    cluster.stop(0);
    damageFirstSegment(cluster.folderOf(0));
    kernel::error problem;
    EXPECT_FALSE(cluster.start(0, problem));
    EXPECT_EQ(problem.kind, kernel::error_kind::Corrupt);
    EXPECT_TRUE(std::filesystem::exists(firstSegment(cluster.folderOf(0))));
}

TEST(consensus_replicated_log, logAndDiskStayBoundedOverAHundredThousandChanges)
{
    constexpr std::size_t changes = 100'000;
    constexpr std::size_t payloadBytes = 200;
    const control_settings control;
    fakes::control_cluster<fakes::counting_consumer> cluster(1, control);
    cluster.startAll();
    ASSERT_EQ(cluster.waitForLeader(timeout), 0U);
    ASSERT_EQ(cluster.proposeMany(0, changes, 64, std::string(payloadBytes, 'x')), changes);

    EXPECT_EQ(cluster.node(0).consumer().count(), changes);
    // at most the entries since the last snapshot and a quarter of an interval before it
    const std::uint64_t maxEntries = control.snapshotEntries * 5 / 4 + 1;
    EXPECT_LE(cluster.node(0).log().status().entriesInMemory, maxEntries);
    EXPECT_LE(cluster.diskBytes(0), 2 * maxEntries * (payloadBytes + 200));

    kernel::error problem;
    cluster.stop(0);
    ASSERT_TRUE(cluster.start(0, problem)) << problem.message;
    EXPECT_TRUE(cluster.waitFor([&] { return cluster.node(0).consumer().count() == changes; },
                                timeout));
}

/// Guards against a log of large changes that grows until it fills the disk.
TEST(consensus_replicated_log, logAndDiskStayBoundedOverLargeChanges)
{
    constexpr std::size_t changes = 400;
    constexpr std::size_t payloadBytes = 256U << 10U;
    constexpr std::size_t bytesBetweenSnapshots = 16U << 20U;
    fakes::control_cluster<fakes::counting_consumer> cluster(1);
    cluster.startAll();
    ASSERT_EQ(cluster.waitForLeader(timeout), 0U);
    ASSERT_EQ(cluster.proposeMany(0, changes, 8, std::string(payloadBytes, 'x')), changes);

    EXPECT_LE(cluster.node(0).log().status().entriesInMemory,
              2 * bytesBetweenSnapshots / payloadBytes);
    EXPECT_LE(cluster.diskBytes(0), 2 * bytesBetweenSnapshots);
    kernel::error problem;
    cluster.stop(0);
    ASSERT_TRUE(cluster.start(0, problem)) << problem.message;
    EXPECT_TRUE(cluster.waitFor([&] { return cluster.node(0).consumer().count() == changes; },
                                timeout));
}

TEST(consensus_replicated_log, aRestartedNodeAppliesAThousandChangesWithinASecond)
{
    list_cluster cluster(3);
    cluster.startAll();
    std::vector<std::string> commands;
    commands.reserve(1'000);
    for (int number = 0; number < 1'000; ++number)
        commands.push_back("change-" + std::to_string(number));
    for (const std::string &command : commands)
        ASSERT_TRUE(cluster.proposeOnLeader(command, timeout));
    const std::size_t restarted = (cluster.waitForLeader(timeout) + 1) % cluster.size();
    cluster.stop(restarted);

    kernel::error problem;
    const kernel::instant begin = cluster.clock().now();
    ASSERT_TRUE(cluster.start(restarted, problem)) << problem.message;
    EXPECT_TRUE(cluster.waitFor(
            [&] { return cluster.node(restarted).consumer().commands() == commands; }, timeout));
    EXPECT_LT(cluster.clock().now() - begin, 1s);
}

} // namespace yuccascale::runtime

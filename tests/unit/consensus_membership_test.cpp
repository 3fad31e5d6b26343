#include "fakes/replica_group.hpp"

#include <gtest/gtest.h>

namespace yuccascale::kernel::consensus {

namespace {

using fakes::replica_group;

constexpr std::size_t seeds = 3;

std::vector<std::string> votersOf(replica_group &group, std::size_t at)
{
    std::vector<std::string> names;
    for (const member_id &member : group.at(at).log().members().voters)
        names.push_back(member.name);
    std::ranges::sort(names);
    return names;
}

} // namespace

TEST(consensus_membership, aSpareLearnerReplacesAVoterThatStopped)
{
    replica_group group(4, 1, seeds);
    const std::size_t leader = group.runUntilLeader();
    ASSERT_LT(leader, seeds) << "only the seeds may start the log";
    group.run(milliseconds(3'000));
    EXPECT_EQ(group.at(3).role(), replica_role::Learner);
    EXPECT_EQ(votersOf(group, leader), (std::vector<std::string>{"a", "b", "c"}));
    const std::size_t stopped = (leader + 1) % seeds;
    group.stop(stopped);
    group.run(milliseconds(6'000));
    std::vector<std::string> expected{"a", "b", "c", "d"};
    std::erase(expected, group.member(stopped).name);
    EXPECT_EQ(votersOf(group, leader), expected);
    EXPECT_EQ(group.at(3).role(), replica_role::Follower);
    const std::size_t second = seeds - leader - stopped;
    group.stop(second);
    group.run(milliseconds(3'000));
    EXPECT_TRUE(group.at(leader).leadershipAt(group.now()))
            << "the promoted learner completes the quorum";
}

/// Guards against a second log beside the files of the first one.
TEST(consensus_membership, replicasThatSetTheirLogsAsideStartNoNewOne)
{
    replica_group group(seeds, 5);
    ASSERT_LT(group.runUntilLeader(), seeds);
    for (std::size_t index = 0; index < seeds; ++index)
        group.setLogAside(index);
    for (std::size_t index = 0; index < seeds; ++index)
        group.start(index);
    group.run(milliseconds(5'000));
    for (std::size_t index = 0; index < seeds; ++index)
        EXPECT_EQ(group.at(index).role(), replica_role::Joining);
}

/// Guards against a system that never starts since the replica with the lowest name was killed
/// during the first start, after which it may start no log.
TEST(consensus_membership, anotherReplicaStartsTheLogWhenTheLowestMayNot)
{
    for (const std::size_t restarted : {1U, 2U}) {
        replica_group group(seeds, 5);
        group.setFirstStart(false);
        for (std::size_t index = 0; index < restarted; ++index) {
            group.stop(index);
            group.start(index);
        }
        const std::size_t leader = group.runUntilLeader();
        ASSERT_LT(leader, seeds) << restarted;
        group.run(milliseconds(2'000));
        EXPECT_EQ(votersOf(group, leader), (std::vector<std::string>{"a", "b", "c"}));
        for (std::size_t index = 0; index < seeds; ++index)
            EXPECT_EQ(group.at(index).log().termAt(1), group.at(leader).log().termAt(1)) << index;
    }
}

/// Guards against an empty system that starts a log though none of its replicas may.
TEST(consensus_membership, noReplicaStartsALogWhenNoneMay)
{
    replica_group group(seeds, 5);
    group.setFirstStart(false);
    for (std::size_t index = 0; index < seeds; ++index) {
        group.stop(index);
        group.start(index);
    }
    group.run(milliseconds(5'000));
    for (std::size_t index = 0; index < seeds; ++index)
        EXPECT_EQ(group.at(index).role(), replica_role::Joining);
}

/// Guards against a second log beside one that a former incarnation had started.
TEST(consensus_membership, noReplicaStartsALogBesideOneThatTheLowestHasStarted)
{
    replica_group group(seeds, 5);
    ASSERT_LT(group.runUntilLeader(), seeds);
    group.run(milliseconds(1'000));
    const auto term = group.at(1).log().termAt(1);
    group.setFirstStart(false);
    group.stop(0);
    group.start(0);
    group.run(milliseconds(5'000));
    for (std::size_t index = 0; index < seeds; ++index)
        EXPECT_EQ(group.at(index).log().termAt(1), term) << index;
}

TEST(consensus_membership, aReplicaRemovedWhileCutOffRejoinsAsALearner)
{
    replica_group group(4, 2, seeds);
    const std::size_t leader = group.runUntilLeader();
    ASSERT_LT(leader, seeds);
    group.run(milliseconds(2'000));
    const std::size_t cutOffReplica = (leader + 1) % seeds;
    group.setIsolated(cutOffReplica, true);
    group.run(milliseconds(6'000));
    EXPECT_EQ(votersOf(group, leader).size(), seeds);
    EXPECT_FALSE(group.at(leader).log().members().has(group.member(cutOffReplica)));
    group.setIsolated(cutOffReplica, false);
    group.run(milliseconds(5'000));
    EXPECT_TRUE(group.at(leader).log().members().has(group.member(cutOffReplica)));
    EXPECT_EQ(group.at(cutOffReplica).role(), replica_role::Learner);
}

/// Guards against a replica that is removed for its former silence as soon as it is let in again.
TEST(consensus_membership, aRemovedReplicaThatAnswersLaterThanTheOthersStaysALearner)
{
    replica_group group(4, 1, seeds);
    const std::size_t spare = seeds;
    const std::size_t leader = group.runUntilLeader();
    group.run(milliseconds(3'000));
    ASSERT_EQ(group.at(spare).role(), replica_role::Learner);
    group.setDelay(spare, milliseconds(5));
    group.setIsolated(spare, true);
    group.run(milliseconds(6'000));
    ASSERT_FALSE(group.at(leader).log().members().has(group.member(spare)));
    group.setIsolated(spare, false);
    group.run(milliseconds(3'000));
    const std::size_t settled = group.trace().size();
    group.run(milliseconds(6'000));
    EXPECT_TRUE(group.at(leader).log().members().has(group.member(spare)));
    EXPECT_EQ(group.trace().find("member_removed", settled), std::string::npos);
    EXPECT_EQ(group.trace().find("member_replaced", settled), std::string::npos);
}

/// Guards against a replica that asks only the seeds to let it in, while another replica leads.
TEST(consensus_membership, aReplicaWithoutALogIsLetInByALeaderThatIsNoSeed)
{
    constexpr std::size_t mostElections = 40;
    replica_group group(5, 1, seeds);
    std::size_t leader = group.runUntilLeader();
    group.run(milliseconds(3'000));
    for (std::size_t tries = 0; leader < seeds && tries < mostElections; ++tries) {
        const std::size_t former = leader;
        group.pause(former, true);
        leader = group.runUntilLeader(former);
        group.run(milliseconds(6'000));
        group.pause(former, false);
        group.run(milliseconds(3'000));
        leader = group.runUntilLeader();
    }
    ASSERT_GE(leader, seeds);
    const std::size_t lost = leader == seeds ? seeds + 1 : seeds;
    group.loseDisk(lost);
    group.run(milliseconds(1'000));
    group.start(lost);
    group.run(milliseconds(3'000));
    EXPECT_TRUE(group.at(leader).log().members().has(group.member(lost)));
}

TEST(consensus_membership, emptyReplicasBootstrapOnlyOnTheFirstStart)
{
    replica_group group(3, 3);
    group.runUntilLeader();
    group.setFirstStart(false);
    for (std::size_t at = 0; at < seeds; ++at) {
        group.loseDisk(at);
        group.start(at);
    }
    group.run(milliseconds(10'000));
    for (std::size_t at = 0; at < seeds; ++at) {
        EXPECT_EQ(group.at(at).role(), replica_role::Joining);
        EXPECT_TRUE(group.at(at).log().empty());
    }
}

TEST(consensus_membership, aReplicaThatLostItsDiskRejoinsWithALowerIncarnation)
{
    replica_group group(3, 4);
    const std::size_t leader = group.runUntilLeader();
    ASSERT_LT(leader, seeds);
    const std::size_t lost = (leader + 1) % seeds;
    group.loseDisk(lost);
    group.setIncarnation(lost, 0); // lower than the former incarnation
    group.run(milliseconds(2'000));
    group.start(lost);
    group.run(milliseconds(4'000));
    EXPECT_EQ(group.at(lost).role(), replica_role::Follower);
    EXPECT_EQ(votersOf(group, leader).size(), seeds);
}

/// Two disks are wiped right after an acknowledgement while the other replicas lose power.
TEST(consensus_membership, fiveVotersKeepWhatWasAcknowledgedWhenTwoLoseTheirDisks)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        replica_group group(5, seed, seeds, 5);
        std::size_t leader = group.runUntilLeader();
        ASSERT_LT(leader, seeds);
        group.run(milliseconds(3'000));
        ASSERT_EQ(votersOf(group, leader).size(), 5U) << "seed " << seed;
        const proposal proposed = group.at(leader).propose("acknowledged");
        ASSERT_EQ(proposed.outcome, proposal_outcome::Accepted);
        while (group.at(leader).commitIndex() < proposed.index)
            group.run(milliseconds(1));
        const std::size_t second = (leader + 1 + seed % 4) % 5;
        for (std::size_t at = 0; at < 5; ++at) {
            if (at == leader || at == second)
                group.loseDisk(at);
            else
                group.stop(at);
        }
        group.setFirstStart(false);
        for (std::size_t at = 0; at < 5; ++at)
            group.start(at);
        leader = group.runUntilLeader();
        ASSERT_LT(leader, 5U) << "seed " << seed;
        EXPECT_GE(group.at(leader).commitIndex(), proposed.index) << "seed " << seed;
        group.run(milliseconds(8'000));
        EXPECT_EQ(votersOf(group, leader).size(), 5U) << "seed " << seed;
    }
}

} // namespace yuccascale::kernel::consensus

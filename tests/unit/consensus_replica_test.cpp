#include "fakes/replica_group.hpp"

#include <gtest/gtest.h>

namespace yuccascale::kernel::consensus {

namespace {

using namespace std::chrono_literals;
using fakes::replica_group;

const membership threeVoters{{{"a", 1}, {"b", 2}, {"c", 3}}, {}};

log_entry membershipEntry(term_number term)
{
    return {term, 1, entry_kind::Membership, toCbor(threeVoters)};
}

/// Replica "a" of three; the test sends the messages of its peers.
class consensus_lone_replica : public testing::Test
{
protected:
    void startWith(const std::vector<log_entry> &entries, term_number term)
    {
        durable_state disk;
        disk.hardState.term = term;
        disk.entries = entries;
        startWith(disk);
    }
    void startWith(const durable_state &disk)
    {
        replica_config config;
        config.self = {"a", 1};
        config.initialMembers = {"a", "b", "c"};
        config.commandFormat = 1;
        m_replica = std::make_unique<replica>(config, disk, m_group.sink(0), m_now);
    }
    void advanceTime(nanoseconds time)
    {
        m_now += time;
        m_replica->tick(m_now);
    }
    actions takeAndPersist()
    {
        actions todo = m_replica->takeActions(m_now);
        if (!todo.entries.empty())
            m_replica->persisted(todo.entries.back().index, todo.entries.back().term, m_now);
        return todo;
    }
    void receive(const member_id &from, term_number term, message_body body)
    {
        m_replica->receive({from, {"a", 1}, term, std::move(body)}, m_now);
    }
    void receiveAppendAccepted(const member_id &from, log_index matched,
                               std::uint32_t commandFormat = 0)
    {
        receive(from, m_replica->term(),
                append_reply{true, matched, matched, m_now, commandFormat});
    }
    /// Wins the next election with the vote of b.
    void winElection()
    {
        advanceTime(1'500ms);
        const term_number next = m_replica->term() + 1;
        receive({"b", 2}, m_replica->term(), vote_reply{true, true, next});
        receive({"b", 2}, next, vote_reply{false, true, next});
        ASSERT_EQ(m_replica->role(), replica_role::Leader);
    }

    replica_group m_group{1};
    instant m_now{1h};
    std::unique_ptr<replica> m_replica;
};

} // namespace

TEST_F(consensus_lone_replica, commitsAnEntryOfAnEarlierTermOnlyWithOneOfTheCurrentTerm)
{
    startWith({membershipEntry(1), {2, 2, entry_kind::Command, "old"}}, 2);
    winElection();
    (void)takeAndPersist();
    receiveAppendAccepted({"b", 2}, 2);
    EXPECT_EQ(m_replica->commitIndex(), 0U);
    receiveAppendAccepted({"b", 2}, 3);
    EXPECT_EQ(m_replica->commitIndex(), 3U);
}

TEST_F(consensus_lone_replica, countsItsOwnEntriesOnlyOnceTheyAreDurable)
{
    startWith({membershipEntry(1)}, 1);
    winElection();
    const actions todo = m_replica->takeActions(m_now);
    receiveAppendAccepted({"b", 2}, 2);
    EXPECT_EQ(m_replica->commitIndex(), 0U);
    m_replica->persisted(todo.entries.back().index, todo.entries.back().term, m_now);
    EXPECT_EQ(m_replica->commitIndex(), 2U);
}

TEST_F(consensus_lone_replica, confirmsAReadOnlyByAnAcknowledgementOfALaterRequest)
{
    startWith({membershipEntry(1)}, 1);
    winElection();
    (void)takeAndPersist();
    const instant before = m_now;
    receiveAppendAccepted({"b", 2}, 2);
    m_now += 100ms;
    ASSERT_TRUE(m_replica->requestRead(7, m_now));
    receive({"b", 2}, m_replica->term(), append_reply{true, 2, 2, before});
    EXPECT_TRUE(takeAndPersist().reads.empty());
    receiveAppendAccepted({"b", 2}, 2);
    EXPECT_EQ(takeAndPersist().reads.size(), 1U);
}

/// Guards against replicas of two builds that decide differently on one command.
TEST_F(consensus_lone_replica, proposesACommandOfAFormatOnlyOnceAllMembersApplyIt)
{
    startWith({membershipEntry(1)}, 1);
    EXPECT_EQ(m_replica->propose("early", 1).outcome, proposal_outcome::NotLeader);
    winElection();
    (void)takeAndPersist();
    EXPECT_EQ(m_replica->propose("c is unheard", 1).outcome, proposal_outcome::FormatNotShared);
    receiveAppendAccepted({"b", 2}, 2, 1);
    EXPECT_EQ(m_replica->propose("c is unheard", 1).outcome, proposal_outcome::FormatNotShared);
    receiveAppendAccepted({"c", 3}, 2, 0);
    EXPECT_EQ(m_replica->propose("c is a former build", 1).outcome,
              proposal_outcome::FormatNotShared);
    EXPECT_EQ(m_replica->propose("as before").outcome, proposal_outcome::Accepted);
    receiveAppendAccepted({"c", 3}, 2, 1);
    EXPECT_EQ(m_replica->propose("all apply it", 1).outcome, proposal_outcome::Accepted);
    receiveAppendAccepted({"c", 3}, 2, 0);
    EXPECT_EQ(m_replica->propose("c went back", 1).outcome, proposal_outcome::FormatNotShared);
}

TEST_F(consensus_lone_replica, changesTheMembershipOnceItsTermIsCommittedAndOneAtATime)
{
    durable_state disk;
    disk.hardState.term = 1;
    disk.snapshot = snapshot_data{1, 1, threeVoters, std::make_shared<const std::string>()};
    startWith(disk);
    winElection();
    (void)takeAndPersist();
    receive({"b", 102}, 0, join_request{});
    advanceTime(100ms);
    EXPECT_EQ(m_replica->log().membersIndex(), 1U) << "before its term is committed";

    receiveAppendAccepted({"c", 3}, 2);
    receive({"b", 102}, 0, join_request{});
    advanceTime(100ms);
    ASSERT_EQ(m_replica->log().membersIndex(), 3U);
    EXPECT_EQ(m_replica->log().members().voters.size(), 2U);
    EXPECT_EQ(m_replica->log().members().learners, (std::vector<member_id>{{"b", 102}}));

    (void)takeAndPersist();
    receive({"c", 103}, 0, join_request{});
    advanceTime(100ms);
    EXPECT_EQ(m_replica->log().membersIndex(), 3U) << "while a change is not committed";
}

TEST_F(consensus_lone_replica, promotesALearnerOnlyWhenItHasCaughtUp)
{
    startWith({membershipEntry(1)}, 1);
    winElection();
    (void)takeAndPersist();
    receiveAppendAccepted({"c", 3}, 2);
    receive({"b", 102}, 0, join_request{});
    advanceTime(100ms);
    (void)takeAndPersist();
    receiveAppendAccepted({"c", 3}, 3);
    advanceTime(100ms);
    EXPECT_EQ(m_replica->log().members().learners.size(), 1U);
    receiveAppendAccepted({"b", 102}, 3);
    advanceTime(100ms);
    EXPECT_TRUE(m_replica->log().members().learners.empty());
    EXPECT_FALSE(m_replica->degradedReasons(m_now).empty()) << "until it is committed";
}

TEST_F(consensus_lone_replica, grantsNoVoteWithinAnElectionTimeoutOfItsRestart)
{
    startWith({membershipEntry(1)}, 1);
    m_now += 600ms;
    receive({"b", 2}, 2, vote_request{false, 2, 1, 1});
    EXPECT_EQ(m_replica->term(), 1U);
    m_now += 101ms;
    receive({"b", 2}, 2, vote_request{false, 2, 1, 1});
    EXPECT_EQ(m_replica->term(), 2U);
}

TEST_F(consensus_lone_replica, skipsTheWaitAfterItsStartOnlyForARequestWithItsCurrentBootId)
{
    startWith({membershipEntry(1)}, 1);
    const auto requestBootId = [this] {
        receive({"b", 2}, 1, vote_request{true, 2, 1, 1, 0});
        for (const message &sent : takeAndPersist().messages) {
            if (const auto *reply = std::get_if<vote_reply>(&sent.body))
                return reply->bootId;
        }
        return std::uint64_t{0};
    };
    const std::uint64_t formerBootId = requestBootId();
    EXPECT_NE(formerBootId, 0U);
    m_now += 50ms;
    startWith({membershipEntry(1)}, 1);
    receive({"b", 2}, 2, vote_request{false, 2, 1, 1, formerBootId});
    EXPECT_EQ(m_replica->term(), 1U) << "it may have acknowledged a leader after that boot";
    const std::uint64_t bootId = requestBootId();
    receive({"b", 2}, 2, vote_request{false, 2, 1, 1, bootId});
    EXPECT_EQ(m_replica->term(), 2U);
}

TEST_F(consensus_lone_replica, grantsNoVoteMeantForItsFormerIncarnation)
{
    startWith({}, 0);
    m_replica->receive({{"b", 2}, {"a", 99}, 5, vote_request{false, 5, 9, 4}}, m_now);
    EXPECT_EQ(m_replica->term(), 0U);
    EXPECT_TRUE(takeAndPersist().messages.empty());
}

TEST_F(consensus_lone_replica, bootstrapsOnlyWhenAllOtherReplicasAreEmpty)
{
    startWith({}, 0);
    advanceTime(1ms);
    receive({"b", 2}, 0, join_reply{true, {}});
    receive({"c", 3}, 4, join_reply{false, {}});
    advanceTime(300ms);
    EXPECT_TRUE(m_replica->log().empty());
    receive({"b", 2}, 0, join_reply{true, {}});
    receive({"c", 3}, 4, join_reply{true, {}});
    EXPECT_FALSE(m_replica->log().empty());
    EXPECT_GT(m_replica->term(), 4U);
}

TEST_F(consensus_lone_replica, keepsEntriesAfterASnapshotThatItsLogMatches)
{
    startWith({membershipEntry(1),
               {1, 2, entry_kind::Command, "x"},
               {1, 3, entry_kind::Command, "acknowledged"}},
              1);
    receive({"b", 2}, 1, snapshot_chunk{2, 1, threeVoters, 0, 1, m_now, "s"});
    EXPECT_EQ(m_replica->log().lastIndex(), 3U);
    EXPECT_EQ(m_replica->commitIndex(), 2U);
    EXPECT_FALSE(takeAndPersist().snapshotToInstall);
}

TEST(consensus_replica, aLeaderWithoutAQuorumStepsDown)
{
    replica_group group(3);
    const std::size_t leader = group.runUntilLeader();
    group.setIsolated(leader, true);
    group.run(900ms);
    EXPECT_NE(group.at(leader).role(), replica_role::Leader);
}

TEST(consensus_replica, aReconnectedReplicaDoesNotDeposeTheLeader)
{
    replica_group group(3);
    const std::size_t leader = group.runUntilLeader();
    const std::size_t other = (leader + 1) % 3;
    const term_number term = group.at(leader).term();
    group.setIsolated(other, true);
    group.run(10s);
    group.setIsolated(other, false);
    group.run(2s);
    EXPECT_EQ(group.at(leader).role(), replica_role::Leader);
    EXPECT_EQ(group.at(leader).term(), term);
}

TEST(consensus_replica, electsALeaderWithinTheTimeoutWhenAllReplicasRestart)
{
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        replica_group group(3, seed);
        const std::size_t leader = group.runUntilLeader();
        group.run(1s);
        const term_number term = group.at(leader).term();
        for (std::size_t at = 0; at < 3; ++at)
            group.stop(at);
        group.run(100ms);
        for (std::size_t at = 0; at < 3; ++at)
            group.start(at);
        const kernel::instant restarted = group.now();
        const std::size_t next = group.runUntilLeader();
        ASSERT_LT(next, 3U);
        EXPECT_GT(group.at(next).term(), term);
        EXPECT_LT(group.now() - restarted, 700ms) << "seed " << seed;
    }
}

TEST(consensus_replica, neverHasTwoLeaseHoldersWhenAllFollowersRestart)
{
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        replica_group group(3, seed);
        const std::size_t leader = group.runUntilLeader();
        group.run(1s);
        group.setIsolated(leader, true); // it holds its lease until that expires
        for (std::size_t at = 0; at < 3; ++at) {
            if (at == leader)
                continue;
            group.stop(at);
            group.start(at);
        }
        for (int step = 0; step < 3'000; ++step) {
            group.run(1ms);
            int leading = 0;
            for (std::size_t at = 0; at < 3; ++at)
                leading += group.at(at).leadershipAt(group.now()) ? 1 : 0;
            ASSERT_LE(leading, 1) << "seed " << seed << ", step " << step;
        }
    }
}

/// Guards against a second lease holder in a group of five. A quorum of pre-votes does not show
/// that no leader exists: one of those voters may hear from it before it is asked for its vote, and
/// its lease may then rest on what a restarted voter acknowledged before its restart.
TEST(consensus_replica, restartedVotersWaitUnlessEveryVoterSaidThatThereIsNoLeader)
{
    const membership fiveVoters{{{"a", 1}, {"b", 2}, {"c", 3}, {"d", 4}, {"e", 5}}, {}};
    durable_state disk;
    disk.hardState.term = 1;
    disk.entries = {{1, 1, entry_kind::Membership, toCbor(fiveVoters)}};
    replica_config config;
    config.self = {"a", 1};
    const instant started{1h};
    replica_group traces(1);
    const auto echoedBootId = [&](const std::vector<member_id> &granting) {
        replica candidate(config, disk, traces.sink(0), started);
        const instant now = started + 1'500ms;
        candidate.tick(now);
        constexpr term_number next = 2;
        candidate.receive({{"b", 2}, {"a", 1}, 1, vote_reply{true, false, next, 77}}, now);
        for (const member_id &voter : granting)
            candidate.receive({voter, {"a", 1}, 1, vote_reply{true, true, next}}, now);
        EXPECT_EQ(candidate.term(), next) << "the election has started";
        for (const message &sent : candidate.takeActions(now).messages) {
            const auto *request = std::get_if<vote_request>(&sent.body);
            if (request != nullptr && !request->preVote && sent.to.name == "b")
                return request->bootId;
        }
        return std::uint64_t{1};
    };
    EXPECT_EQ(echoedBootId({{"c", 3}, {"d", 4}, {"e", 5}}), 0U)
            << "a quorum granted the pre-vote before e answered";
}

TEST(consensus_replica, restartedVotersNeedNotWaitWhenEveryVoterSaidThatThereIsNoLeader)
{
    durable_state disk;
    disk.hardState.term = 1;
    disk.entries = {membershipEntry(1)};
    replica_config config;
    config.self = {"a", 1};
    replica_group traces(1);
    const instant started{1h};
    replica candidate(config, disk, traces.sink(0), started);
    const instant now = started + 1'500ms;
    candidate.tick(now);
    candidate.receive({{"b", 2}, {"a", 1}, 1, vote_reply{true, false, 2, 77}}, now);
    candidate.receive({{"c", 3}, {"a", 1}, 1, vote_reply{true, false, 2, 78}}, now);
    std::vector<std::uint64_t> echoed;
    for (const message &sent : candidate.takeActions(now).messages) {
        const auto *request = std::get_if<vote_request>(&sent.body);
        if (request != nullptr && !request->preVote)
            echoed.push_back(request->bootId);
    }
    EXPECT_EQ(echoed, (std::vector<std::uint64_t>{77, 78}));
}

/// Guards against elections that can never succeed on slow disks: the candidate's timeout passed
/// while it made its own vote durable, so it started anew before any vote could arrive.
TEST(consensus_replica, electsALeaderThatCommitsWhenSyncsTakeLongerThanTheElectionTimeout)
{
    constexpr kernel::milliseconds syncTime{1'500}; // the group's election timeout is 700 ms
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        replica_group group(3, seed);
        group.setSyncTime(syncTime);
        const std::size_t leader = group.runUntilLeader();
        ASSERT_LT(leader, 3U) << "seed " << seed;
        const proposal proposed = group.at(leader).propose("change");
        ASSERT_EQ(proposed.outcome, proposal_outcome::Accepted) << "seed " << seed;
        group.run(5 * syncTime);
        EXPECT_EQ(group.at(leader).role(), replica_role::Leader) << "seed " << seed;
        EXPECT_GE(group.at(leader).commitIndex(), proposed.index) << "seed " << seed;
    }
}

} // namespace yuccascale::kernel::consensus

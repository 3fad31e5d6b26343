#pragma once

#include "yuccascale/kernel/consensus/acknowledgements.hpp"
#include "yuccascale/kernel/consensus/entry_log.hpp"
#include "yuccascale/kernel/consensus/messages.hpp"
#include "yuccascale/kernel/events.hpp"
#include "yuccascale/kernel/leadership.hpp"

#include <map>
#include <set>

/// \file
/// \brief The protocol of one replica of the replicated log: Raft with pre-vote, check-quorum,
/// leases, snapshots and learners.

namespace yuccascale::kernel::consensus {

/// \brief Configuration of a replica.
struct replica_config
{
    member_id self;
    std::vector<std::string> initialMembers; ///< names of the replicas that start the first log; a
                                             ///< replica that is not a member asks them to join
    bool firstStart = true;                  ///< a new log may be started
    bool formerLog
            = false; ///< it had a log that it can't read; it then takes part in no first start
    std::size_t voters = 0; ///< target number of voters; 0: as many as initialMembers
    /// Silence after which a learner, or a voter beyond the target number, is removed
    milliseconds removeSilentAfter{3'000};
    milliseconds heartbeat{100};            ///< between a leader's messages to each follower
    milliseconds electionTimeout{700};      ///< shortest timeout; the longest is twice this
    milliseconds lease{1'500};              ///< longest lease after a confirmed heartbeat
    milliseconds orderLifetime{3'000};      ///< longest time that an order can be in flight
    std::size_t maxEntriesInFlight = 4'096; ///< per follower
    std::size_t maxEntriesInMessage = 512;
    std::size_t maxBytesInMessage = 1U << 20U;
    std::size_t maxUncommitted = 16'384; ///< uncommitted entries at which proposals are refused
    std::size_t snapshotChunkBytes = 256U << 10U;
    std::uint64_t seed = 1; ///< of the random part of election timeouts
    /// Newest format of commands that the consumer of the log applies
    std::uint32_t commandFormat = 0;
};

/// \brief Role of a replica.
enum class replica_role { Joining, Learner, Follower, Candidate, Leader };

/// \brief Result of replica::propose().
enum class proposal_outcome {
    Accepted,
    NotLeader,
    Overloaded,
    FormatNotShared, ///< a member may run a build that does not apply the command as others do
};

/// \brief Outcome of a proposal, with its place in the log.
struct proposal
{
    proposal_outcome outcome = proposal_outcome::NotLeader;
    log_index index = 0;  ///< when accepted
    term_number term = 0; ///< when accepted
};

/// \brief A read that the leader may answer once the log is applied up to \a index.
struct confirmed_read
{
    std::uint64_t id = 0;
    log_index index = 0;
    bool confirmed = false; ///< false: this replica is no longer the leader
};

/// \brief What the caller has to do, in this order: make hardState, snapshotToInstall and entries
/// durable; then call persisted(), send the messages, install the snapshot, and apply the committed
/// entries.
struct actions
{
    std::optional<hard_state> hardState;
    std::optional<snapshot_data> snapshotToInstall; ///< replaces the consumer's state and the log
    /// An entry at an existing index replaces the tail from there on
    std::vector<log_entry> entries;
    std::vector<message> earlyMessages; ///< may be sent before the entries are durable
    std::vector<message> messages;
    std::vector<log_entry> committed; ///< to be applied
    std::vector<confirmed_read> reads;

    [[nodiscard]] bool mustSync() const noexcept
    {
        return hardState || snapshotToInstall || !entries.empty();
    }
};

/// \brief One replica. It handles events, given with a clock reading, and returns actions. Not
/// thread-safe.
///
/// \example
///     replica.receive(message, clock.now());
///     const actions pendingActions = replica.takeActions(clock.now());
class replica
{
public:
    /// \param recovered the state recovered from the store
    replica(replica_config config, const durable_state &recovered, event_sink &events, instant now);

    /// \brief Handles timeouts; to be called at nextTick() or earlier.
    void tick(instant now);

    /// \returns the time by which tick() must be called.
    [[nodiscard]] instant nextTick() const noexcept;

    /// \brief Handles a message from another replica.
    void receive(const message &received, instant now);

    /// \brief Adds a command to the log; only on the leader.
    /// \param commandFormat the lowest format that a member must apply to decide as all others
    [[nodiscard]] proposal propose(std::string payload, std::uint32_t commandFormat = 0);

    /// \brief Requests a confirmation of leadership, which is returned in actions::reads.
    /// \returns false when this replica is not the leader.
    [[nodiscard]] bool requestRead(std::uint64_t id, instant now);

    /// \brief Reports that the entries up to this one are durable here.
    void persisted(log_index index, term_number term, instant now);

    /// \brief Reports that the state in the last actions is durable. No message was handled during
    /// the sync, so its time does not count as silence of the others.
    void syncFinished(nanoseconds syncTime);

    /// \brief Discards entries before \a keepFrom that a durable \a snapshot covers.
    void compact(snapshot_data snapshot, log_index keepFrom);

    /// \brief Takes the actions that have become necessary since the last call.
    [[nodiscard]] actions takeActions(instant now);

    /// \returns a snapshot of the applied entries up to \a index, which must be in the log.
    [[nodiscard]] snapshot_data snapshotAt(log_index index, std::string bytes) const;

    [[nodiscard]] replica_role role() const noexcept { return m_role; }
    [[nodiscard]] term_number term() const noexcept { return m_hardState.term; }
    [[nodiscard]] log_index commitIndex() const noexcept { return m_commitIndex; }
    [[nodiscard]] const entry_log &log() const noexcept { return m_log; }
    [[nodiscard]] const member_id &self() const noexcept { return m_config.self; }

    /// \returns the name of this term's leader, maybe this replica; empty while none is known.
    [[nodiscard]] const std::string &leader() const noexcept { return m_leader; }

    /// \returns the leadership and lease of this replica, or nothing when it holds none at \a now.
    [[nodiscard]] std::optional<leadership> leadershipAt(instant now) const;

    /// \returns why the cluster may not survive another failure, each reason with its remedy; empty
    ///          when the target number of voters is reached and, on the leader, all voters answer.
    [[nodiscard]] std::vector<std::string> degradedReasons(instant now) const;

    /// \returns the newest format of commands that all members apply, as far as they have told this
    ///          leader; 0 when this replica is not the leader.
    [[nodiscard]] std::uint32_t commonCommandFormat() const;

    /// \returns how long the lease lasts after a confirmed heartbeat was sent.
    [[nodiscard]] nanoseconds effectiveLease() const noexcept;

private:
    enum class progress_state { Probe, Replicate, Snapshot };

    /// The leader's replication state of another member.
    struct peer_progress
    {
        progress_state state = progress_state::Probe;
        log_index matched = 0;
        log_index nextIndex = 1;
        instant lastSent{};
        instant trackedSince{};          ///< it became a member then, or this replica leader
        std::uint32_t commandFormat = 0; ///< newest one that it applies; 0: not told
        snapshot_data snapshot;          ///< being sent in state Snapshot
        std::uint64_t snapshotOffset = 0;
    };

    struct pending_read
    {
        std::uint64_t id = 0;
        log_index index = 0;
        instant requestedAt{};
    };

    struct empty_peer
    {
        std::uint64_t incarnation = 0;
        term_number term = 0;
        instant lastContactAt{};
        bool mayNotStart = false; ///< it starts no log
    };

    // replica.cpp
    void dispatch(const message &received, instant now);
    void send(const member_id &to, message_body body);
    void sendEarly(const member_id &to, message_body body);
    [[nodiscard]] bool fromOlderIncarnation(const member_id &from);
    void rejectLowerTerm(const message &received);
    void adoptTerm(term_number term, instant now);
    void follow(const member_id &leader, instant now);
    void stepDown(instant now);
    void failReads();
    void refreshRole();
    [[nodiscard]] nanoseconds randomBetween(nanoseconds shortest, nanoseconds longest);

    // replica_election.cpp
    void startPreVote(instant now);
    void recordSilentVoters();
    void startElection(instant now, bool noLeaderExists);
    void requestPreVotes();
    void requestVotes();
    [[nodiscard]] bool mayGrantVote(const vote_request &request, instant now) const;
    void startElectionIfPreVoteWon(instant now);
    void countVote(const member_id &voter, instant now);
    void becomeLeader(instant now);
    [[nodiscard]] bool hasRecentLeaderContact(instant now) const;
    [[nodiscard]] bool upToDate(log_index lastIndex, term_number lastTerm) const;
    void handle(const message &received, const vote_request &request, instant now);
    void handle(const message &received, const vote_reply &reply, instant now);

    // replica_replication.cpp
    log_index appendAsLeader(entry_kind kind, std::string payload);
    void replicate(const member_id &to, peer_progress &progress, instant now);
    void replicateToMembers(instant now);
    void sendDueHeartbeats(instant now);
    void confirmReads(instant now);
    void advanceCommit(instant now);
    void recordAcknowledgement(const member_id &from, instant sentAt, instant now);
    [[nodiscard]] append_reply acceptEntries(const append_request &request);
    void handleRejectedAppend(peer_progress &progress, const append_reply &reply);
    [[nodiscard]] bool mayReplicate(const peer_progress &progress) const noexcept;
    void handle(const message &received, const append_request &request, instant now);
    void handle(const message &received, const append_reply &reply, instant now);

    // replica_snapshot.cpp
    void sendSnapshotChunk(const member_id &to, peer_progress &progress, instant now);
    void installReceivedSnapshot();
    void handle(const message &received, const snapshot_chunk &chunk, instant now);
    void handle(const message &received, const snapshot_reply &reply, instant now);

    // replica_membership.cpp
    void sendJoinRequests(instant now, nanoseconds interval);
    [[nodiscard]] bool startsTheLog() const;
    void bootstrapIfAllEmpty(instant now);
    void changeMembership(instant now);
    [[nodiscard]] std::optional<membership> nextMembership(instant now);
    [[nodiscard]] std::optional<membership> withPromotedLearner(instant now);
    [[nodiscard]] std::optional<membership> withJoinedReplica(const member_id &joiner, instant now);
    [[nodiscard]] std::optional<membership> withoutUnresponsiveMember(instant now);
    [[nodiscard]] std::size_t targetVoterCount() const noexcept;
    [[nodiscard]] bool isSilent(const member_id &member, instant now, nanoseconds threshold) const;
    [[nodiscard]] std::set<std::string> joinTargets() const;
    [[nodiscard]] bool caughtUp(const member_id &learner, instant now) const;
    void refreshProgress(instant now);
    void handle(const message &received, const join_request &request, instant now);
    void handle(const message &received, const join_reply &reply, instant now);

    replica_config m_config;
    event_sink &m_events;
    entry_log m_log;
    hard_state m_hardState;
    hard_state m_durableHardState;
    replica_role m_role = replica_role::Joining;
    std::string m_leader;
    log_index m_commitIndex = 0;
    log_index m_deliveredIndex = 0; ///< committed entries up to here were returned in actions
    actions m_actions;
    std::uint64_t m_randomState;
    std::map<std::string, std::uint64_t> m_newestIncarnations; ///< by name

    // follower and candidate
    instant m_leaderContactAt;
    instant m_electionAt;
    /// Duration of the last sync, up to a limit; the other voters' syncs are expected to take as
    /// long.
    nanoseconds m_syncTime{};
    bool m_preVoting = false;
    std::set<member_id> m_votes;
    std::string m_silentVoters; ///< names of those that the last pre-vote waited for in vain
    /// Identifies this start of the replica until a message from a leader arrives; then 0.
    std::uint64_t m_bootId = 0;
    /// Boot ids of voters that grant no vote yet because they have just started
    std::map<member_id, std::uint64_t> m_waitingBootIds;
    std::string m_snapshotBytes; ///< received so far
    snapshot_chunk m_snapshotHeader;

    // leader
    log_index m_durableIndex = 0;
    log_index m_termStart = 0; ///< first entry of this leader's term
    instant m_electedAt{};
    instant m_lastTickAt{};
    instant m_authoritySince{};
    /// Entries, commit index or read request are to be sent to all members
    bool m_replicationPending = false;
    acknowledgements m_acknowledgements;
    std::map<member_id, peer_progress> m_progress;
    std::vector<pending_read> m_reads;
    std::map<std::string, std::uint64_t>
            m_joiners; ///< incarnations of replicas that requested to join, by name

    // joining
    instant m_nextJoinRequestAt{};
    std::string m_leaderToJoin; ///< named by a reply to a join request; may be empty
    std::map<std::string, empty_peer> m_emptyPeers;
};

} // namespace yuccascale::kernel::consensus

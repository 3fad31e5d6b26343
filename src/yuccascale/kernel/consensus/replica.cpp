#include "yuccascale/kernel/consensus/replica.hpp"

#include "yuccascale/kernel/consensus/events.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace yuccascale::kernel::consensus {

namespace {

/// One step of the splitmix64 generator.
std::uint64_t nextRandom(std::uint64_t &state) noexcept
{
    state += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

template<typename Body>
bool hasBody(const message &received) noexcept
{
    return std::holds_alternative<Body>(received.body);
}

/// Pre-vote requests and granted pre-vote replies do not raise the receiver's term.
bool carriesTerm(const message &received) noexcept
{
    if (const auto *request = std::get_if<vote_request>(&received.body))
        return !request->preVote;
    if (const auto *reply = std::get_if<vote_reply>(&received.body))
        return !(reply->preVote && reply->granted);
    return true;
}

/// \returns a boot id that differs from those of other starts of the replica; never 0.
[[nodiscard]] std::uint64_t makeBootId(std::uint64_t seed, instant startedAt) noexcept
{
    const auto ticks = static_cast<std::uint64_t>(startedAt.time_since_epoch().count());
    return (seed ^ ticks) | 1U;
}

} // namespace

replica::replica(replica_config config, const durable_state &recovered, event_sink &events,
                 instant now)
    : m_config(std::move(config))
    , m_events(events)
    , m_log(recovered)
    , m_hardState(recovered.hardState)
    , m_durableHardState(recovered.hardState)
    , m_randomState(m_config.seed)
    , m_leaderContactAt(now)
    , m_electionAt(now)
    , m_durableIndex(m_log.lastIndex())
    , m_nextJoinRequestAt(now)
{
    if (m_log.snapshot())
        m_commitIndex = m_deliveredIndex = m_log.snapshot()->index;
    // a replica that never voted and has no log cannot have acknowledged a leader
    if (m_log.empty() && m_hardState == hard_state{})
        m_leaderContactAt = instant::min();
    else
        m_bootId = makeBootId(m_config.seed, now);
    // the other replicas may have just started too, and then need not wait for each other
    if (m_log.members().voters != std::vector{m_config.self})
        m_electionAt
                = now + randomBetween(m_config.electionTimeout / 16, m_config.electionTimeout / 4);
    refreshRole();
}

void replica::tick(instant now)
{
    m_lastTickAt = now;
    if (m_role == replica_role::Leader) {
        const instant confirmed
                = m_acknowledgements.quorumAckedSendTime(m_log.members(), m_config.self, now);
        const nanoseconds quorumTimeout = m_config.electionTimeout + 2 * m_syncTime;
        if (std::max(confirmed, m_electedAt) + quorumTimeout < now) {
            m_events.record(quorumLost, {{"term", m_hardState.term}});
            stepDown(now);
            return;
        }
        confirmReads(now);
        changeMembership(now);
        sendDueHeartbeats(now);
    } else if (m_log.members().hasVoter(m_config.self)) {
        if (now >= m_electionAt)
            startPreVote(now);
        // the other replicas may have removed this one while it was disconnected
        if (m_role == replica_role::Candidate && now >= m_nextJoinRequestAt)
            sendJoinRequests(now, m_config.electionTimeout);
    } else if (now >= m_nextJoinRequestAt) {
        sendJoinRequests(now, 2 * m_config.heartbeat);
    }
}

instant replica::nextTick() const noexcept
{
    if (m_role == replica_role::Leader)
        return m_lastTickAt + m_config.heartbeat;
    if (m_role == replica_role::Follower || m_role == replica_role::Candidate)
        return m_electionAt;
    return m_nextJoinRequestAt;
}

void replica::receive(const message &received, instant now)
{
    if (received.to.name != m_config.self.name)
        return;
    if (const auto *joinMessage = std::get_if<join_request>(&received.body))
        return handle(received, *joinMessage, now);
    if (fromOlderIncarnation(received.from))
        return;
    if (received.to.incarnation != m_config.self.incarnation)
        return;
    if (const auto *joinMessage = std::get_if<join_reply>(&received.body))
        return handle(received, *joinMessage, now);
    if (received.term < m_hardState.term && !hasBody<vote_reply>(received))
        return rejectLowerTerm(received);
    const auto *vote = std::get_if<vote_request>(&received.body);
    if (vote != nullptr && !vote->preVote && received.term > m_hardState.term
        && !mayGrantVote(*vote, now))
        return;
    if (received.term > m_hardState.term && carriesTerm(received))
        adoptTerm(received.term, now);
    dispatch(received, now);
}

void replica::dispatch(const message &received, instant now)
{
    std::visit([&](const auto &body) { handle(received, body, now); }, received.body);
}

bool replica::fromOlderIncarnation(const member_id &from)
{
    if (m_log.members().has(from))
        return false;
    std::uint64_t &newest = m_newestIncarnations[from.name];
    if (from.incarnation < newest)
        return true;
    newest = from.incarnation;
    return false;
}

/// Answers a leader or candidate of an older term with the current term.
void replica::rejectLowerTerm(const message &received)
{
    if (const auto *append = std::get_if<append_request>(&received.body))
        send(received.from,
             append_reply{false, 0, append->previousIndex, append->sentAt, m_config.commandFormat});
    else if (const auto *chunk = std::get_if<snapshot_chunk>(&received.body))
        send(received.from, snapshot_reply{chunk->index, 0, false, chunk->sentAt});
    else if (const auto *vote = std::get_if<vote_request>(&received.body))
        send(received.from, vote_reply{vote->preVote, false, vote->candidateTerm});
}

void replica::adoptTerm(term_number term, instant now)
{
    if (m_role == replica_role::Leader)
        m_events.record(leaderDeposed, {{"term", m_hardState.term}, {"newer_term", term}});
    m_hardState = {term, std::nullopt};
    stepDown(now);
}

void replica::follow(const member_id &leader, instant now)
{
    if (m_role == replica_role::Candidate)
        stepDown(now);
    if (m_leader != leader.name) {
        m_leader = leader.name;
        m_events.record(leaderFollowed, {{"leader", m_leader}, {"term", m_hardState.term}});
    }
    m_leaderContactAt = now;
    m_bootId = 0;
    m_electionAt = now + randomBetween(m_config.electionTimeout, 2 * m_config.electionTimeout);
    m_nextJoinRequestAt = now + 2 * m_config.electionTimeout;
}

void replica::stepDown(instant now)
{
    failReads();
    m_progress.clear();
    m_votes.clear();
    m_leader.clear();
    m_authoritySince = {};
    m_replicationPending = false;
    m_role = replica_role::Follower;
    refreshRole();
    m_electionAt = now + randomBetween(m_config.electionTimeout, 2 * m_config.electionTimeout);
}

void replica::failReads()
{
    for (const pending_read &read : m_reads)
        m_actions.reads.push_back({read.id, read.index, false});
    m_reads.clear();
}

void replica::refreshRole()
{
    if (m_role == replica_role::Leader || m_role == replica_role::Candidate)
        return;
    if (m_log.members().hasVoter(m_config.self))
        m_role = replica_role::Follower;
    else if (m_log.members().has(m_config.self))
        m_role = replica_role::Learner;
    else
        m_role = replica_role::Joining;
}

nanoseconds replica::randomBetween(nanoseconds shortest, nanoseconds longest)
{
    const auto width = static_cast<std::uint64_t>((longest - shortest).count());
    return shortest
            + nanoseconds(static_cast<std::int64_t>(nextRandom(m_randomState) % (width + 1)));
}

void replica::send(const member_id &to, message_body body)
{
    m_actions.messages.push_back({m_config.self, to, m_hardState.term, std::move(body)});
}

void replica::sendEarly(const member_id &to, message_body body)
{
    m_actions.earlyMessages.push_back({m_config.self, to, m_hardState.term, std::move(body)});
}

proposal replica::propose(std::string payload, std::uint32_t commandFormat)
{
    if (m_role != replica_role::Leader)
        return {proposal_outcome::NotLeader};
    if (m_log.lastIndex() - m_commitIndex >= m_config.maxUncommitted)
        return {proposal_outcome::Overloaded};
    if (commandFormat > commonCommandFormat())
        return {proposal_outcome::FormatNotShared};
    const log_index index = appendAsLeader(entry_kind::Command, std::move(payload));
    return {proposal_outcome::Accepted, index, m_hardState.term};
}

bool replica::requestRead(std::uint64_t id, instant now)
{
    if (m_role != replica_role::Leader)
        return false;
    m_reads.push_back({id, std::max(m_commitIndex, m_termStart), now});
    m_replicationPending = true;
    return true;
}

void replica::compact(snapshot_data snapshot, log_index keepFrom)
{
    m_log.compact(std::move(snapshot), keepFrom);
}

snapshot_data replica::snapshotAt(log_index index, std::string bytes) const
{
    return {index, m_log.termAt(index).value_or(0), m_log.membersAt(index),
            std::make_shared<const std::string>(std::move(bytes))};
}

actions replica::takeActions(instant now)
{
    if (m_role == replica_role::Leader) {
        confirmReads(now);
        if (std::exchange(m_replicationPending, false))
            replicateToMembers(now);
    }
    actions pendingActions = std::exchange(m_actions, {});
    if (m_hardState != m_durableHardState) {
        pendingActions.hardState = m_hardState;
        m_durableHardState = m_hardState;
        pendingActions.messages.insert(
                pendingActions.messages.begin(),
                std::make_move_iterator(pendingActions.earlyMessages.begin()),
                std::make_move_iterator(pendingActions.earlyMessages.end()));
        pendingActions.earlyMessages.clear();
    }
    pendingActions.entries = m_log.takeUnstable();
    while (m_deliveredIndex < m_commitIndex)
        pendingActions.committed.push_back(m_log.at(++m_deliveredIndex));
    return pendingActions;
}

nanoseconds replica::effectiveLease() const noexcept
{
    // after an acknowledgement, voters grant no other vote for an election timeout by their own
    // clocks; the lease is a tenth shorter to allow for clock drift
    const nanoseconds voteWithheldFor = m_config.electionTimeout;
    return std::min<nanoseconds>(m_config.lease, voteWithheldFor - voteWithheldFor / 10);
}

std::optional<leadership> replica::leadershipAt(instant now) const
{
    if (m_role != replica_role::Leader || m_commitIndex < m_termStart)
        return std::nullopt;
    const instant confirmed
            = m_acknowledgements.quorumAckedSendTime(m_log.members(), m_config.self, now);
    const instant until = confirmed + effectiveLease();
    if (now >= until)
        return std::nullopt;
    return leadership{m_hardState.term, m_authoritySince, until,
                      m_electedAt + m_config.lease + m_config.orderLifetime};
}

/// A member that has not answered this leader yet may be of any build.
std::uint32_t replica::commonCommandFormat() const
{
    if (m_role != replica_role::Leader)
        return 0;
    std::uint32_t common = m_config.commandFormat;
    for (const auto &[member, progress] : m_progress)
        common = std::min(common, progress.commandFormat);
    return common;
}

std::vector<std::string> replica::degradedReasons(instant now) const
{
    std::vector<std::string> reasons;
    const membership &members = m_log.members();
    if (m_role == replica_role::Joining)
        reasons.emplace_back("this replica is not a member of the cluster yet; start the other "
                             "control nodes and wait");
    else if (m_leader.empty())
        reasons.emplace_back("there is no leader; start the control nodes that are down");
    if (m_log.membersIndex() > m_commitIndex)
        reasons.emplace_back("a membership change is not committed yet; wait until it is");
    for (const member_id &learner : members.learners)
        reasons.push_back(learner.name + " is still catching up; keep the other control nodes up");
    if (!members.voters.empty() && members.voters.size() < targetVoterCount())
        reasons.push_back("only " + std::to_string(members.voters.size()) + " of "
                          + std::to_string(targetVoterCount())
                          + " replicas vote; start another control node");
    for (const member_id &voter : members.voters) {
        if (m_role == replica_role::Leader && isSilent(voter, now, m_config.electionTimeout))
            reasons.push_back(voter.name + " does not answer; restart it or repair its network");
    }
    return reasons;
}

} // namespace yuccascale::kernel::consensus

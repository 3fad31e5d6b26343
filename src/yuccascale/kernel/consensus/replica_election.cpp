#include "yuccascale/kernel/consensus/events.hpp"
#include "yuccascale/kernel/consensus/replica.hpp"

#include <algorithm>

namespace yuccascale::kernel::consensus {

namespace {

/// Longest sync that timeouts make allowance for, in election timeouts. A disk that takes longer
/// should not keep its replica leader.
constexpr int maxSyncTimeouts = 4;

} // namespace

void replica::startPreVote(instant now)
{
    recordSilentVoters();
    m_role = replica_role::Candidate;
    m_preVoting = true;
    m_leader.clear();
    m_votes.clear();
    m_waitingBootIds.clear();
    // a refused pre-vote does not disturb the cluster, so it is repeated soon
    m_electionAt = now + randomBetween(m_config.electionTimeout / 8, m_config.electionTimeout / 4);
    requestPreVotes();
    countVote(m_config.self, now);
}

/// Names the voters that the pre-vote before this one got no answer from, when they change.
void replica::recordSilentVoters()
{
    std::string silent;
    const bool repeated = m_role == replica_role::Candidate && m_preVoting;
    for (const member_id &voter : m_log.members().voters) {
        const bool answered = m_votes.contains(voter) || m_waitingBootIds.contains(voter);
        if (repeated && !answered)
            silent += (silent.empty() ? "" : " ") + voter.name;
    }
    if (!silent.empty() && silent != m_silentVoters)
        m_events.record(votersAwaited, {{"term", m_hardState.term}, {"voters", silent}});
    m_silentVoters = std::move(silent);
}

/// \param noLeaderExists every voter said so; voters that have just started then need not wait
void replica::startElection(instant now, bool noLeaderExists)
{
    if (!noLeaderExists)
        m_waitingBootIds.clear();
    m_preVoting = false;
    m_votes.clear();
    m_hardState = {m_hardState.term + 1, m_config.self};
    m_electionAt = now + randomBetween(m_config.electionTimeout / 2, m_config.electionTimeout);
    m_events.record(electionStarted, {{"term", m_hardState.term}});
    requestVotes();
    countVote(m_config.self, now);
}

void replica::requestPreVotes()
{
    const term_number candidateTerm = m_hardState.term + 1;
    for (const member_id &voter : m_log.members().voters) {
        if (voter != m_config.self)
            send(voter, vote_request{true, candidateTerm, m_log.lastIndex(), m_log.lastTerm(), 0});
    }
}

void replica::requestVotes()
{
    for (const member_id &voter : m_log.members().voters) {
        if (voter == m_config.self)
            continue;
        const auto bootId = m_waitingBootIds.find(voter);
        const std::uint64_t echoedBootId = bootId == m_waitingBootIds.end() ? 0 : bootId->second;
        send(voter,
             vote_request{false, m_hardState.term, m_log.lastIndex(), m_log.lastTerm(),
                          echoedBootId});
    }
}

void replica::countVote(const member_id &voter, instant now)
{
    if (!m_log.members().hasVoter(voter))
        return;
    m_votes.insert(voter);
    if (m_preVoting)
        startElectionIfPreVoteWon(now);
    else if (m_votes.size() >= m_log.members().quorum())
        becomeLeader(now);
}

/// A voter grants no vote for an election timeout after its start, since it may have acknowledged a
/// leader before, whose lease still depends on that. When each voter grants the pre-vote or has
/// just started, there is no such leader, and the wait is not needed.
void replica::startElectionIfPreVoteWon(instant now)
{
    const std::vector<member_id> &voters = m_log.members().voters;
    const bool noLeaderExists = std::ranges::all_of(voters, [this](const member_id &voter) {
        return m_votes.contains(voter) || m_waitingBootIds.contains(voter);
    });
    const bool elected = m_votes.size() >= m_log.members().quorum() && !hasRecentLeaderContact(now);
    if (elected || noLeaderExists)
        startElection(now, noLeaderExists);
}

void replica::becomeLeader(instant now)
{
    m_role = replica_role::Leader;
    m_leader = m_config.self.name;
    m_bootId = 0;
    m_electedAt = now;
    m_lastTickAt = now;
    m_authoritySince = {};
    m_acknowledgements.clear();
    m_joiners.clear();
    m_progress.clear();
    refreshProgress(now);
    m_events.record(leaderElected, {{"term", m_hardState.term}, {"last_index", m_log.lastIndex()}});
    m_termStart = appendAsLeader(entry_kind::Noop, {});
}

bool replica::hasRecentLeaderContact(instant now) const
{
    if (m_role == replica_role::Leader)
        return true;
    return m_leaderContactAt + m_config.electionTimeout > now;
}

/// \returns whether no leader's lease can depend on an acknowledgement of this replica.
bool replica::mayGrantVote(const vote_request &request, instant now) const
{
    const bool noLeaderExists = m_bootId != 0 && request.bootId == m_bootId;
    return noLeaderExists || !hasRecentLeaderContact(now);
}

/// After a sync, messages that arrived meanwhile are still to be handled, and the others' votes and
/// acknowledgements may wait for syncs that take as long.
void replica::syncFinished(nanoseconds syncTime)
{
    m_syncTime = std::min<nanoseconds>(syncTime, maxSyncTimeouts * m_config.electionTimeout);
    m_electionAt += 2 * m_syncTime;
}

bool replica::upToDate(log_index lastIndex, term_number lastTerm) const
{
    if (lastTerm != m_log.lastTerm())
        return lastTerm > m_log.lastTerm();
    return lastIndex >= m_log.lastIndex();
}

void replica::handle(const message &received, const vote_request &request, instant now)
{
    const bool newerTerm = request.candidateTerm > m_hardState.term;
    const bool sameTermVote = request.candidateTerm == m_hardState.term
            && (!m_hardState.votedFor || m_hardState.votedFor == received.from);
    const bool eligible
            = (newerTerm || sameTermVote) && upToDate(request.lastIndex, request.lastTerm);
    const bool granted = eligible && mayGrantVote(request, now);
    const std::uint64_t bootId = eligible && !granted ? m_bootId : 0;
    if (granted && !request.preVote) {
        m_hardState.votedFor = received.from;
        m_electionAt = now + randomBetween(m_config.electionTimeout, 2 * m_config.electionTimeout);
    }
    send(received.from, vote_reply{request.preVote, granted, request.candidateTerm, bootId});
}

void replica::handle(const message &received, const vote_reply &reply, instant now)
{
    const term_number expectedTerm = m_preVoting ? m_hardState.term + 1 : m_hardState.term;
    if (m_role != replica_role::Candidate || reply.preVote != m_preVoting
        || reply.candidateTerm != expectedTerm)
        return;
    if (reply.granted)
        return countVote(received.from, now);
    if (!m_preVoting || reply.bootId == 0)
        return;
    m_waitingBootIds[received.from] = reply.bootId;
    startElectionIfPreVoteWon(now);
}

} // namespace yuccascale::kernel::consensus

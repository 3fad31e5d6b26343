#include "yuccascale/kernel/consensus/events.hpp"
#include "yuccascale/kernel/consensus/replica.hpp"

#include <algorithm>

namespace yuccascale::kernel::consensus {

void replica::startPreVote(instant now)
{
    m_role = replica_role::Candidate;
    m_preVoting = true;
    m_leader.clear();
    m_votes.clear();
    m_startStamps.clear();
    // a refused pre-vote costs nothing, so it is repeated soon
    m_electionAt = now + randomBetween(m_config.electionTimeout / 8, m_config.electionTimeout / 4);
    askForVotes(true);
    countVote(m_config.self, now);
}

void replica::startElection(instant now)
{
    m_preVoting = false;
    m_votes.clear();
    m_hard = {m_hard.term + 1, m_config.self};
    m_electionAt = now + randomBetween(m_config.electionTimeout / 2, m_config.electionTimeout);
    m_events.record(electionStarted, {{"term", m_hard.term}});
    askForVotes(false);
    countVote(m_config.self, now);
}

void replica::askForVotes(bool preVote)
{
    const term_number candidateTerm = preVote ? m_hard.term + 1 : m_hard.term;
    for (const member_id &voter : m_log.members().voters) {
        if (voter == m_config.self)
            continue;
        const auto stamp = m_startStamps.find(voter);
        const std::uint64_t echoed = !preVote && stamp != m_startStamps.end() ? stamp->second : 0;
        send(voter,
             vote_request{preVote, candidateTerm, m_log.lastIndex(), m_log.lastTerm(), echoed});
    }
}

void replica::countVote(const member_id &voter, instant now)
{
    if (!m_log.members().hasVoter(voter))
        return;
    m_votes.insert(voter);
    if (m_preVoting)
        considerElection(now);
    else if (m_votes.size() >= m_log.members().quorum())
        becomeLeader(now);
}

/// A voter waits an election timeout after its start, since it may have acknowledged a leader
/// before that still counts on it. When no voter leads, there is no such leader, and nobody needs
/// to wait.
void replica::considerElection(instant now)
{
    const std::vector<member_id> &voters = m_log.members().voters;
    const bool nobodyLeads = std::ranges::all_of(voters, [this](const member_id &voter) {
        return m_votes.contains(voter) || m_startStamps.contains(voter);
    });
    const bool elected = m_votes.size() >= m_log.members().quorum() && !heardLeaderRecently(now);
    if (elected || nobodyLeads)
        startElection(now);
}

void replica::becomeLeader(instant now)
{
    m_role = replica_role::Leader;
    m_leader = m_config.self.name;
    m_startStamp = 0;
    m_electedAt = now;
    m_tickedAt = now;
    m_authoritySince = {};
    m_acknowledgements.clear();
    m_joiners.clear();
    m_progress.clear();
    refreshProgress();
    m_events.record(leaderElected, {{"term", m_hard.term}, {"last_index", m_log.lastIndex()}});
    m_termStart = appendOwn(entry_kind::Noop, {});
}

bool replica::heardLeaderRecently(instant now) const
{
    if (m_role == replica_role::Leader)
        return true;
    return m_leaderHeardAt + m_config.electionTimeout > now;
}

/// \returns whether no leader can count on a promise of this replica.
bool replica::freeToVote(const vote_request &request, instant now) const
{
    const bool nobodyLeads = m_startStamp != 0 && request.startStamp == m_startStamp;
    return nobodyLeads || !heardLeaderRecently(now);
}

bool replica::upToDate(log_index lastIndex, term_number lastTerm) const
{
    if (lastTerm != m_log.lastTerm())
        return lastTerm > m_log.lastTerm();
    return lastIndex >= m_log.lastIndex();
}

void replica::on(const message &received, const vote_request &request, instant now)
{
    const bool newerTerm = request.candidateTerm > m_hard.term;
    const bool sameTermVote = request.candidateTerm == m_hard.term
            && (!m_hard.votedFor || m_hard.votedFor == received.from);
    const bool eligible
            = (newerTerm || sameTermVote) && upToDate(request.lastIndex, request.lastTerm);
    const bool granted = eligible && freeToVote(request, now);
    const std::uint64_t stamp = eligible && !granted ? m_startStamp : 0;
    if (granted && !request.preVote) {
        m_hard.votedFor = received.from;
        m_electionAt = now + randomBetween(m_config.electionTimeout, 2 * m_config.electionTimeout);
    }
    send(received.from, vote_reply{request.preVote, granted, request.candidateTerm, stamp});
}

void replica::on(const message &received, const vote_reply &reply, instant now)
{
    const term_number wanted = m_preVoting ? m_hard.term + 1 : m_hard.term;
    if (m_role != replica_role::Candidate || reply.preVote != m_preVoting
        || reply.candidateTerm != wanted)
        return;
    if (reply.granted)
        return countVote(received.from, now);
    if (!m_preVoting || reply.startStamp == 0)
        return;
    m_startStamps[received.from] = reply.startStamp;
    considerElection(now);
}

} // namespace yuccascale::kernel::consensus

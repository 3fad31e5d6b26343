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
        if (voter != m_config.self) {
            send(voter, vote_request{preVote, candidateTerm, m_log.lastIndex(), m_log.lastTerm()});
        }
    }
}

void replica::countVote(const member_id &voter, instant now)
{
    if (!m_log.members().hasVoter(voter))
        return;
    m_votes.insert(voter);
    if (m_votes.size() < m_log.members().quorum())
        return;
    if (m_preVoting)
        startElection(now);
    else
        becomeLeader(now);
}

void replica::becomeLeader(instant now)
{
    m_role = replica_role::Leader;
    m_leader = m_config.self.name;
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
    const bool granted = (newerTerm || sameTermVote) && !heardLeaderRecently(now)
            && upToDate(request.lastIndex, request.lastTerm);
    if (granted && !request.preVote) {
        m_hard.votedFor = received.from;
        m_electionAt = now + randomBetween(m_config.electionTimeout, 2 * m_config.electionTimeout);
    }
    send(received.from, vote_reply{request.preVote, granted, request.candidateTerm});
}

void replica::on(const message &received, const vote_reply &reply, instant now)
{
    const term_number wanted = m_preVoting ? m_hard.term + 1 : m_hard.term;
    if (m_role != replica_role::Candidate || reply.preVote != m_preVoting
        || reply.candidateTerm != wanted || !reply.granted)
        return;
    countVote(received.from, now);
}

} // namespace yuccascale::kernel::consensus

#include "yuccascale/kernel/consensus/events.hpp"
#include "yuccascale/kernel/consensus/replica.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::kernel::consensus {

namespace {

/// A learner that lacks at most this many entries can be promoted.
constexpr log_index promotionLagEntries = 64;

} // namespace

/// \returns the names of the replicas that may be members of the cluster; the leader, which alone
///          lets others in, may be one that only they know.
std::set<std::string> replica::joinTargets() const
{
    std::set<std::string> names(m_config.initialMembers.begin(), m_config.initialMembers.end());
    for (const member_id &member : m_log.members().all())
        names.insert(member.name);
    names.insert(m_leaderToJoin);
    names.erase(std::string());
    names.erase(m_config.self.name);
    return names;
}

/// Asks to join the cluster; the replies show whether one exists.
void replica::sendJoinRequests(instant now, nanoseconds interval)
{
    m_nextJoinRequestAt = now + interval;
    for (const std::string &name : joinTargets())
        send({name, 0}, join_request{});
    bootstrapIfAllEmpty(now);
}

void replica::handle(const message &received, const join_request &, instant)
{
    send(received.from,
         join_reply{m_log.empty() && !m_config.formerLog, m_leader, !m_config.firstStart});
    if (m_role == replica_role::Leader)
        m_joiners[received.from.name] = received.from.incarnation;
}

void replica::handle(const message &received, const join_reply &reply, instant now)
{
    if (reply.empty)
        m_emptyPeers[received.from.name]
                = {received.from.incarnation, received.term, now, reply.mayNotStart};
    else
        m_emptyPeers.erase(received.from.name);
    if (!reply.leader.empty())
        m_leaderToJoin = reply.leader;
    bootstrapIfAllEmpty(now);
}

/// Of the replicas that may start a log, the one with the lowest name does. One that was restarted
/// during the first start may not, and tells the others so.
bool replica::startsTheLog() const
{
    const std::vector<std::string> &initialMembers = m_config.initialMembers;
    if (!m_config.firstStart || m_config.formerLog || !m_log.empty()
        || std::ranges::find(initialMembers, m_config.self.name) == initialMembers.end())
        return false;
    return std::ranges::all_of(initialMembers, [this](const std::string &name) {
        const auto peer = m_emptyPeers.find(name);
        return name >= m_config.self.name
                || (peer != m_emptyPeers.end() && peer->second.mayNotStart);
    });
}

/// A replica starts the log once every initial member has replied, within the election timeout,
/// that it is empty. A replica that lost its disk therefore cannot start a second cluster beside
/// the existing one, whose members reply that they are not empty.
void replica::bootstrapIfAllEmpty(instant now)
{
    if (!startsTheLog())
        return;
    membership members;
    term_number newestTerm = m_hardState.term;
    for (const std::string &name : m_config.initialMembers) {
        if (name == m_config.self.name) {
            members.voters.push_back(m_config.self);
            continue;
        }
        const auto peer = m_emptyPeers.find(name);
        if (peer == m_emptyPeers.end()
            || peer->second.lastContactAt + m_config.electionTimeout < now)
            return;
        members.voters.push_back({name, peer->second.incarnation});
        newestTerm = std::max(newestTerm, peer->second.term);
    }
    // logs that two replicas start one after the other differ in their terms
    const auto rank
            = std::ranges::count_if(m_config.initialMembers, [this](const std::string &name) {
                  return name < m_config.self.name;
              });
    m_hardState = {newestTerm + 1 + static_cast<term_number>(rank), std::nullopt};
    m_log.append({m_hardState.term, 1, entry_kind::Membership, toCbor(members)});
    m_events.record(clusterBootstrapped, {{"voters", members.voters.size()}});
    refreshRole();
    m_electionAt = now;
}

void replica::refreshProgress(instant now)
{
    const membership &members = m_log.members();
    std::erase_if(m_progress, [&](const auto &row) { return !members.has(row.first); });
    for (const member_id &member : members.all()) {
        if (member == m_config.self)
            continue;
        const auto [row, isNew] = m_progress.try_emplace(member);
        if (!isNew)
            continue;
        row->second.nextIndex = m_log.lastIndex() + 1;
        row->second.trackedSince = now;
    }
}

/// Proposes the next membership change; only one can be uncommitted at a time.
void replica::changeMembership(instant now)
{
    if (m_role != replica_role::Leader || m_commitIndex < m_termStart
        || m_log.membersIndex() > m_commitIndex)
        return;
    const std::optional<membership> next = nextMembership(now);
    if (!next)
        return;
    (void)appendAsLeader(entry_kind::Membership, toCbor(*next));
    refreshProgress(now);
}

std::optional<membership> replica::nextMembership(instant now)
{
    if (std::optional<membership> next = withPromotedLearner(now))
        return next;
    for (const auto &[name, incarnation] : std::exchange(m_joiners, {})) {
        if (std::optional<membership> next = withJoinedReplica({name, incarnation}, now))
            return next;
    }
    return withoutUnresponsiveMember(now);
}

std::size_t replica::targetVoterCount() const noexcept
{
    return m_config.voters == 0 ? m_config.initialMembers.size() : m_config.voters;
}

/// What a member did not answer before it was one does not count.
bool replica::isSilent(const member_id &member, instant now, nanoseconds threshold) const
{
    const auto progress = m_progress.find(member);
    if (progress == m_progress.end())
        return false;
    const instant lastAcked = m_acknowledgements.lastAckedSendTime(member);
    return std::max(lastAcked, progress->second.trackedSince) + threshold < now;
}

/// Promotes a learner when a voter is missing or does not answer; otherwise learners stay spares.
std::optional<membership> replica::withPromotedLearner(instant now)
{
    const membership &members = m_log.members();
    const bool needed = members.voters.size() < targetVoterCount()
            || (members.voters.size() == targetVoterCount()
                && std::ranges::any_of(members.voters, [&](const member_id &voter) {
                       return isSilent(voter, now, m_config.electionTimeout);
                   }));
    if (!needed)
        return std::nullopt;
    for (const member_id &learner : members.learners) {
        if (!caughtUp(learner, now))
            continue;
        membership next = members;
        std::erase(next.learners, learner);
        next.voters.push_back(learner);
        m_events.record(memberPromoted, {{"member", learner.name}});
        return next;
    }
    return std::nullopt;
}

/// Replaces the former incarnation by the new one, as a learner; at most one voter changes.
std::optional<membership> replica::withJoinedReplica(const member_id &joiner, instant now)
{
    const std::optional<member_id> former = m_log.members().findByName(joiner.name);
    if (joiner.name == m_config.self.name || former == joiner)
        return std::nullopt;
    // a lower incarnation comes from an old message, unless the wall clock was wrong when a lost
    // disk was replaced; in that case the former incarnation no longer answers
    if (former && former->incarnation > joiner.incarnation
        && !isSilent(*former, now, m_config.electionTimeout)) {
        m_events.record(joinRefused, {{"member", joiner.name}});
        return std::nullopt;
    }
    membership next = m_log.members();
    if (former) {
        std::erase(next.voters, *former);
        std::erase(next.learners, *former);
    }
    next.learners.push_back(joiner);
    m_events.record(memberReplaced, {{"member", joiner.name}});
    return next;
}

/// Removes a learner that does not answer, or such a voter when there are more voters than wanted.
std::optional<membership> replica::withoutUnresponsiveMember(instant now)
{
    const auto isUnresponsive = [&](const member_id &member) {
        return isSilent(member, now, m_config.removeSilentAfter);
    };
    membership next = m_log.members();
    std::vector<member_id> &from
            = next.voters.size() > targetVoterCount() ? next.voters : next.learners;
    const auto found = std::ranges::find_if(from, isUnresponsive);
    if (found == from.end())
        return std::nullopt;
    m_events.record(memberRemoved, {{"member", found->name}});
    from.erase(found);
    return next;
}

bool replica::caughtUp(const member_id &learner, instant now) const
{
    const auto progress = m_progress.find(learner);
    return progress != m_progress.end() && progress->second.matched >= m_termStart
            && progress->second.matched + promotionLagEntries >= m_log.lastIndex()
            && m_acknowledgements.lastAckedSendTime(learner) + m_config.electionTimeout > now;
}

} // namespace yuccascale::kernel::consensus

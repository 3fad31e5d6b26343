#include "yuccascale/kernel/consensus/events.hpp"
#include "yuccascale/kernel/consensus/replica.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace yuccascale::kernel::consensus {

log_index replica::appendAsLeader(entry_kind kind, std::string payload)
{
    const log_index index = m_log.lastIndex() + 1;
    m_log.append({m_hardState.term, index, kind, std::move(payload)});
    m_replicationPending = true;
    return index;
}

bool replica::mayReplicate(const peer_progress &progress) const noexcept
{
    return progress.state == progress_state::Probe
            || progress.nextIndex - progress.matched <= m_config.maxEntriesInFlight;
}

/// Sends the next entries or snapshot chunk that a member lacks, or a heartbeat when it lacks none.
void replica::replicate(const member_id &to, peer_progress &progress, instant now)
{
    progress.lastSent = now;
    if (progress.state != progress_state::Snapshot && !m_log.termAt(progress.nextIndex - 1)) {
        progress.state = progress_state::Snapshot;
        progress.snapshot = *m_log.snapshot();
        progress.snapshotOffset = 0;
        m_events.record(snapshotSent, {{"to", to.name}, {"index", progress.snapshot.index}});
    }
    if (progress.state == progress_state::Snapshot)
        return sendSnapshotChunk(to, progress, now);
    append_request request{
            progress.nextIndex - 1, *m_log.termAt(progress.nextIndex - 1), m_commitIndex, now, {}};
    if (mayReplicate(progress)) {
        request.entries = m_log.slice(progress.nextIndex, m_config.maxEntriesInMessage,
                                      m_config.maxBytesInMessage);
    }
    if (progress.state == progress_state::Replicate)
        progress.nextIndex += request.entries.size();
    sendEarly(to, std::move(request));
}

/// Sends new entries, the new commit index or a request for confirmation to all members in state
/// Replicate; the others are sent entries when they answer and with each heartbeat.
void replica::replicateToMembers(instant now)
{
    for (auto &[member, progress] : m_progress) {
        if (progress.state != progress_state::Replicate) {
            if (progress.lastSent == instant{})
                replicate(member, progress, now);
            continue;
        }
        do
            replicate(member, progress, now);
        while (progress.state == progress_state::Replicate
               && progress.nextIndex <= m_log.lastIndex() && mayReplicate(progress));
    }
}

void replica::sendDueHeartbeats(instant now)
{
    for (auto &[member, progress] : m_progress) {
        if (progress.lastSent + m_config.heartbeat <= now)
            replicate(member, progress, now);
    }
}

void replica::recordAcknowledgement(const member_id &from, instant sentAt, instant now)
{
    m_acknowledgements.record(from, sentAt);
    confirmReads(now);
}

void replica::confirmReads(instant now)
{
    const instant confirmed
            = m_acknowledgements.quorumAckedSendTime(m_log.members(), m_config.self, now);
    std::erase_if(m_reads, [&](const pending_read &read) {
        const bool isConfirmed = read.requestedAt <= confirmed && read.index <= m_commitIndex;
        if (isConfirmed)
            m_actions.reads.push_back({read.id, read.index, true});
        return isConfirmed;
    });
    if (m_authoritySince == instant{} && leadershipAt(now)) {
        m_authoritySince = now;
        m_events.record(authorityGained, {{"fence", m_hardState.term}});
    }
}

void replica::persisted(log_index index, term_number term, instant now)
{
    if (m_log.termAt(index) == term)
        m_durableIndex = std::max(m_durableIndex, index);
    if (m_role == replica_role::Leader)
        advanceCommit(now);
}

void replica::advanceCommit(instant now)
{
    const membership &members = m_log.members();
    std::vector<log_index> matched;
    for (const member_id &voter : members.voters) {
        if (voter == m_config.self)
            matched.push_back(m_durableIndex);
        else
            matched.push_back(m_progress[voter].matched);
    }
    if (matched.empty())
        return;
    std::ranges::sort(matched, std::greater<>());
    const log_index quorumIndex = matched[members.quorum() - 1];
    if (quorumIndex <= m_commitIndex || m_log.termAt(quorumIndex) != m_hardState.term)
        return;
    m_commitIndex = quorumIndex;
    m_replicationPending = true;
    confirmReads(now);
    changeMembership(now);
}

void replica::handle(const message &received, const append_request &request, instant now)
{
    if (m_role == replica_role::Leader)
        return;
    follow(received.from, now);
    send(received.from, acceptEntries(request));
    refreshRole();
}

append_reply replica::acceptEntries(const append_request &request)
{
    append_reply reply{true, m_commitIndex, request.previousIndex, request.sentAt,
                       m_config.commandFormat};
    const log_index lastSent = request.previousIndex + request.entries.size();
    if (lastSent <= m_commitIndex)
        return reply;
    const bool previousIsCommitted = request.previousIndex <= m_commitIndex;
    if (!previousIsCommitted && m_log.termAt(request.previousIndex) != request.previousTerm) {
        reply.accepted = false;
        const log_index lastPossibleMatch = std::min(m_log.lastIndex(), request.previousIndex - 1);
        reply.matched = std::max(m_commitIndex, lastPossibleMatch);
        // skips a whole differing term, so that a long stale tail needs one message per term
        const std::optional<term_number> term = m_log.termAt(reply.matched);
        while (reply.matched > m_commitIndex && term != request.previousTerm
               && m_log.termAt(reply.matched) == term)
            --reply.matched;
        return reply;
    }
    std::vector<log_entry> newEntries = request.entries;
    std::erase_if(newEntries, [&](const log_entry &entry) { return entry.index <= m_commitIndex; });
    for (const log_entry &entry : newEntries) {
        if (m_log.termAt(entry.index) != entry.term) {
            m_durableIndex = std::min(m_durableIndex, entry.index - 1);
            break;
        }
    }
    m_log.merge(newEntries);
    m_commitIndex = std::max(m_commitIndex, std::min(request.commit, lastSent));
    reply.matched = lastSent;
    return reply;
}

void replica::handle(const message &received, const append_reply &reply, instant now)
{
    const auto found = m_progress.find(received.from);
    if (m_role != replica_role::Leader || found == m_progress.end())
        return;
    peer_progress &progress = found->second;
    progress.commandFormat = reply.commandFormat;
    if (progress.state == progress_state::Snapshot && !reply.accepted)
        return recordAcknowledgement(received.from, reply.sentAt, now);
    if (reply.accepted && reply.matched >= progress.matched) {
        progress.matched = std::min(reply.matched, m_log.lastIndex());
        progress.nextIndex = std::max(progress.nextIndex, progress.matched + 1);
        if (progress.state == progress_state::Probe) {
            progress.state = progress_state::Replicate;
            progress.nextIndex = progress.matched + 1;
        }
        advanceCommit(now);
        m_replicationPending = m_replicationPending || progress.nextIndex <= m_log.lastIndex();
    } else if (!reply.accepted) {
        handleRejectedAppend(progress, reply);
        if (progress.state == progress_state::Probe)
            replicate(received.from, progress, now);
    }
    recordAcknowledgement(received.from, reply.sentAt, now);
}

void replica::handleRejectedAppend(peer_progress &progress, const append_reply &reply)
{
    const bool stale = progress.state == progress_state::Probe
            ? reply.previousIndex != progress.nextIndex - 1
            : reply.previousIndex <= progress.matched;
    if (stale)
        return;
    progress.state = progress_state::Probe;
    progress.nextIndex
            = std::max(progress.matched, std::min(reply.matched, reply.previousIndex - 1)) + 1;
}

} // namespace yuccascale::kernel::consensus

#include "yuccascale/kernel/consensus/events.hpp"
#include "yuccascale/kernel/consensus/replica.hpp"
#include "yuccascale/kernel/free_memory.hpp"

#include <utility>

namespace yuccascale::kernel::consensus {

void replica::sendSnapshotChunk(const member_id &to, peer_progress &progress, instant now)
{
    const std::string &snapshotBytes = *progress.snapshot.bytes;
    snapshot_chunk chunk{
            progress.snapshot.index,
            progress.snapshot.term,
            progress.snapshot.members,
            progress.snapshotOffset,
            snapshotBytes.size(),
            now,
            snapshotBytes.substr(progress.snapshotOffset, m_config.snapshotChunkBytes)};
    send(to, std::move(chunk));
}

void replica::handle(const message &received, const snapshot_chunk &chunk, instant now)
{
    if (m_role == replica_role::Leader)
        return;
    follow(received.from, now);
    snapshot_reply reply{chunk.index, chunk.total, true, chunk.sentAt};
    if (chunk.index <= m_commitIndex) {
        send(received.from, reply);
        return;
    }
    const bool sameTransfer = m_snapshotHeader.index == chunk.index
            && m_snapshotHeader.snapshotTerm == chunk.snapshotTerm
            && m_snapshotHeader.total == chunk.total;
    if (!sameTransfer) {
        m_snapshotHeader = chunk;
        freeMemory(m_snapshotHeader.bytes);
        freeMemory(m_snapshotBytes);
    }
    if (chunk.offset == m_snapshotBytes.size())
        m_snapshotBytes += chunk.bytes;
    reply.received = m_snapshotBytes.size();
    reply.installed = reply.received == chunk.total;
    if (reply.installed)
        installReceivedSnapshot();
    send(received.from, reply);
    refreshRole();
}

void replica::installReceivedSnapshot()
{
    snapshot_data snapshot{m_snapshotHeader.index, m_snapshotHeader.snapshotTerm,
                           m_snapshotHeader.members,
                           std::make_shared<const std::string>(std::move(m_snapshotBytes))};
    freeMemory(m_snapshotBytes);
    m_snapshotHeader = {};
    m_commitIndex = snapshot.index;
    // the log holds these entries already: they are applied one by one, and later entries are kept
    if (m_log.termAt(snapshot.index) == snapshot.term)
        return;
    m_deliveredIndex = m_commitIndex;
    m_durableIndex = m_commitIndex;
    m_events.record(snapshotInstalled, {{"index", snapshot.index}});
    m_actions.snapshotToInstall = snapshot;
    m_log.reset(std::move(snapshot));
}

void replica::handle(const message &received, const snapshot_reply &reply, instant now)
{
    const auto found = m_progress.find(received.from);
    if (m_role != replica_role::Leader || found == m_progress.end())
        return;
    peer_progress &progress = found->second;
    recordAcknowledgement(received.from, reply.sentAt, now);
    if (progress.state != progress_state::Snapshot || reply.index != progress.snapshot.index)
        return;
    if (reply.installed) {
        progress.matched = std::max(progress.matched, reply.index);
        progress.nextIndex = progress.matched + 1;
        progress.state = progress_state::Probe;
        progress.snapshot = {};
        replicate(received.from, progress, now);
        advanceCommit(now);
    } else if (reply.received != progress.snapshotOffset) {
        progress.snapshotOffset = reply.received;
        sendSnapshotChunk(received.from, progress, now);
    }
}

} // namespace yuccascale::kernel::consensus

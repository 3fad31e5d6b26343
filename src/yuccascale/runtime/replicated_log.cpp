#include "yuccascale/runtime/replicated_log.hpp"

#include "yuccascale/kernel/consensus/events.hpp"
#include "yuccascale/kernel/state/commands.hpp"
#include "yuccascale/store/replica_store.hpp"
#include "yuccascale/wire/consensus_codec.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace yuccascale::runtime {

using kernel::error_kind;
using kernel::fail;
using kernel::instant;
using kernel::result;
using namespace kernel::consensus;

namespace {

constexpr std::size_t maxPayloadBytes = 16U << 20U;
/// Between two attempts to reopen the data folder after a disk failure.
constexpr kernel::milliseconds reopenInterval{500};
/// This part of the entries between snapshots, and of their bytes, stays in the log.
constexpr std::uint64_t trailingDivisor = 4;
/// Applied since the last snapshot, after which another one is made; a larger snapshot allows for
/// more, so that the disk holds a few times the state at most.
constexpr std::uint64_t bytesBetweenSnapshots = 16U << 20U;

/// Incarnations of one name increase as long as the wall clock does; random low bits make them
/// unique.
std::uint64_t makeIncarnation(kernel::wall_time now)
{
    constexpr unsigned randomBits = 16;
    const auto milliseconds = static_cast<std::uint64_t>(now.time_since_epoch().count());
    return (milliseconds << randomBits) | (std::random_device{}() & 0xffffU);
}

replica_config configOf(const replicated_log_settings &settings, const store::recovery &found)
{
    replica_config config;
    config.self = {settings.self, found.incarnation};
    config.formerLog = found.formerLog;
    config.initialMembers = settings.voters;
    config.firstStart = settings.firstStart;
    config.voters = static_cast<std::size_t>(settings.control.voters);
    config.heartbeat = settings.control.heartbeat;
    config.electionTimeout = settings.control.electionTimeout;
    config.lease = settings.control.lease;
    config.orderLifetime = settings.control.orderLifetime;
    config.seed = std::random_device{}();
    config.commandFormat = kernel::state::newestCommandFormat;
    return config;
}

} // namespace

replicated_log::replicated_log(replicated_log_settings settings, kernel::transport &transport,
                               kernel::clock &clock, kernel::event_sink &events,
                               log_consumer &consumer)
    : m_settings(std::move(settings))
    , m_transport(transport)
    , m_clock(clock)
    , m_events(events)
    , m_consumer(consumer)
    , m_inbox(m_settings.self)
    , m_pendingProposals(m_settings.self)
    , m_published(events)
{
    m_transport.handle(kernel::channel::Consensus,
                       [this](std::string_view peer, std::string_view payload) {
                           receive(peer, payload);
                           return std::string();
                       });
}

replicated_log::~replicated_log()
{
    stop();
}

result<void> replicated_log::start()
{
    m_initialState = m_consumer.snapshot();
    BOOST_LEAF_CHECK(openStore());
    publishStatus();
    m_inbox.open();
    m_thread = std::thread([this] { run(); });
    return {};
}

/// A replica that cannot read its log may have promised what it no longer knows, as one whose disk
/// is lost: it begins anew as another member. The only replica has nobody to copy the log from.
result<void> replicated_log::openOrRejoin(std::uint64_t incarnation)
{
    kernel::error problem;
    const auto open = [&]() -> result<void> {
        BOOST_LEAF_ASSIGN(m_store, store::replica_store::open(m_settings.dataFolder, incarnation));
        return {};
    };
    if (kernel::succeeded(open, problem))
        return {};
    const bool hasOthers = std::ranges::any_of(
            m_settings.voters, [&](const std::string &name) { return name != m_settings.self; });
    if (problem.kind != error_kind::Corrupt || !hasOthers)
        return fail(problem.kind, problem.where, problem.message);
    BOOST_LEAF_CHECK(store::replica_store::setAside(m_settings.dataFolder));
    m_events.record(logSetAside, {{"where", problem.where}, {"problem", problem.message}});
    return open();
}

/// Opens the store and restores the consumer from the stored snapshot; the log after it is applied
/// again.
result<void> replicated_log::openStore()
{
    const instant begin = m_clock.now();
    m_store.reset();
    BOOST_LEAF_CHECK(openOrRejoin(makeIncarnation(m_clock.wallNow())));
    store::recovery found = m_store->takeRecovery();
    if (found.tornTail)
        m_events.record(tornTailDropped, {{"folder", m_settings.dataFolder}});
    const auto &snapshot = found.state.snapshot;
    BOOST_LEAF_CHECK(m_consumer.restore(snapshot ? *snapshot->bytes : m_initialState));
    startFrom(snapshot ? snapshot->index : 0, snapshot ? snapshot->bytes->size() : 0);
    m_replica = std::make_unique<replica>(configOf(m_settings, found), found.state, m_events,
                                          m_clock.now());
    const instant end = m_clock.now();
    m_events.record(
            logOpened,
            {{"incarnation", found.incarnation},
             {"snapshot", m_snapshotIndex},
             {"entries", found.state.entries.size()},
             {"took_ms", std::chrono::duration_cast<kernel::milliseconds>(end - begin).count()}});
    return {};
}

void replicated_log::stop()
{
    m_inbox.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void replicated_log::receive(std::string_view peer, std::string_view payload)
{
    std::optional<message> decoded = wire::decodeConsensus(payload);
    if (!decoded || decoded->from.name != peer) {
        m_events.record(messageRefused, {{"peer", peer}});
        return;
    }
    m_inbox.addMessage(std::move(*decoded));
}

result<std::string> replicated_log::propose(std::string payload, instant deadline,
                                            std::uint32_t commandFormat)
{
    const std::size_t payloadBytes = payload.size();
    const auto request = std::make_shared<log_request>(std::move(payload), commandFormat);
    BOOST_LEAF_CHECK(addProposal(request, payloadBytes));
    return request->wait(deadline - m_clock.now(), m_settings.self);
}

void replicated_log::proposeLater(std::string payload, instant deadline,
                                  log_request::completion done, std::uint32_t commandFormat)
{
    const std::size_t payloadBytes = payload.size();
    const auto request = std::make_shared<log_request>(std::move(payload), deadline,
                                                       std::move(done), commandFormat);
    kernel::error problem;
    if (!kernel::succeeded([&] { return addProposal(request, payloadBytes); }, problem))
        request->fail(std::move(problem));
}

result<void> replicated_log::addProposal(const log_request_pointer &request,
                                         std::size_t payloadBytes)
{
    if (payloadBytes > maxPayloadBytes) {
        return fail(error_kind::InvalidArgument, m_settings.self,
                    "the command has " + std::to_string(payloadBytes)
                            + " bytes, more than the limit of " + std::to_string(maxPayloadBytes)
                            + "; split it");
    }
    return m_inbox.addProposal(request);
}

result<void> replicated_log::confirmLeadership(instant deadline)
{
    const auto request = std::make_shared<log_request>(std::string());
    BOOST_LEAF_CHECK(m_inbox.addRead(request));
    BOOST_LEAF_CHECK(request->wait(deadline - m_clock.now(), m_settings.self));
    return {};
}

std::string replicated_log::leader() const
{
    return m_published.leader();
}

std::optional<kernel::leadership> replicated_log::current(instant now) const
{
    return m_published.leadershipAt(now);
}

replicated_log_status replicated_log::status() const
{
    return m_published.status();
}

void replicated_log::run()
{
    while (true) {
        const std::string reason = runUntilFailure();
        m_published.publishStopped(reason, m_clock.now());
        failPendingRequests(reason);
        if (!waitToReopen())
            return;
    }
}

/// \returns the reason why it ended.
std::string replicated_log::runUntilFailure()
{
    log_inbox::content input;
    while (m_inbox.take(input, m_replica->nextTick() - m_clock.now())) {
        handle(input);
        kernel::error problem;
        const bool executed = kernel::succeeded(
                [&]() -> result<void> {
                    bool more = true;
                    while (more) {
                        BOOST_LEAF_ASSIGN(more, executeActions());
                    }
                    return {};
                },
                problem);
        if (!executed) {
            m_events.record(storeFailed, {{"where", problem.where}, {"problem", problem.message}});
            return problem.where + ": " + problem.message;
        }
        publishStatus();
    }
    return "this replica is stopped; retry at another node";
}

/// After a failed write it is unknown how much of the state in memory is on disk, so the replica
/// restarts from the disk once that can be written again.
/// \returns false once the log is stopped.
bool replicated_log::waitToReopen()
{
    while (!m_inbox.waitForStop(reopenInterval)) {
        kernel::error problem;
        if (!kernel::succeeded([&] { return openStore(); }, problem))
            continue;
        m_events.record(storeReopened, {{"folder", m_settings.dataFolder}});
        m_inbox.open();
        return true;
    }
    return false;
}

void replicated_log::handle(const log_inbox::content &input)
{
    const instant now = m_clock.now();
    for (const message &received : input.messages)
        m_replica->receive(received, now);
    for (const log_request_pointer &proposal : input.proposals)
        handleProposal(proposal);
    for (const log_request_pointer &read : input.reads)
        handleRead(read, now);
    if (now >= m_replica->nextTick())
        m_replica->tick(now);
}

void replicated_log::handleProposal(const log_request_pointer &proposal)
{
    if (!proposal->begin(m_clock.now(), m_settings.self))
        return;
    const kernel::consensus::proposal proposed
            = m_replica->propose(proposal->takePayload(), proposal->commandFormat());
    switch (proposed.outcome) {
    case proposal_outcome::Accepted:
        return m_pendingProposals.add(proposed.index, proposed.term, proposal);
    case proposal_outcome::NotLeader:
        return proposal->fail(notLeader());
    case proposal_outcome::Overloaded:
        return proposal->fail({error_kind::Overloaded, m_settings.self,
                               "too many commands await a quorum; retry later"});
    case proposal_outcome::FormatNotShared:
        return proposal->fail({error_kind::Unavailable, m_settings.self,
                               "a control node may run a build that cannot apply this command; "
                               "retry once all of them answer and run this build"});
    }
}

void replicated_log::handleRead(const log_request_pointer &read, instant now)
{
    if (!read->begin(now, m_settings.self))
        return;
    const std::uint64_t id = m_nextRead++;
    if (m_replica->requestRead(id, now))
        m_pendingReads[id] = read;
    else
        read->fail(notLeader());
}

kernel::error replicated_log::notLeader() const
{
    const std::string &leader = m_replica->leader();
    if (leader.empty() || leader == m_settings.self)
        return {error_kind::NotLeader, "", "no leader is known; retry in 1 s"};
    return {error_kind::NotLeader, leader, "this node is not the leader; retry at " + leader};
}

/// Executes one batch of the replica's actions.
/// \returns true when there were any.
result<bool> replicated_log::executeActions()
{
    const actions batch = m_replica->takeActions(m_clock.now());
    revokeLostLeadership();
    send(batch.earlyMessages);
    if (batch.mustSync()) {
        const instant startedAt = m_clock.now();
        BOOST_LEAF_CHECK(persist(batch));
        m_replica->syncFinished(m_clock.now() - startedAt);
    }
    if (!batch.entries.empty()) {
        const log_entry &last = batch.entries.back();
        m_replica->persisted(last.index, last.term, m_clock.now());
    }
    send(batch.messages);
    if (batch.snapshotToInstall) {
        BOOST_LEAF_CHECK(install(*batch.snapshotToInstall));
    }
    for (const log_entry &entry : batch.committed)
        apply(entry);
    finishReads(batch.reads);
    BOOST_LEAF_CHECK(saveSnapshotWhenDue());
    return batch.mustSync() || !batch.earlyMessages.empty() || !batch.messages.empty()
            || !batch.committed.empty() || !batch.reads.empty();
}

result<void> replicated_log::persist(const actions &batch)
{
    store::replica_write write{batch.hardState, std::nullopt, batch.entries};
    if (batch.snapshotToInstall) {
        BOOST_LEAF_CHECK(m_store->saveSnapshot(*batch.snapshotToInstall));
        write.resetTo = batch.snapshotToInstall->index;
    }
    return m_store->write(write);
}

void replicated_log::send(const std::vector<message> &messages)
{
    for (const message &message : messages) {
        m_transport.post(message.to.name, kernel::channel::Consensus,
                         wire::encodeConsensus(message));
    }
}

void replicated_log::apply(const log_entry &entry)
{
    std::string answer;
    if (entry.kind == entry_kind::Command)
        answer = m_consumer.apply(entry.index, entry.payload);
    m_applied = entry.index;
    m_bytesSinceSnapshot += entry.payload.size();
    m_pendingProposals.resolve(entry.index, entry.term, std::move(answer));
}

result<void> replicated_log::install(const snapshot_data &snapshot)
{
    BOOST_LEAF_CHECK(m_consumer.restore(*snapshot.bytes));
    startFrom(snapshot.index, snapshot.bytes->size());
    m_pendingProposals.failCovered(snapshot.index);
    return {};
}

void replicated_log::finishReads(const std::vector<confirmed_read> &reads)
{
    for (const confirmed_read &read : reads) {
        const auto found = m_pendingReads.find(read.id);
        if (found == m_pendingReads.end())
            continue;
        if (read.confirmed)
            found->second->answer({});
        else
            found->second->fail(notLeader());
        m_pendingReads.erase(found);
    }
}

/// The consumer's state is that of a snapshot.
void replicated_log::startFrom(std::uint64_t index, std::uint64_t snapshotBytes) noexcept
{
    m_applied = m_snapshotIndex = index;
    m_snapshotBytes = snapshotBytes;
    m_bytesSinceSnapshot = 0;
}

bool replicated_log::snapshotIsDue() const noexcept
{
    return m_applied >= m_snapshotIndex + m_settings.control.snapshotEntries
            || m_bytesSinceSnapshot >= std::max(bytesBetweenSnapshots, 2 * m_snapshotBytes);
}

/// \returns the first entry that stays in the log for followers that lag a little.
std::uint64_t replicated_log::firstTrailingEntry() const
{
    const entry_log &log = m_replica->log();
    const std::uint64_t entries = m_settings.control.snapshotEntries / trailingDivisor;
    std::uint64_t bytes = bytesBetweenSnapshots / trailingDivisor;
    std::uint64_t first = m_applied;
    while (first > log.baseIndex() + 1 && m_applied - first < entries
           && log.at(first).payload.size() <= bytes) {
        bytes -= log.at(first).payload.size();
        --first;
    }
    return first;
}

result<void> replicated_log::saveSnapshotWhenDue()
{
    if (!snapshotIsDue())
        return {};
    snapshot_data snapshot = m_replica->snapshotAt(m_applied, m_consumer.snapshot());
    BOOST_LEAF_CHECK(m_store->saveSnapshot(snapshot));
    const std::uint64_t keepFrom = firstTrailingEntry();
    startFrom(m_applied, snapshot.bytes->size());
    m_replica->compact(std::move(snapshot), keepFrom);
    m_events.record(snapshotWritten, {{"index", m_applied}});
    return m_store->compact(keepFrom);
}

/// Revokes leadership that this replica has lost before it sends a message, such as a vote, that
/// lets another replica become leader.
void replicated_log::revokeLostLeadership()
{
    if (m_replica->role() != replica_role::Leader)
        m_published.revokeLeadership();
}

void replicated_log::publishStatus()
{
    const instant now = m_clock.now();
    m_published.publish(statusOf(*m_replica, m_applied, now), m_replica->leadershipAt(now), now);
    const std::string &leader = m_replica->leader();
    if (leader.empty() || leader == m_leaderTold)
        return;
    m_leaderTold = leader;
    m_consumer.leaderChanged();
}

void replicated_log::failPendingRequests(const std::string &reason)
{
    const log_inbox::content remaining = m_inbox.close();
    const kernel::error notRun{error_kind::Unavailable, m_settings.self, reason};
    for (const log_request_pointer &request : remaining.proposals)
        request->fail(notRun);
    for (const log_request_pointer &request : remaining.reads)
        request->fail(notRun);
    m_pendingProposals.failAll(reason);
    for (const auto &[id, request] : m_pendingReads)
        request->fail(notRun);
    m_pendingReads.clear();
}

} // namespace yuccascale::runtime

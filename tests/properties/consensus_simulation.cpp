#include "properties/consensus_simulation.hpp"

#include <algorithm>

namespace yuccascale::properties {

namespace {

constexpr log_index entriesPerSnapshot = 12;
constexpr log_index entriesKeptAfterSnapshot = 3;
constexpr milliseconds orderLifetime{3'000};

} // namespace

cluster_simulation::cluster_simulation(const schedule_settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_history(orderLifetime)
    , m_nodes(settings.nodes)
    , m_linkCut(settings.nodes, std::vector<bool>(settings.nodes, false))
{
    for (std::size_t number = 0; number < m_nodes.size(); ++number) {
        node &created = m_nodes[number];
        created.number = number;
        created.name = "n" + std::to_string(number);
        created.incarnation = m_nextIncarnation++;
        // clock rates differ by up to 6 %
        created.clockRate = 0.97 + 0.01 * static_cast<double>(m_random.below(7));
        created.clockOffset = m_random.between(milliseconds(0), milliseconds(100'000));
    }
}

std::string cluster_simulation::run()
{
    for (node &each : m_nodes)
        after(m_random.between(milliseconds(0), milliseconds(300)), [&] { start(each); });
    after(milliseconds(1'500), [this] { injectFault(); });
    after(milliseconds(500), [this] { issueCallerOperations(); });
    runUntil(instant(m_settings.faultDuration), [] { return false; });

    m_faultsEnabled = false;
    for (auto &row : m_linkCut)
        row.assign(row.size(), false);
    for (node &each : m_nodes) {
        each.crashAtNextSync = false;
        if (!each.running)
            start(each);
    }
    runUntil(m_now + m_settings.recoveryTimeout, [this] { return hasRecovered(); });
    if (!hasRecovered())
        m_history.recordViolation("the cluster did not recover within "
                                  + std::to_string(m_settings.recoveryTimeout.count())
                                  + " ms after the last fault");
    for (const node &each : m_nodes) {
        for (const auto &[index, command] : m_history.acknowledgedCommands()) {
            const auto found = each.consumerState.find(index);
            if (found == each.consumerState.end() || found->second != command)
                m_history.recordViolation(each.name + " lost acknowledged command "
                                          + std::to_string(index));
        }
    }
    return m_history.violation();
}

void cluster_simulation::after(nanoseconds delay, std::function<void()> action)
{
    m_queue.push({m_now + delay, m_nextSequenceNumber++, std::move(action)});
}

void cluster_simulation::runUntil(instant end, const std::function<bool()> &done)
{
    while (!m_queue.empty() && m_queue.top().due <= end && m_history.violation().empty()
           && !done()) {
        const timed_event event = m_queue.top();
        m_queue.pop();
        m_now = event.due;
        event.action();
        checkAuthority();
    }
}

instant cluster_simulation::localTime(const node &target) const
{
    const auto elapsed = static_cast<double>(m_now.time_since_epoch().count());
    return instant(target.clockOffset
                   + nanoseconds(static_cast<std::int64_t>(elapsed * target.clockRate)));
}

instant cluster_simulation::trueTime(const node &target, instant local) const
{
    const auto elapsed
            = static_cast<double>((local.time_since_epoch() - target.clockOffset).count());
    return instant(nanoseconds(static_cast<std::int64_t>(elapsed / target.clockRate)));
}

void cluster_simulation::start(node &target)
{
    if (target.running)
        return;
    appendTrace("start " + target.name);
    replica_config config;
    config.self = {target.name, target.incarnation};
    for (const node &each : m_nodes)
        config.initialMembers.push_back(each.name);
    config.orderLifetime = orderLifetime;
    config.maxEntriesInMessage = 4;
    config.maxEntriesInFlight = 16;
    config.snapshotChunkBytes = 256;
    config.seed = m_random.next();
    target.running
            = std::make_unique<replica>(config, target.durableState, m_events, localTime(target));
    ++target.startNumber;
    target.appliedIndex = target.snapshotIndex = 0;
    target.consumerState.clear();
    if (target.durableState.snapshot)
        installSnapshot(target, *target.durableState.snapshot);
    scheduleTick(target);
}

void cluster_simulation::crash(node &target)
{
    appendTrace("crash " + target.name);
    target.running.reset();
    target.publishedLeadership.reset();
    target.pendingProposals.clear();
    target.pendingReads.clear();
    target.heldMessages.clear();
    target.paused = false;
    target.crashAtNextSync = false;
}

void cluster_simulation::loseDisk(node &target)
{
    crash(target);
    appendTrace("lose disk " + target.name);
    target.durableState = {};
    target.incarnation = m_nextIncarnation++;
}

void cluster_simulation::pause(node &target, nanoseconds duration)
{
    if (!target.running || target.paused)
        return;
    appendTrace("pause " + target.name);
    target.paused = true;
    after(duration, [this, &target, startNumber = target.startNumber] {
        if (target.startNumber != startNumber || !target.paused)
            return;
        appendTrace("resume " + target.name);
        target.paused = false;
        // messages held during the pause are handled first, with the current clock
        for (const message &held : std::exchange(target.heldMessages, {})) {
            if (target.running)
                deliver(held, startNumber);
        }
        if (target.running)
            scheduleTick(target);
    });
}

void cluster_simulation::scheduleTick(node &target)
{
    const nanoseconds wait = target.running->nextTick() - localTime(target);
    const nanoseconds delay = std::max<nanoseconds>(wait, milliseconds(1));
    after(delay, [this, &target, startNumber = target.startNumber] {
        if (target.startNumber != startNumber || !target.running || target.paused)
            return;
        if (localTime(target) >= target.running->nextTick()) {
            target.running->tick(localTime(target));
            processActions(target);
        }
        if (target.running)
            scheduleTick(target);
    });
}

/// Does what the replica's driver does; the node may crash at each sync.
void cluster_simulation::processActions(node &target)
{
    bool more = true;
    while (more && target.running) {
        const actions nextActions = target.running->takeActions(localTime(target));
        if (target.running->role() != replica_role::Leader)
            target.publishedLeadership.reset();
        for (const message &early : nextActions.earlyMessages)
            send(early);
        if (nextActions.mustSync() && !persist(target, nextActions))
            return;
        if (!nextActions.entries.empty()) {
            target.running->persisted(nextActions.entries.back().index,
                                      nextActions.entries.back().term, localTime(target));
        }
        for (const message &late : nextActions.messages)
            send(late);
        if (nextActions.snapshotToInstall)
            installSnapshot(target, *nextActions.snapshotToInstall);
        for (const log_entry &entry : nextActions.committed)
            apply(target, entry);
        for (const confirmed_read &read : nextActions.reads) {
            const auto request = target.pendingReads.find(read.id);
            if (read.confirmed && request != target.pendingReads.end())
                m_history.checkConfirmedRead(request->second.newestAcknowledged,
                                             target.appliedIndex);
        }
        if (target.appliedIndex >= target.snapshotIndex + entriesPerSnapshot)
            saveSnapshot(target);
        more = nextActions.mustSync() || !nextActions.committed.empty()
                || !nextActions.earlyMessages.empty();
    }
    if (target.running)
        publishLeadership(target);
}

bool cluster_simulation::persist(node &target, const actions &nextActions)
{
    const bool crashes = std::exchange(target.crashAtNextSync, false);
    const bool written = !crashes || m_random.chance(50);
    if (written) {
        if (nextActions.hardState)
            target.durableState.hardState = *nextActions.hardState;
        if (nextActions.snapshotToInstall) {
            target.durableState.snapshot = nextActions.snapshotToInstall;
            target.durableState.entries.clear();
        }
        for (const log_entry &entry : nextActions.entries) {
            while (!target.durableState.entries.empty()
                   && target.durableState.entries.back().index >= entry.index)
                target.durableState.entries.pop_back();
            target.durableState.entries.push_back(entry);
        }
    }
    if (crashes)
        crash(target);
    return !crashes;
}

void cluster_simulation::apply(node &target, const log_entry &entry)
{
    if (entry.index != target.appliedIndex + 1)
        m_history.recordViolation(target.name + " applied index " + std::to_string(entry.index)
                                  + " after " + std::to_string(target.appliedIndex));
    m_history.recordApplied(target.name, entry);
    target.appliedIndex = entry.index;
    if (entry.kind == entry_kind::Command)
        target.consumerState[entry.index] = entry.payload;
    const auto pending = target.pendingProposals.find(entry.index);
    if (pending == target.pendingProposals.end())
        return;
    if (pending->second == entry.term)
        m_history.recordAcknowledged(entry);
    target.pendingProposals.erase(pending);
}

void cluster_simulation::installSnapshot(node &target, const snapshot_data &snapshot)
{
    if (snapshot.index < target.appliedIndex)
        m_history.recordViolation(target.name + " installed a snapshot at index "
                                  + std::to_string(snapshot.index) + " below its applied index "
                                  + std::to_string(target.appliedIndex));
    target.consumerState
            = kernel::json::from_cbor(*snapshot.bytes).get<std::map<log_index, std::string>>();
    target.appliedIndex = target.snapshotIndex = snapshot.index;
}

void cluster_simulation::saveSnapshot(node &target)
{
    std::string bytes;
    kernel::json::to_cbor(kernel::json(target.consumerState), bytes);
    target.durableState.snapshot
            = target.running->snapshotAt(target.appliedIndex, std::move(bytes));
    std::erase_if(target.durableState.entries,
                  [&](const log_entry &entry) { return entry.index <= target.appliedIndex; });
    target.snapshotIndex = target.appliedIndex;
    target.running->compact(*target.durableState.snapshot,
                            target.appliedIndex - entriesKeptAfterSnapshot);
}

void cluster_simulation::publishLeadership(node &target)
{
    target.publishedLeadership = target.running->leadershipAt(localTime(target));
    if (target.publishedLeadership) {
        m_history.recordAuthority(target.running->self(), target.publishedLeadership->fence,
                                  trueTime(target, target.publishedLeadership->leaseEnd),
                                  trueTime(target, target.publishedLeadership->ordersAllowedFrom));
    }
}

void cluster_simulation::send(const message &sentMessage)
{
    const std::size_t from = std::stoul(sentMessage.from.name.substr(1));
    const std::size_t to = std::stoul(sentMessage.to.name.substr(1));
    if (m_linkCut[from][to] || (m_faultsEnabled && m_random.chance(2)))
        return;
    const int copies = m_faultsEnabled && m_random.chance(3) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const bool late = m_faultsEnabled && m_random.chance(4);
        const nanoseconds delay = m_random.between(milliseconds(0), milliseconds(late ? 2'500 : 6));
        after(delay, [this, sentMessage, startNumber = m_nodes[to].startNumber] {
            deliver(sentMessage, startNumber);
        });
    }
}

void cluster_simulation::deliver(const message &sentMessage, std::uint64_t startNumber)
{
    node &to = m_nodes[std::stoul(sentMessage.to.name.substr(1))];
    if (!to.running || to.startNumber != startNumber)
        return;
    if (to.paused) {
        to.heldMessages.push_back(sentMessage);
        return;
    }
    to.running->receive(sentMessage, localTime(to));
    processActions(to);
}

cluster_simulation::node &cluster_simulation::randomNode()
{
    return m_nodes[m_random.below(m_nodes.size())];
}

/// Whether losing one disk is safe: a leader reports no degraded reason, and its member list holds
/// every node in its current incarnation. The second check catches a disk loss that the status does
/// not show yet.
bool cluster_simulation::toleratesDiskLoss() const
{
    return std::ranges::any_of(m_nodes, [&](const node &each) {
        return each.running && !each.paused && each.publishedLeadership
                && localTime(each) < each.publishedLeadership->leaseEnd
                && each.running->degradedReasons(localTime(each)).empty()
                && std::ranges::all_of(m_nodes, [&](const node &other) {
                       return each.running->log().members().hasVoter(
                               {other.name, other.incarnation});
                   });
    });
}

void cluster_simulation::injectFault()
{
    if (!m_faultsEnabled)
        return;
    node &faultyNode = randomNode();
    const nanoseconds duration = m_random.between(milliseconds(50), milliseconds(4'000));
    switch (m_random.below(8)) {
    case 0:
        crash(faultyNode);
        after(duration, [this, &faultyNode] { start(faultyNode); });
        break;
    case 1:
        faultyNode.crashAtNextSync = true;
        after(duration + milliseconds(100), [this, &faultyNode] { start(faultyNode); });
        break;
    case 2:
    case 3:
        pause(faultyNode, duration);
        break;
    case 4:
        if (toleratesDiskLoss()) {
            loseDisk(faultyNode);
            after(duration, [this, &faultyNode] { start(faultyNode); });
        }
        break;
    default: {
        // cuts one direction or both, between two nodes or between one node and all others
        const std::size_t other = m_random.below(m_nodes.size());
        const bool allPeers = m_random.chance(50);
        const bool bothWays = m_random.chance(50);
        appendTrace("cut " + faultyNode.name + " from n" + std::to_string(other)
                    + (allPeers ? " and all others" : "") + (bothWays ? ", both directions" : ""));
        for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
            if (!allPeers && peer != other)
                continue;
            m_linkCut[faultyNode.number][peer] = true;
            if (bothWays)
                m_linkCut[peer][faultyNode.number] = true;
            after(duration, [this, number = faultyNode.number, peer] {
                m_linkCut[number][peer] = false;
                m_linkCut[peer][number] = false;
            });
        }
    }
    }
    after(m_random.between(milliseconds(20), milliseconds(900)), [this] { injectFault(); });
}

/// Proposes commands and requests a read at each node whose role is leader.
void cluster_simulation::issueCallerOperations()
{
    for (node &each : m_nodes) {
        if (!each.running || each.paused || each.running->role() != replica_role::Leader)
            continue;
        const std::uint64_t commands = m_random.below(4);
        for (std::uint64_t count = 0; count < commands; ++count) {
            const proposal placed = each.running->propose("c" + std::to_string(m_nextCommand++));
            if (placed.outcome == proposal_outcome::Accepted)
                each.pendingProposals[placed.index] = placed.term;
        }
        const std::uint64_t read = m_nextRead++;
        each.pendingReads[read] = {m_history.newestAcknowledged()};
        (void)each.running->requestRead(read, localTime(each));
        processActions(each);
    }
    after(m_random.between(milliseconds(10), milliseconds(250)),
          [this] { issueCallerOperations(); });
}

void cluster_simulation::checkAuthority()
{
    std::size_t holders = 0;
    for (const node &each : m_nodes) {
        if (each.running && each.publishedLeadership
            && localTime(each) < each.publishedLeadership->leaseEnd)
            ++holders;
    }
    m_history.checkHolderCount(holders);
}

/// Whether all replicas are voters in their current incarnation and have applied every
/// acknowledged command.
bool cluster_simulation::hasRecovered() const
{
    return toleratesDiskLoss() && std::ranges::all_of(m_nodes, [&](const node &each) {
               return each.running && each.appliedIndex >= m_history.newestAcknowledged()
                       && each.running->log().members().hasVoter(each.running->self());
           });
}

void cluster_simulation::appendTrace(const std::string &text)
{
    const auto now = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch());
    m_trace += std::to_string(now.count()) + " ms " + text + "\n";
}

} // namespace yuccascale::properties

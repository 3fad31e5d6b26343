#include "properties/consensus_simulation.hpp"

#include <algorithm>

namespace yuccascale::properties {

namespace {

constexpr log_index snapshotEntries = 12;
constexpr log_index trailingEntries = 3;
constexpr milliseconds orderLifetime{3'000};

} // namespace

std::uint64_t seeded_random::next() noexcept
{
    m_state += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

nanoseconds seeded_random::between(milliseconds shortest, milliseconds longest) noexcept
{
    const nanoseconds width = longest - shortest;
    return shortest
            + nanoseconds(static_cast<std::int64_t>(
                    below(static_cast<std::uint64_t>(width.count()) + 1)));
}

void cluster_history::broken(std::string promise)
{
    if (m_violation.empty())
        m_violation = std::move(promise);
}

void cluster_history::applied(const std::string &node, const log_entry &entry)
{
    const auto [row, isNew] = m_applied.try_emplace(entry.index, entry);
    if (!isNew && row->second != entry)
        broken("two values at index " + std::to_string(entry.index) + ", one at " + node);
}

void cluster_history::acknowledged(const log_entry &entry)
{
    m_acknowledged[entry.index] = entry.payload;
    m_newestAcknowledged = std::max(m_newestAcknowledged, entry.index);
}

void cluster_history::authority(const member_id &node, std::uint64_t fence, instant until,
                                instant ordersFrom)
{
    const auto [row, isNew] = m_fences.try_emplace(fence, fence_record{node, until});
    if (row->second.holder != node)
        broken("fence " + std::to_string(fence) + " held by two nodes");
    if (isNew && std::next(row) != m_fences.end())
        broken("fence " + std::to_string(fence) + " after a higher one");
    row->second.until = std::max(row->second.until, until);
    for (const auto &[older, record] : m_fences) {
        if (older < fence && record.until + orderLifetime > ordersFrom)
            broken("orders from " + std::to_string(fence) + " may meet those under way from "
                   + std::to_string(older));
    }
}

void cluster_history::readConfirmed(log_index newestAcknowledgedWhenAsked,
                                    log_index appliedWhenConfirmed)
{
    if (appliedWhenConfirmed < newestAcknowledgedWhenAsked)
        broken("a confirmed read is older than an acknowledged command");
}

void cluster_history::holdersOfAuthority(std::size_t count)
{
    if (count > 1)
        broken("two nodes hold authority at once");
}

cluster_simulation::cluster_simulation(const schedule_settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_nodes(settings.nodes)
    , m_cut(settings.nodes, std::vector<bool>(settings.nodes, false))
{
    for (std::size_t number = 0; number < m_nodes.size(); ++number) {
        node &fresh = m_nodes[number];
        fresh.number = number;
        fresh.name = "n" + std::to_string(number);
        fresh.incarnation = m_nextIncarnation++;
        // clocks drift apart by up to six in a hundred
        fresh.clockRate = 0.97 + 0.01 * static_cast<double>(m_random.below(7));
        fresh.clockOffset = m_random.between(milliseconds(0), milliseconds(100'000));
    }
}

std::string cluster_simulation::run()
{
    for (node &each : m_nodes)
        after(m_random.between(milliseconds(0), milliseconds(300)), [&] { start(each); });
    after(milliseconds(1'500), [this] { injectFault(); });
    after(milliseconds(500), [this] { act(); });
    runUntil(instant(m_settings.faultsFor), [] { return false; });

    m_faulty = false;
    for (auto &row : m_cut)
        row.assign(row.size(), false);
    for (node &each : m_nodes) {
        each.crashAtNextSync = false;
        if (!each.running)
            start(each);
    }
    runUntil(m_now + m_settings.calmFor, [this] { return isCalm(); });
    if (!isCalm())
        m_history.broken("not recovered after all faults ended");
    for (const node &each : m_nodes) {
        for (const auto &[index, command] : m_history.acknowledgedCommands()) {
            const auto found = each.state.find(index);
            if (found == each.state.end() || found->second != command)
                m_history.broken(each.name + " lost acknowledged command " + std::to_string(index));
        }
    }
    return m_history.violation();
}

void cluster_simulation::after(nanoseconds delay, std::function<void()> act)
{
    m_queue.push({m_now + delay, m_order++, std::move(act)});
}

void cluster_simulation::runUntil(instant end, const std::function<bool()> &done)
{
    while (!m_queue.empty() && m_queue.top().at <= end && m_history.violation().empty()
           && !done()) {
        const timed_event event = m_queue.top();
        m_queue.pop();
        m_now = event.at;
        event.act();
        checkAuthority();
    }
}

instant cluster_simulation::localTime(const node &at) const
{
    const auto passed = static_cast<double>(m_now.time_since_epoch().count());
    return instant(at.clockOffset + nanoseconds(static_cast<std::int64_t>(passed * at.clockRate)));
}

instant cluster_simulation::trueTime(const node &at, instant local) const
{
    const auto passed = static_cast<double>((local.time_since_epoch() - at.clockOffset).count());
    return instant(nanoseconds(static_cast<std::int64_t>(passed / at.clockRate)));
}

void cluster_simulation::start(node &at)
{
    if (at.running)
        return;
    note("start " + at.name);
    replica_config config;
    config.self = {at.name, at.incarnation};
    for (const node &each : m_nodes)
        config.initialMembers.push_back(each.name);
    config.orderLifetime = orderLifetime;
    config.maxEntriesInMessage = 4;
    config.maxEntriesInFlight = 16;
    config.snapshotChunkBytes = 256;
    config.seed = m_random.next();
    at.running = std::make_unique<replica>(config, at.disk, m_events, localTime(at));
    ++at.life;
    at.applied = at.snapshotIndex = 0;
    at.state.clear();
    if (at.disk.snapshot)
        install(at, *at.disk.snapshot);
    scheduleTick(at);
}

void cluster_simulation::crash(node &at)
{
    note("crash " + at.name);
    at.running.reset();
    at.published.reset();
    at.waiting.clear();
    at.reads.clear();
    at.heldBack.clear();
    at.paused = false;
    at.crashAtNextSync = false;
}

void cluster_simulation::loseDisk(node &at)
{
    crash(at);
    note("lose disk " + at.name);
    at.disk = {};
    at.incarnation = m_nextIncarnation++;
}

void cluster_simulation::pause(node &at, nanoseconds length)
{
    if (!at.running || at.paused)
        return;
    note("pause " + at.name);
    at.paused = true;
    after(length, [this, &at, life = at.life] {
        if (at.life != life || !at.paused)
            return;
        note("resume " + at.name);
        at.paused = false;
        // first what was queued is handled with a fresh clock reading
        for (const message &held : std::exchange(at.heldBack, {})) {
            if (at.running)
                deliver(held, life);
        }
        if (at.running)
            scheduleTick(at);
    });
}

void cluster_simulation::scheduleTick(node &at)
{
    const nanoseconds wait = at.running->nextTick() - localTime(at);
    const nanoseconds delay = std::max<nanoseconds>(wait, milliseconds(1));
    after(delay, [this, &at, life = at.life] {
        if (at.life != life || !at.running || at.paused)
            return;
        if (localTime(at) >= at.running->nextTick()) {
            at.running->tick(localTime(at));
            work(at);
        }
        if (at.running)
            scheduleTick(at);
    });
}

/// The driver's loop, which may crash at each sync.
void cluster_simulation::work(node &at)
{
    bool more = true;
    while (more && at.running) {
        const actions todo = at.running->takeActions(localTime(at));
        if (at.running->role() != replica_role::Leader)
            at.published.reset();
        for (const message &early : todo.earlyMessages)
            send(early);
        if (todo.mustSync() && !makeDurable(at, todo))
            return;
        if (!todo.entries.empty()) {
            at.running->persisted(todo.entries.back().index, todo.entries.back().term,
                                  localTime(at));
        }
        for (const message &late : todo.messages)
            send(late);
        if (todo.snapshotToInstall)
            install(at, *todo.snapshotToInstall);
        for (const log_entry &entry : todo.committed)
            apply(at, entry);
        for (const confirmed_read &read : todo.reads) {
            const auto asked = at.reads.find(read.id);
            if (read.confirmed && asked != at.reads.end())
                m_history.readConfirmed(asked->second.newestAcknowledged, at.applied);
        }
        if (at.applied >= at.snapshotIndex + snapshotEntries)
            saveSnapshot(at);
        more = todo.mustSync() || !todo.committed.empty() || !todo.earlyMessages.empty();
    }
    if (at.running)
        publish(at);
}

bool cluster_simulation::makeDurable(node &at, const actions &todo)
{
    const bool crashes = std::exchange(at.crashAtNextSync, false);
    const bool written = !crashes || m_random.chance(50);
    if (written) {
        if (todo.hardState)
            at.disk.hardState = *todo.hardState;
        if (todo.snapshotToInstall) {
            at.disk.snapshot = todo.snapshotToInstall;
            at.disk.entries.clear();
        }
        for (const log_entry &entry : todo.entries) {
            while (!at.disk.entries.empty() && at.disk.entries.back().index >= entry.index)
                at.disk.entries.pop_back();
            at.disk.entries.push_back(entry);
        }
    }
    if (crashes)
        crash(at);
    return !crashes;
}

void cluster_simulation::apply(node &at, const log_entry &entry)
{
    if (entry.index != at.applied + 1)
        m_history.broken(at.name + " applied out of order");
    m_history.applied(at.name, entry);
    at.applied = entry.index;
    if (entry.kind == entry_kind::Command)
        at.state[entry.index] = entry.payload;
    const auto waiting = at.waiting.find(entry.index);
    if (waiting == at.waiting.end())
        return;
    if (waiting->second == entry.term)
        m_history.acknowledged(entry);
    at.waiting.erase(waiting);
}

void cluster_simulation::install(node &at, const snapshot_data &snapshot)
{
    if (snapshot.index < at.applied)
        m_history.broken(at.name + " went back to an older snapshot");
    at.state = kernel::json::from_cbor(*snapshot.bytes).get<std::map<log_index, std::string>>();
    at.applied = at.snapshotIndex = snapshot.index;
}

void cluster_simulation::saveSnapshot(node &at)
{
    std::string bytes;
    kernel::json::to_cbor(kernel::json(at.state), bytes);
    at.disk.snapshot = at.running->snapshotAt(at.applied, std::move(bytes));
    std::erase_if(at.disk.entries,
                  [&](const log_entry &entry) { return entry.index <= at.applied; });
    at.snapshotIndex = at.applied;
    at.running->compact(*at.disk.snapshot, at.applied - trailingEntries);
}

void cluster_simulation::publish(node &at)
{
    at.published = at.running->leadershipAt(localTime(at));
    if (at.published) {
        m_history.authority(at.running->self(), at.published->fence,
                            trueTime(at, at.published->leaseEnd),
                            trueTime(at, at.published->ordersAllowedFrom));
    }
}

void cluster_simulation::send(const message &sent)
{
    const std::size_t from = std::stoul(sent.from.name.substr(1));
    const std::size_t to = std::stoul(sent.to.name.substr(1));
    if (m_cut[from][to] || (m_faulty && m_random.chance(2)))
        return;
    const int copies = m_faulty && m_random.chance(3) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const bool late = m_faulty && m_random.chance(4);
        const nanoseconds delay = m_random.between(milliseconds(0), milliseconds(late ? 2'500 : 6));
        after(delay, [this, sent, life = m_nodes[to].life] { deliver(sent, life); });
    }
}

void cluster_simulation::deliver(const message &sent, std::uint64_t life)
{
    node &to = m_nodes[std::stoul(sent.to.name.substr(1))];
    if (!to.running || to.life != life)
        return;
    if (to.paused) {
        to.heldBack.push_back(sent);
        return;
    }
    to.running->receive(sent, localTime(to));
    work(to);
}

cluster_simulation::node &cluster_simulation::anyNode()
{
    return m_nodes[m_random.below(m_nodes.size())];
}

/// The promise of the status: when the leader names nothing degraded, the next disk may be lost. A
/// loss that happened this moment is not in the status yet, so it is counted here.
bool cluster_simulation::sparesADisk() const
{
    return std::ranges::any_of(m_nodes, [&](const node &each) {
        return each.running && !each.paused && each.published
                && localTime(each) < each.published->leaseEnd
                && each.running->degradedReasons(localTime(each)).empty()
                && std::ranges::all_of(m_nodes, [&](const node &other) {
                       return each.running->log().members().hasVoter(
                               {other.name, other.incarnation});
                   });
    });
}

void cluster_simulation::injectFault()
{
    if (!m_faulty)
        return;
    node &victim = anyNode();
    const nanoseconds length = m_random.between(milliseconds(50), milliseconds(4'000));
    switch (m_random.below(8)) {
    case 0:
        crash(victim);
        after(length, [this, &victim] { start(victim); });
        break;
    case 1:
        victim.crashAtNextSync = true;
        after(length + milliseconds(100), [this, &victim] { start(victim); });
        break;
    case 2:
    case 3:
        pause(victim, length);
        break;
    case 4:
        if (sparesADisk()) {
            loseDisk(victim);
            after(length, [this, &victim] { start(victim); });
        }
        break;
    default: {
        // one direction, or both, or everything to and from one node
        const std::size_t other = m_random.below(m_nodes.size());
        const bool whole = m_random.chance(50);
        const bool bothWays = m_random.chance(50);
        note("cut " + victim.name + " " + std::to_string(other) + (whole ? " whole" : "")
             + (bothWays ? " both" : ""));
        for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
            if (!whole && peer != other)
                continue;
            m_cut[victim.number][peer] = true;
            if (bothWays)
                m_cut[peer][victim.number] = true;
            after(length, [this, number = victim.number, peer] {
                m_cut[number][peer] = false;
                m_cut[peer][number] = false;
            });
        }
    }
    }
    after(m_random.between(milliseconds(20), milliseconds(900)), [this] { injectFault(); });
}

/// Callers propose and read at whichever node believes to lead.
void cluster_simulation::act()
{
    for (node &each : m_nodes) {
        if (!each.running || each.paused || each.running->role() != replica_role::Leader)
            continue;
        const std::uint64_t commands = m_random.below(4);
        for (std::uint64_t count = 0; count < commands; ++count) {
            const proposal placed = each.running->propose("c" + std::to_string(m_nextCommand++));
            if (placed.outcome == proposal_outcome::Accepted)
                each.waiting[placed.index] = placed.term;
        }
        const std::uint64_t read = m_nextRead++;
        each.reads[read] = {m_history.newestAcknowledged()};
        (void)each.running->requestRead(read, localTime(each));
        work(each);
    }
    after(m_random.between(milliseconds(10), milliseconds(250)), [this] { act(); });
}

void cluster_simulation::checkAuthority()
{
    std::size_t holders = 0;
    for (const node &each : m_nodes) {
        if (each.running && each.published && localTime(each) < each.published->leaseEnd)
            ++holders;
    }
    m_history.holdersOfAuthority(holders);
}

/// All replicas vote in their present incarnation and have applied all that was acknowledged.
bool cluster_simulation::isCalm() const
{
    return sparesADisk() && std::ranges::all_of(m_nodes, [&](const node &each) {
               return each.running && each.applied >= m_history.newestAcknowledged()
                       && each.running->log().members().hasVoter(each.running->self());
           });
}

void cluster_simulation::note(const std::string &text)
{
    const auto now = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch());
    m_trace += std::to_string(now.count()) + " ms " + text + "\n";
}

} // namespace yuccascale::properties

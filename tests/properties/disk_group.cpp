#include "properties/disk_group.hpp"

#include "yuccascale/kernel/json.hpp"

#include <algorithm>
#include <array>

namespace yuccascale::properties {

using fakes::full_disk;
using kernel::error_kind;
using kernel::result;

namespace {

constexpr log_index entriesPerSnapshot = 12;
constexpr log_index entriesKeptAfterSnapshot = 3;
constexpr milliseconds timeToRejoin{15'000}; ///< until every replica votes and has all edits
constexpr std::size_t mostFiles = 40;        ///< segments of a quarter of a hundred writes
const std::filesystem::path folder = "data";

} // namespace

disk_group::disk_group(const disk_schedule &schedule)
    : m_schedule(schedule)
    , m_random(schedule.seed)
    , m_nodes(schedule.nodes)
{
    for (std::size_t number = 0; number < m_nodes.size(); ++number) {
        node &created = m_nodes[number];
        created.number = number;
        created.name = "n" + std::to_string(number);
        created.incarnation = number + 1;
        created.events = std::make_unique<traced_events>(*this, created.name);
        created.disk = std::make_unique<fakes::volatile_disk>(m_random.next());
    }
}

std::string disk_group::run()
{
    constexpr milliseconds timeToBegin{2'500};
    runFor(timeToBegin);
    const std::uint64_t fills = 3 + m_random.below(6);
    for (std::uint64_t fill = 0; fill < fills && m_violation.empty(); ++fill)
        fillOneDisk();
    endFaults();
    checkEnd();
    return m_violation;
}

void disk_group::runFor(nanoseconds time)
{
    const instant end = m_now + time;
    while (m_now < end && m_violation.empty())
        step();
}

void disk_group::step()
{
    m_now += milliseconds(1);
    deliverDue();
    editDue();
    for (node &each : m_nodes) {
        if (each.running)
            runNode(each);
        else if (m_now >= each.opensAt)
            open(each);
    }
}

void disk_group::deliverDue()
{
    std::deque<travelling> later;
    std::swap(later, m_messages);
    for (travelling &each : later) {
        node &to = m_nodes[std::stoul(each.sent.to.name.substr(1))];
        if (each.due > m_now)
            m_messages.push_back(std::move(each));
        else if (to.running)
            to.running->receive(each.sent, m_now);
    }
}

void disk_group::editDue()
{
    node *to = leader();
    if (m_now < m_nextEditAt || to == nullptr)
        return;
    m_nextEditAt = m_now + drawMs(120);
    std::string edit = "edit " + std::to_string(m_edits++) + std::string(m_random.below(60), '.');
    const proposal placed = to->running->propose(std::move(edit));
    if (placed.outcome == proposal_outcome::Accepted)
        to->pending[placed.index] = placed.term;
}

void disk_group::runNode(node &target)
{
    if (m_now >= target.running->nextTick())
        target.running->tick(m_now);
    kernel::error problem;
    const bool executed = kernel::succeeded(
            [&]() -> result<void> {
                bool more = true;
                while (more) {
                    BOOST_LEAF_CHECK(executeActions(target, more));
                }
                return {};
            },
            problem);
    if (target.disk->killed())
        return closeKilled(target);
    if (executed)
        return;
    ++m_failedWrites;
    note(target.name + " stops: " + problem.where + ": " + problem.message);
    close(target, reopenInterval);
}

void disk_group::closeKilled(node &target)
{
    note(target.name + " is killed by its disk");
    target.disk->letLive();
    close(target, drawMs(1'000));
}

void disk_group::open(node &target)
{
    target.opensAt = m_now + reopenInterval;
    kernel::error problem;
    const bool opened = kernel::succeeded(
            [&]() -> result<void> {
                BOOST_LEAF_ASSIGN(
                        target.store,
                        store::replica_store::open(folder, target.incarnation, *target.disk));
                return {};
            },
            problem);
    if (target.disk->killed())
        return closeKilled(target);
    if (opened)
        return adopt(target, target.store->takeRecovery());
    if (problem.kind != error_kind::Unavailable || !target.disk->full())
        violate(target.name + " does not open: " + problem.where + ": " + problem.message);
    if (target.disk->fileCount() > mostFiles)
        violate(target.name + " has " + std::to_string(target.disk->fileCount()) + " files");
}

void disk_group::adopt(node &target, const store::recovery &found)
{
    replica_config config;
    config.self = {target.name, found.incarnation};
    for (const node &each : m_nodes)
        config.initialMembers.push_back(each.name);
    config.initialMembers.resize(m_schedule.voters);
    config.electionTimeout = electionTimeout;
    config.maxEntriesInMessage = 4;
    config.maxEntriesInFlight = 16;
    config.snapshotChunkBytes = 4'096;
    config.seed = m_random.next();
    target.state.clear();
    target.applied = target.snapshotIndex = 0;
    if (const auto &snapshot = found.state.snapshot) {
        target.state
                = kernel::json::from_cbor(*snapshot->bytes).get<std::map<log_index, std::string>>();
        target.applied = target.snapshotIndex = snapshot->index;
    }
    target.running = std::make_unique<replica>(config, found.state, *target.events, m_now);
    note(target.name + " opens at " + std::to_string(target.applied) + " with "
         + std::to_string(found.state.entries.size()) + " entries");
}

void disk_group::close(node &target, milliseconds downFor)
{
    target.running.reset();
    target.store.reset();
    target.pending.clear();
    target.opensAt = m_now + downFor;
}

/// Does what runtime::replicated_log does with one batch.
result<void> disk_group::executeActions(node &target, bool &more)
{
    const actions batch = target.running->takeActions(m_now);
    send(batch.earlyMessages);
    if (batch.mustSync())
        BOOST_LEAF_CHECK(persist(target, batch));
    if (!batch.entries.empty()) {
        const log_entry &last = batch.entries.back();
        target.running->persisted(last.index, last.term, m_now);
    }
    send(batch.messages);
    if (batch.snapshotToInstall) {
        const snapshot_data &snapshot = *batch.snapshotToInstall;
        target.state
                = kernel::json::from_cbor(*snapshot.bytes).get<std::map<log_index, std::string>>();
        target.applied = target.snapshotIndex = snapshot.index;
        note(target.name + " installs a snapshot at " + std::to_string(snapshot.index));
    }
    for (const log_entry &entry : batch.committed)
        apply(target, entry);
    BOOST_LEAF_CHECK(saveSnapshotWhenDue(target));
    more = batch.mustSync() || !batch.earlyMessages.empty() || !batch.messages.empty()
            || !batch.committed.empty();
    return {};
}

result<void> disk_group::persist(node &target, const actions &batch)
{
    store::replica_write write{batch.hardState, std::nullopt, batch.entries};
    if (batch.snapshotToInstall) {
        BOOST_LEAF_CHECK(target.store->saveSnapshot(*batch.snapshotToInstall));
        write.resetTo = batch.snapshotToInstall->index;
    }
    return target.store->write(write);
}

result<void> disk_group::saveSnapshotWhenDue(node &target)
{
    if (target.applied < target.snapshotIndex + entriesPerSnapshot)
        return {};
    std::string bytes;
    kernel::json::to_cbor(kernel::json(target.state), bytes);
    snapshot_data snapshot = target.running->snapshotAt(target.applied, std::move(bytes));
    BOOST_LEAF_CHECK(target.store->saveSnapshot(snapshot));
    target.snapshotIndex = target.applied;
    const log_index keepFrom = target.applied - entriesKeptAfterSnapshot;
    target.running->compact(std::move(snapshot), keepFrom);
    return target.store->compact(keepFrom);
}

void disk_group::apply(node &target, const log_entry &entry)
{
    if (entry.index != target.applied + 1)
        violate(target.name + " applies " + std::to_string(entry.index) + " after "
                + std::to_string(target.applied));
    target.applied = entry.index;
    if (entry.kind == entry_kind::Command)
        target.state[entry.index] = entry.payload;
    const auto pending = target.pending.find(entry.index);
    if (pending == target.pending.end())
        return;
    if (pending->second == entry.term) {
        m_acknowledged[entry.index] = entry.payload;
        m_lastAcknowledgedAt = m_now;
    }
    target.pending.erase(pending);
}

void disk_group::send(const std::vector<message> &messages)
{
    for (const message &each : messages)
        m_messages.push_back({m_now + milliseconds(1 + m_random.below(3)), each});
}

/// Fills one disk for some seconds; the next one is filled at once or a while after.
void disk_group::fillOneDisk()
{
    constexpr std::array kinds{full_disk::Writes, full_disk::WritesAndNames, full_disk::Syncs};
    node *leading = leader();
    node &target = leading != nullptr && m_random.chance(40) ? *leading : randomNode();
    const std::uint64_t room = m_random.chance(50) ? 0 : m_random.below(2'000);
    target.disk->fillAfter(m_random.below(14), kinds[m_random.below(kinds.size())], room);
    note("the disk of " + target.name + " is full but for " + std::to_string(room) + " bytes");
    const instant until = m_now + milliseconds(200) + drawMs(5'000);
    while (m_now < until && m_violation.empty()) {
        runFor(drawMs(1'500));
        if (m_schedule.otherFaults)
            strike();
    }
    target.disk->makeRoom();
    note("the disk of " + target.name + " has room");
    if (m_random.chance(60))
        runFor(drawMs(1'500));
}

void disk_group::strike()
{
    node &target = randomNode();
    switch (m_random.below(6)) {
    case 0:
        target.disk->killAfter(m_random.below(12));
        return note(target.name + " is to be killed in a write");
    case 1:
        note(target.name + " is killed");
        return close(target, drawMs(1'000));
    case 2:
        return losePower(target, drawMs(2'000));
    case 3:
        for (node &each : m_nodes)
            losePower(each, drawMs(1'000));
        return;
    case 4:
        if (allVote())
            loseDisk(target);
        return;
    default:
        return;
    }
}

void disk_group::losePower(node &target, milliseconds downFor)
{
    note(target.name + " loses power");
    close(target, downFor);
    target.disk->letLive();
    target.disk->losePower();
}

/// The disk that is full stays so: another one takes its place only with the machine.
void disk_group::loseDisk(node &target)
{
    if (target.disk->full())
        return;
    note(target.name + " loses its disk");
    close(target, drawMs(1'000));
    target.disk = std::make_unique<fakes::volatile_disk>(m_random.next());
    target.incarnation = m_nextIncarnation++;
}

void disk_group::endFaults()
{
    for (node &each : m_nodes) {
        each.disk->letLive();
        each.disk->makeRoom();
        // a process that was killed is back now; one whose disk was full tries again in its time
        if (!each.running && m_schedule.otherFaults)
            each.opensAt = std::min(each.opensAt, m_now + reopenInterval);
    }
    const instant end = m_now;
    const std::size_t before = m_acknowledged.size();
    while (m_acknowledged.size() == before && m_now < end + timeToRejoin && m_violation.empty())
        step();
    m_recoveredAfter = std::chrono::duration_cast<milliseconds>(m_now - end);
    if (m_recoveredAfter > acknowledgedWithin)
        violate("no edit is acknowledged for " + std::to_string(m_recoveredAfter.count())
                + " ms after the last disk has room");
}

/// Every replica is back, votes where it is wanted, and has all that was acknowledged.
void disk_group::checkEnd()
{
    const instant end = m_now + timeToRejoin;
    const auto isBack = [&](const node &each) {
        return each.running && each.applied >= m_acknowledged.rbegin()->first;
    };
    while (m_violation.empty() && m_now < end
           && !(allVote() && std::ranges::all_of(m_nodes, isBack)))
        step();
    if (m_violation.empty() && m_now >= end)
        violate("not every replica is back" + describe());
    for (const node &each : m_nodes) {
        for (const auto &[index, edit] : m_acknowledged) {
            const auto found = each.state.find(index);
            if (m_violation.empty() && (found == each.state.end() || found->second != edit))
                violate(each.name + " lacks the acknowledged edit " + std::to_string(index));
        }
    }
}

disk_group::node &disk_group::randomNode()
{
    return m_nodes[m_random.below(m_nodes.size())];
}

disk_group::node *disk_group::leader()
{
    const auto found = std::ranges::find_if(m_nodes, [&](const node &each) {
        return each.running && each.running->leadershipAt(m_now);
    });
    return found == m_nodes.end() ? nullptr : &*found;
}

/// \returns whether a leader knows of no degradation and every replica is a member as it is now.
bool disk_group::allVote() const
{
    return std::ranges::any_of(m_nodes, [&](const node &each) {
        if (!each.running || !each.running->leadershipAt(m_now))
            return false;
        const membership &members = each.running->log().members();
        return members.voters.size() >= m_schedule.voters
                && each.running->log().membersIndex() <= each.running->commitIndex()
                && std::ranges::all_of(m_nodes, [&](const node &other) {
                       return other.running && members.has(other.running->self());
                   });
    });
}

std::string disk_group::describe() const
{
    std::string text;
    for (const node &each : m_nodes) {
        text += "; " + each.name + " has applied " + std::to_string(each.applied);
        if (!each.running)
            continue;
        text += each.running->leadershipAt(m_now) ? " and leads" : "";
        text += ", voters";
        for (const member_id &voter : each.running->log().members().voters)
            text += " " + voter.name + "/" + std::to_string(voter.incarnation);
        text += ", learners";
        for (const member_id &learner : each.running->log().members().learners)
            text += " " + learner.name + "/" + std::to_string(learner.incarnation);
    }
    return text;
}

void disk_group::violate(const std::string &what)
{
    if (m_violation.empty())
        m_violation = what;
}

void disk_group::traced_events::record(const kernel::event_kind &kind,
                                       std::span<const kernel::event_field> fields)
{
    std::string line = m_name + " " + std::string(kind.name());
    for (const kernel::event_field &field : fields)
        line += " " + std::string(field.name) + "=" + field.value;
    m_group.note(line);
}

void disk_group::note(const std::string &what)
{
    const auto now = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch());
    m_trace += std::to_string(now.count()) + " ms " + what + "\n";
}

milliseconds disk_group::drawMs(unsigned below)
{
    return milliseconds(static_cast<std::int64_t>(m_random.below(below)));
}

} // namespace yuccascale::properties

#include "yuccascale/store/replica_store.hpp"

#include "yuccascale/store/record_frames.hpp"
#include "yuccascale/wire/consensus_tables.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace yuccascale::store {

using kernel::error_kind;
using kernel::fail;
using kernel::result;
using kernel::consensus::log_entry;
using kernel::consensus::log_index;
using kernel::consensus::snapshot_data;
using wire::verifiedRoot;
namespace fb = wire::fb;
namespace fs = std::filesystem;

namespace {

constexpr std::string_view segmentPrefix = "log-";
constexpr std::string_view snapshotPrefix = "snapshot-";
constexpr std::string_view manifestName = "manifest";
constexpr std::string_view setAsidePrefix = "damaged-"; ///< before the names of a log set aside
/// A start needs as much room beside the newest segment: it writes that one anew.
constexpr std::uint64_t maxSegmentBytes = 1U << 20U;
constexpr std::uint64_t firstSegmentNumber = 1;
constexpr unsigned sequenceBits = 32; ///< low bits of a sequence number the frames of a segment

boost::leaf::error_id corrupt(const fs::path &path, const std::string &problem)
{
    return fail(error_kind::Corrupt, path.string(),
                problem
                        + "; move the data folder away and start the node with an empty one, so "
                          "that it joins as a new replica and copies the log from the others");
}

std::string numberedName(std::string_view prefix, std::uint64_t number)
{
    std::array<char, 24> digits{};
    (void)std::snprintf(digits.data(), digits.size(), "%016llx",
                        static_cast<unsigned long long>(number));
    return std::string(prefix) + digits.data();
}

/// \returns the numbers of the files with that prefix, sorted.
std::vector<std::uint64_t> fileNumbers(std::span<const std::string> names, std::string_view prefix)
{
    std::vector<std::uint64_t> numbers;
    for (const std::string &name : names) {
        if (name.starts_with(prefix) && !name.ends_with(unfinishedSuffix))
            numbers.push_back(std::strtoull(name.c_str() + prefix.size(), nullptr, 16));
    }
    std::ranges::sort(numbers);
    return numbers;
}

std::string packBatch(const replica_write &batch)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto entries = wire::packEntries(builder, batch.entries);
    flatbuffers::Offset<fb::Member> votedFor;
    if (batch.hardState && batch.hardState->votedFor)
        votedFor = wire::packMember(builder, *batch.hardState->votedFor);
    fb::StoredBatchBuilder table(builder);
    table.add_has_hard_state(batch.hardState.has_value());
    if (batch.hardState)
        table.add_term(batch.hardState->term);
    if (!votedFor.IsNull())
        table.add_voted_for(votedFor);
    table.add_reset(batch.resetTo.has_value());
    table.add_reset_index(batch.resetTo.value_or(0));
    table.add_entries(entries);
    builder.Finish(table.Finish());
    return wire::finishedBytes(builder);
}

std::string packSnapshot(const snapshot_data &snapshot)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto members = wire::packMembership(builder, snapshot.members);
    const auto bytes = wire::packBytes(builder, *snapshot.bytes);
    builder.Finish(
            fb::CreateStoredSnapshot(builder, snapshot.index, snapshot.term, members, bytes));
    return wire::finishedBytes(builder);
}

} // namespace

result<std::unique_ptr<replica_store>> replica_store::open(const fs::path &folder,
                                                           std::uint64_t newIncarnation, disk &on)
{
    BOOST_LEAF_CHECK(on.createFolder(folder));
    std::unique_ptr<replica_store> opened(new replica_store(folder, on));
    BOOST_LEAF_ASSIGN(opened->m_lock, on.lock(folder));
    const bool hasManifest = on.exists(folder / manifestName);
    BOOST_LEAF_CHECK(hasManifest ? opened->recover() : opened->create(newIncarnation));
    BOOST_LEAF_AUTO(names, on.list(folder));
    opened->m_recovery.formerLog = std::ranges::any_of(
            names, [](const std::string &name) { return name.starts_with(setAsidePrefix); });
    return opened;
}

/// The manifest goes first and by itself: an interrupted call then goes on without removing what it
/// has set aside.
result<void> replica_store::setAside(const fs::path &folder, disk &on)
{
    BOOST_LEAF_AUTO(held, on.lock(folder));
    BOOST_LEAF_AUTO(names, on.list(folder));
    if (on.exists(folder / manifestName)) {
        for (const std::string &name : names) {
            if (name.starts_with(setAsidePrefix))
                on.remove(folder / name);
        }
    }
    const auto rename = [&](std::string_view name) {
        return on.rename(folder / name, folder / (std::string(setAsidePrefix) + std::string(name)));
    };
    if (on.exists(folder / manifestName)) {
        BOOST_LEAF_CHECK(rename(manifestName));
        BOOST_LEAF_CHECK(on.syncFolder(folder));
    }
    for (const std::string &name : names) {
        if (name.starts_with(segmentPrefix) || name.starts_with(snapshotPrefix))
            BOOST_LEAF_CHECK(rename(name));
    }
    return on.syncFolder(folder);
}

result<void> replica_store::create(std::uint64_t incarnation)
{
    BOOST_LEAF_AUTO(names, m_disk.list(m_folder));
    for (const std::uint64_t number : fileNumbers(names, segmentPrefix)) {
        // a crash during the first start can leave the first segment, still empty
        if (number != firstSegmentNumber || m_disk.size(segmentPath(number)) > 0)
            return corrupt(m_folder / manifestName, "the manifest of this log is missing");
    }
    if (!fileNumbers(names, snapshotPrefix).empty())
        return corrupt(m_folder / manifestName, "the manifest of this snapshot is missing");
    m_incarnation = incarnation;
    m_recovery.incarnation = incarnation;
    m_recovery.created = true;
    m_oldestSegment = firstSegmentNumber;
    // the manifest comes first: a first segment without one is expected to be empty
    BOOST_LEAF_AUTO(empty, m_disk.create(segmentPath(firstSegmentNumber)));
    BOOST_LEAF_CHECK(empty->sync());
    BOOST_LEAF_CHECK(writeManifest(firstSegmentNumber));
    return startSegment(firstSegmentNumber);
}

result<void> replica_store::recover()
{
    // a process that was killed may have left names that a loss of power would take back
    BOOST_LEAF_CHECK(m_disk.syncFolder(m_folder));
    BOOST_LEAF_AUTO(names, m_disk.list(m_folder));
    removeUnfinished(names);
    BOOST_LEAF_AUTO(newest, readManifest());
    BOOST_LEAF_CHECK(readSnapshot(fileNumbers(names, snapshotPrefix)));
    const std::vector<std::uint64_t> numbers = withoutRemoved(fileNumbers(names, segmentPrefix));
    if (numbers.empty() || numbers.back() < newest)
        return corrupt(segmentPath(newest), "this log segment is missing");
    if (m_oldestSegment != 0 && numbers.front() != m_oldestSegment)
        return corrupt(segmentPath(m_oldestSegment), "this log segment is missing");
    for (std::size_t at = 0; at < numbers.size(); ++at) {
        if (numbers[at] != numbers.front() + at)
            return corrupt(segmentPath(numbers.front() + at), "this log segment is missing");
        BOOST_LEAF_CHECK(readSegment(numbers[at], at + 1 == numbers.size()));
    }
    BOOST_LEAF_AUTO(resetTo, reconcileLogWithSnapshot());
    m_recovery.incarnation = m_incarnation;
    m_recovery.state.hardState = m_hardState;
    return beginWriting(newest, resetTo);
}

/// Begins a segment; the newest one is written over when it holds no more than a hard state, so
/// that openings in a row add no files.
result<void> replica_store::beginWriting(std::uint64_t namedSegment,
                                         std::optional<log_index> resetTo)
{
    std::uint64_t number = m_segments.back().number;
    if (m_segments.back().holdsLog)
        ++number;
    else
        m_segments.pop_back();
    BOOST_LEAF_CHECK(startSegment(number, resetTo));
    if (number != namedSegment)
        BOOST_LEAF_CHECK(writeManifest(number));
    return {};
}

void replica_store::removeUnfinished(std::span<const std::string> names)
{
    for (const std::string &name : names) {
        if (name.ends_with(unfinishedSuffix))
            m_disk.remove(m_folder / name);
    }
}

/// A loss of power brings removed segments back, each by itself.
/// \returns \a numbers from the oldest segment on; the files before it are removed.
std::vector<std::uint64_t> replica_store::withoutRemoved(std::vector<std::uint64_t> numbers)
{
    std::erase_if(numbers, [&](std::uint64_t number) {
        if (number < m_oldestSegment)
            m_disk.remove(segmentPath(number));
        return number < m_oldestSegment;
    });
    return numbers;
}

result<std::uint64_t> replica_store::readManifest()
{
    const fs::path path = m_folder / manifestName;
    BOOST_LEAF_AUTO(bytes, m_disk.read(path));
    const frame_scan scan = scanFrames(bytes, 0);
    if (scan.records.size() != 1 || scan.tornTail)
        return corrupt(path, "the manifest is damaged");
    const auto *table = verifiedRoot<fb::StoredManifest>(scan.records.front());
    if (!table)
        return corrupt(path, "the file does not hold a manifest");
    m_incarnation = table->incarnation();
    m_oldestSegment = table->oldest_segment();
    return table->newest_segment();
}

result<void> replica_store::writeManifest(std::uint64_t newestSegment)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(
            fb::CreateStoredManifest(builder, m_incarnation, newestSegment, m_oldestSegment));
    return replaceFile(m_disk, m_folder / manifestName,
                       frameRecord(0, wire::finishedBytes(builder)));
}

result<void> replica_store::readSnapshot(std::span<const std::uint64_t> numbers)
{
    if (numbers.empty())
        return {};
    const fs::path path = m_folder / numberedName(snapshotPrefix, numbers.back());
    BOOST_LEAF_AUTO(bytes, m_disk.read(path));
    const frame_scan scan = scanFrames(bytes, numbers.back());
    if (scan.records.size() != 1 || scan.tornTail)
        return corrupt(path, "the snapshot is damaged");
    const auto *table = verifiedRoot<fb::StoredSnapshot>(scan.records.front());
    if (!table)
        return corrupt(path, "the file does not hold a snapshot");
    m_recovery.state.snapshot
            = snapshot_data{table->index(), table->term(), wire::unpackMembership(table->members()),
                            std::make_shared<const std::string>(wire::unpackBytes(table->bytes()))};
    return {};
}

result<void> replica_store::readSegment(std::uint64_t number, bool newest)
{
    const fs::path path = segmentPath(number);
    BOOST_LEAF_AUTO(bytes, m_disk.read(path));
    const frame_scan scan = scanFrames(bytes, number << sequenceBits);
    if (scan.corruptMiddle || (scan.tornTail && !newest)) {
        return corrupt(path,
                       "damaged after byte " + std::to_string(scan.completeBytes)
                               + " while later data is intact");
    }
    m_segments.push_back({number});
    for (const std::string_view record : scan.records) {
        BOOST_LEAF_CHECK(replay(record, path));
    }
    m_recovery.tornTail = m_recovery.tornTail || scan.tornTail;
    return makeDurable(path, std::string_view(bytes).substr(0, scan.completeBytes), newest);
}

/// What was read may be in memory only: a process that was killed had not synced its last write. A
/// failed sync leaves the memory clean and the disk behind, so that the newest segment is written
/// again.
result<void> replica_store::makeDurable(const fs::path &path, std::string_view complete,
                                        bool newest)
{
    if (newest)
        return replaceFile(m_disk, path, complete);
    BOOST_LEAF_AUTO(segment, m_disk.openForAppend(path));
    return segment->sync();
}

result<void> replica_store::replay(std::string_view record, const fs::path &path)
{
    const auto *table = verifiedRoot<fb::StoredBatch>(record);
    if (!table)
        return corrupt(path, "a record does not hold a valid batch");
    if (table->has_hard_state()) {
        m_hardState = {table->term(), std::nullopt};
        if (table->voted_for())
            m_hardState.votedFor = wire::unpackMember(table->voted_for());
    }
    std::vector<log_entry> &entries = m_recovery.state.entries;
    log_index expected = entries.empty() ? 0 : entries.back().index + 1;
    if (table->reset()) {
        entries.clear();
        expected = table->reset_index() + 1;
        m_segments.back().holdsLog = true;
    }
    const auto &snapshot = m_recovery.state.snapshot;
    const log_index covered = snapshot ? snapshot->index : 0;
    for (log_entry &entry : wire::unpackEntries(table->entries())) {
        if (expected != 0 && entry.index > expected) {
            // 5080f23 went on after a snapshot without a reset when it was stopped between the two
            if (entry.index > covered + 1) {
                return corrupt(path,
                               "entries before " + std::to_string(entry.index) + " are missing");
            }
            entries.clear();
        }
        while (!entries.empty() && entries.back().index >= entry.index)
            entries.pop_back();
        expected = entry.index + 1;
        m_segments.back().holdsLog = true;
        m_segments.back().lastIndex = std::max(m_segments.back().lastIndex, entry.index);
        entries.push_back(std::move(entry));
    }
    return {};
}

/// Drops the entries that the snapshot covers, and all entries when the one at the snapshot's index
/// has another term or the snapshot is ahead of them. Fails when entries between the snapshot and
/// the log are missing.
/// \returns where the log on the disk is to be reset to, when it does not go on after the snapshot.
result<std::optional<log_index>> replica_store::reconcileLogWithSnapshot()
{
    std::vector<log_entry> &entries = m_recovery.state.entries;
    const auto &snapshot = m_recovery.state.snapshot;
    const log_index snapshotIndex = snapshot ? snapshot->index : 0;
    const auto last = std::ranges::find(entries, snapshotIndex, &log_entry::index);
    const bool differs = last != entries.end() && last->term != snapshot->term;
    const bool endsBefore = !entries.empty() && entries.back().index < snapshotIndex;
    if (differs || endsBefore) {
        entries.clear();
        return std::optional<log_index>(snapshotIndex);
    }
    std::erase_if(entries, [&](const log_entry &entry) { return entry.index <= snapshotIndex; });
    if (!entries.empty() && entries.front().index != snapshotIndex + 1) {
        return corrupt(m_folder,
                       "the entries between the snapshot at " + std::to_string(snapshotIndex)
                               + " and the log at " + std::to_string(entries.front().index)
                               + " are missing");
    }
    return std::optional<log_index>();
}

/// Each segment begins with the hard state, so that older ones can be removed. It gets its name
/// once that is durable.
result<void> replica_store::startSegment(std::uint64_t number, std::optional<log_index> resetTo)
{
    const std::uint64_t sequence = number << sequenceBits;
    const std::string frame = frameRecord(sequence, packBatch({m_hardState, resetTo, {}}));
    BOOST_LEAF_CHECK(replaceFile(m_disk, segmentPath(number), frame));
    BOOST_LEAF_ASSIGN(m_currentSegment, m_disk.openForAppend(segmentPath(number)));
    m_nextSequence = sequence + 1;
    m_currentSegmentBytes = frame.size();
    m_segments.push_back({number, 0, resetTo.has_value()});
    return {};
}

result<void> replica_store::append(std::string_view record)
{
    const std::string frame = frameRecord(m_nextSequence, record);
    BOOST_LEAF_CHECK(appendDurably(*m_currentSegment, frame));
    ++m_nextSequence;
    m_currentSegmentBytes += frame.size();
    return {};
}

/// Until the work of this call succeeds, the content of the disk is unknown.
template<typename Work>
result<void> replica_store::unlessFailed(Work &&work)
{
    if (m_failed) {
        return fail(error_kind::Unavailable, m_folder.string(),
                    "an earlier write failed; check the disk and restart the node");
    }
    m_failed = true;
    BOOST_LEAF_CHECK(std::forward<Work>(work)());
    m_failed = false;
    return {};
}

result<void> replica_store::write(const replica_write &batch)
{
    return unlessFailed([&]() -> result<void> {
        if (m_currentSegmentBytes > maxSegmentBytes) {
            BOOST_LEAF_CHECK(startSegment(m_segments.back().number + 1));
            BOOST_LEAF_CHECK(writeManifest(m_segments.back().number));
        }
        BOOST_LEAF_CHECK(append(packBatch(batch)));
        if (batch.hardState)
            m_hardState = *batch.hardState;
        if (!batch.entries.empty()) {
            m_segments.back().lastIndex
                    = std::max(m_segments.back().lastIndex, batch.entries.back().index);
        }
        return {};
    });
}

result<void> replica_store::saveSnapshot(const snapshot_data &snapshot)
{
    const fs::path path = m_folder / numberedName(snapshotPrefix, snapshot.index);
    const std::string frame = frameRecord(snapshot.index, packSnapshot(snapshot));
    BOOST_LEAF_CHECK(replaceFile(m_disk, path, frame));
    BOOST_LEAF_AUTO(names, m_disk.list(m_folder));
    for (const std::uint64_t number : fileNumbers(names, snapshotPrefix)) {
        if (number < snapshot.index)
            m_disk.remove(m_folder / numberedName(snapshotPrefix, number));
    }
    return {};
}

result<void> replica_store::compact(log_index keepFrom)
{
    return unlessFailed([&] { return removeSegmentsBefore(keepFrom); });
}

/// The manifest names the oldest segment before earlier ones are removed, and after the hard state
/// is in the newest one.
result<void> replica_store::removeSegmentsBefore(log_index keepFrom)
{
    const auto kept = std::ranges::find_if(
            m_segments, [&](const segment &each) { return each.lastIndex >= keepFrom; });
    const std::uint64_t next = m_segments.back().number + 1;
    const std::uint64_t oldest = kept == m_segments.end() ? next : kept->number;
    BOOST_LEAF_CHECK(startSegment(next));
    m_oldestSegment = oldest;
    BOOST_LEAF_CHECK(writeManifest(next));
    while (m_segments.front().number < m_oldestSegment) {
        m_disk.remove(segmentPath(m_segments.front().number));
        m_segments.pop_front();
    }
    return m_disk.syncFolder(m_folder);
}

fs::path replica_store::segmentPath(std::uint64_t number) const
{
    return m_folder / numberedName(segmentPrefix, number);
}

} // namespace yuccascale::store

#include "fakes/former_manifest_generated.h"
#include "yuccascale/store/record_frames.hpp"
#include "yuccascale/store/replica_store.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>

namespace yuccascale::store {

namespace {

using namespace kernel::consensus;
namespace fs = std::filesystem;

/// Opens the same folder repeatedly, as restarts of a node do.
class store_replica : public testing::Test
{
protected:
    store_replica()
        : m_folder(fs::temp_directory_path() / ("yuccascale-store-" + std::to_string(::getpid())))
    {
        fs::remove_all(m_folder);
    }
    ~store_replica() override { fs::remove_all(m_folder); }

    bool open()
    {
        m_store.reset();
        return kernel::succeeded(
                [&]() -> kernel::result<void> {
                    BOOST_LEAF_ASSIGN(m_store, replica_store::open(m_folder, 77));
                    m_recovery = m_store->takeRecovery();
                    return {};
                },
                m_problem);
    }
    void write(const std::optional<hard_state> &hardState, const std::vector<log_entry> &entries)
    {
        ASSERT_TRUE(kernel::succeeded(
                [&] {
                    return m_store->write({hardState, std::nullopt, entries});
                },
                m_problem));
    }
    void save(log_index index, term_number term)
    {
        const snapshot_data snapshot{
                index, term, {{{"a", 1}}, {}}, std::make_shared<const std::string>("state")};
        ASSERT_TRUE(kernel::succeeded([&] { return m_store->saveSnapshot(snapshot); }, m_problem));
    }
    void compact(log_index keepFrom)
    {
        ASSERT_TRUE(kernel::succeeded([&] { return m_store->compact(keepFrom); }, m_problem));
    }
    fs::path segment(int number) const
    {
        return m_folder / ("log-000000000000000" + std::to_string(number));
    }
    static void flipByte(const fs::path &path, std::int64_t fromEnd)
    {
        std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
        file.seekg(-fromEnd, std::ios::end);
        const auto at = file.tellg();
        const char byte = static_cast<char>(file.get());
        file.seekp(at);
        file.put(static_cast<char>(byte ^ 0x10));
    }

    fs::path m_folder;
    std::unique_ptr<replica_store> m_store;
    recovery m_recovery;
    kernel::error m_problem;
};

log_entry entry(log_index index, term_number term)
{
    return {term, index, entry_kind::Command, "entry " + std::to_string(index)};
}

} // namespace

TEST_F(store_replica, recoversWhatWasWritten)
{
    ASSERT_TRUE(open());
    EXPECT_TRUE(m_recovery.created);
    write(hard_state{3, member_id{"b", 9}}, {entry(1, 1), entry(2, 3), entry(3, 3)});
    write(hard_state{4, std::nullopt}, {entry(3, 4)});
    ASSERT_TRUE(open());
    EXPECT_FALSE(m_recovery.created);
    EXPECT_EQ(m_recovery.incarnation, 77U);
    EXPECT_EQ(m_recovery.state.hardState, (hard_state{4, std::nullopt}));
    EXPECT_EQ(m_recovery.state.entries, (std::vector{entry(1, 1), entry(2, 3), entry(3, 4)}));
}

TEST_F(store_replica, dropsATornTailAndKeepsAllWritesBeforeIt)
{
    ASSERT_TRUE(open());
    write(hard_state{1, std::nullopt}, {entry(1, 1)});
    const auto firstWriteEnd = fs::file_size(segment(1));
    write(hard_state{1, std::nullopt}, {entry(2, 1)});
    const std::uint64_t end = fs::file_size(segment(1));
    m_store.reset();
    fs::path copy = m_folder.string() + "-copy";
    // a crash can leave any part of the last write on the disk
    for (std::uint64_t size = end - 1; size > firstWriteEnd;
         size -= std::min<std::uint64_t>(7, size)) {
        fs::remove_all(copy);
        fs::copy(m_folder, copy);
        fs::resize_file(copy / segment(1).filename(), size);
        std::swap(m_folder, copy);
        EXPECT_TRUE(open()) << m_problem.message;
        EXPECT_TRUE(m_recovery.tornTail);
        EXPECT_EQ(m_recovery.state.entries, std::vector{entry(1, 1)});
        EXPECT_TRUE(open()) << "again";
        EXPECT_FALSE(m_recovery.tornTail);
        m_store.reset();
        std::swap(m_folder, copy);
    }
    fs::remove_all(copy);
}

TEST_F(store_replica, refusesDamageBeforeAnIntactRecordAndNamesTheRemedy)
{
    ASSERT_TRUE(open());
    write(hard_state{1, std::nullopt}, {entry(1, 1)});
    const auto firstWriteEnd = fs::file_size(segment(1));
    write(hard_state{1, std::nullopt}, {entry(2, 1)});
    const auto secondWriteEnd = fs::file_size(segment(1));
    flipByte(segment(1), static_cast<std::int64_t>(secondWriteEnd - firstWriteEnd + 3));
    EXPECT_FALSE(open());
    EXPECT_EQ(m_problem.kind, kernel::error_kind::Corrupt);
    EXPECT_NE(m_problem.message.find("move the data folder away"), std::string::npos);
}

TEST_F(store_replica, refusesDamageInAnOlderSegmentSnapshotOrManifest)
{
    ASSERT_TRUE(open());
    write(hard_state{1, std::nullopt}, {entry(1, 1)});
    ASSERT_TRUE(open());
    write(hard_state{1, std::nullopt}, {entry(2, 1)});
    save(1, 1);
    m_store.reset();
    for (const fs::path &path :
         {segment(1), m_folder / "snapshot-0000000000000001", m_folder / "manifest"}) {
        flipByte(path, 2);
        EXPECT_FALSE(open()) << path;
        EXPECT_EQ(m_problem.kind, kernel::error_kind::Corrupt);
        flipByte(path, 2);
        EXPECT_TRUE(open()) << path << m_problem.message;
        m_store.reset();
    }
}

TEST_F(store_replica, refusesAMissingSegmentOrManifest)
{
    ASSERT_TRUE(open());
    write(hard_state{1, std::nullopt}, {entry(1, 1)});
    ASSERT_TRUE(open());
    write(hard_state{1, std::nullopt}, {entry(2, 1)});
    ASSERT_TRUE(open());
    m_store.reset();
    for (const fs::path &path : {segment(2), segment(3), m_folder / "manifest"}) {
        const fs::path away = m_folder.string() + "-away";
        fs::rename(path, away);
        EXPECT_FALSE(open()) << path;
        EXPECT_EQ(m_problem.kind, kernel::error_kind::Corrupt);
        fs::rename(away, path);
    }
}

TEST_F(store_replica, compactionKeepsTheHardStateAndEntriesAfterTheSnapshot)
{
    ASSERT_TRUE(open());
    write(hard_state{5, member_id{"b", 2}}, {entry(1, 1), entry(2, 1), entry(3, 1)});
    save(3, 1);
    compact(3);
    write(std::nullopt, {entry(4, 5)});
    save(4, 5);
    compact(4);
    write(std::nullopt, {entry(5, 5)});
    EXPECT_FALSE(fs::exists(segment(1)));
    ASSERT_TRUE(open()) << m_problem.message;
    EXPECT_EQ(m_recovery.state.hardState, (hard_state{5, member_id{"b", 2}}));
    EXPECT_EQ(m_recovery.state.snapshot->index, 4U);
    EXPECT_EQ(m_recovery.state.entries, std::vector{entry(5, 5)});
}

/// 522bba6 does not say from which segment on the log is kept.
TEST_F(store_replica, readsTheManifestOfAFormerBuild)
{
    ASSERT_TRUE(open());
    write(hard_state{1, std::nullopt}, {entry(1, 1)});
    m_store.reset();
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(former::fb::CreateStoredManifest(builder, 77, 1));
    const std::string record(reinterpret_cast<const char *>(builder.GetBufferPointer()),
                             builder.GetSize());
    std::ofstream(m_folder / "manifest", std::ios::binary) << frameRecord(0, record);
    ASSERT_TRUE(open()) << m_problem.message;
    EXPECT_EQ(m_recovery.incarnation, 77U);
    EXPECT_EQ(m_recovery.state.entries, std::vector{entry(1, 1)});
    save(1, 1);
    compact(2);
    ASSERT_TRUE(open()) << m_problem.message;
    EXPECT_EQ(m_recovery.state.snapshot->index, 1U);
}

TEST_F(store_replica, aFormerBuildReadsTheManifestOfThisOne)
{
    ASSERT_TRUE(open());
    write(hard_state{1, std::nullopt}, {entry(1, 1)});
    save(1, 1);
    compact(2);
    std::ifstream stream(m_folder / "manifest", std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(stream),
                            std::istreambuf_iterator<char>()};
    const frame_scan scan = scanFrames(bytes, 0);
    ASSERT_EQ(scan.records.size(), 1U);
    const std::string_view record = scan.records.front();
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(record.data()),
                                   record.size());
    ASSERT_TRUE(verifier.VerifyBuffer<former::fb::StoredManifest>(nullptr));
    const auto *manifest = flatbuffers::GetRoot<former::fb::StoredManifest>(record.data());
    EXPECT_EQ(manifest->incarnation(), 77U);
    EXPECT_EQ(manifest->newest_segment(), 2U);
}

TEST_F(store_replica, beginsAnewOnceADamagedLogIsSetAside)
{
    ASSERT_TRUE(open());
    write(hard_state{1, std::nullopt}, {entry(1, 1)});
    EXPECT_FALSE(m_recovery.formerLog);
    ASSERT_TRUE(open());
    m_store.reset();
    flipByte(segment(1), 2);
    ASSERT_FALSE(open());
    ASSERT_TRUE(kernel::succeeded([&] { return replica_store::setAside(m_folder); }, m_problem));
    ASSERT_TRUE(open()) << m_problem.message;
    EXPECT_TRUE(m_recovery.created);
    EXPECT_TRUE(m_recovery.formerLog);
    EXPECT_TRUE(m_recovery.state.entries.empty());
    EXPECT_TRUE(fs::exists(m_folder / ("damaged-" + segment(1).filename().string())));
    ASSERT_TRUE(open());
    EXPECT_TRUE(m_recovery.formerLog);
}

TEST_F(store_replica, refusesALogWhoseOldestSegmentIsMissing)
{
    ASSERT_TRUE(open());
    write(hard_state{1, std::nullopt}, {entry(1, 1)});
    ASSERT_TRUE(open());
    m_store.reset();
    fs::remove(segment(1));
    EXPECT_FALSE(open());
    EXPECT_EQ(m_problem.kind, kernel::error_kind::Corrupt);
}

/// 5080f23 went on like this when it was stopped between a leader's snapshot and the reset.
TEST_F(store_replica, readsALogOfAFormerBuildThatHasAGapBelowItsSnapshot)
{
    ASSERT_TRUE(open());
    write(hard_state{1, std::nullopt}, {entry(1, 1), entry(2, 1)});
    save(9, 2);
    write(hard_state{3, std::nullopt}, {entry(10, 3)});
    ASSERT_TRUE(open()) << m_problem.message;
    EXPECT_EQ(m_recovery.state.snapshot->index, 9U);
    EXPECT_EQ(m_recovery.state.entries, std::vector{entry(10, 3)});
    write(std::nullopt, {entry(11, 3)});
    ASSERT_TRUE(open()) << m_problem.message;
    EXPECT_EQ(m_recovery.state.entries, (std::vector{entry(10, 3), entry(11, 3)}));
}

TEST_F(store_replica, refusesAGapAboveItsSnapshot)
{
    ASSERT_TRUE(open());
    write(hard_state{1, std::nullopt}, {entry(1, 1), entry(2, 1)});
    save(9, 2);
    write(hard_state{3, std::nullopt}, {entry(11, 3)});
    EXPECT_FALSE(open());
    EXPECT_EQ(m_problem.kind, kernel::error_kind::Corrupt);
}

TEST_F(store_replica, aLogThatDiffersFromTheSnapshotIsDropped)
{
    ASSERT_TRUE(open());
    write(hard_state{1, std::nullopt}, {entry(1, 1), entry(2, 1), entry(3, 1)});
    save(2, 4); // from another leader; a crash came before the log was reset
    ASSERT_TRUE(open());
    EXPECT_TRUE(m_recovery.state.entries.empty());
}

TEST_F(store_replica, refusesAFolderThatIsOpenAlready)
{
    ASSERT_TRUE(open());
    const bool second
            = kernel::succeeded([&] { return replica_store::open(m_folder, 1); }, m_problem);
    EXPECT_FALSE(second);
    EXPECT_EQ(m_problem.kind, kernel::error_kind::Conflict);
}

} // namespace yuccascale::store

#pragma once

#include "yuccascale/kernel/consensus/types.hpp"
#include "yuccascale/store/disk.hpp"

#include <deque>
#include <filesystem>
#include <memory>
#include <optional>
#include <span>

/// \file
/// \brief The durable state of one replica: log segments, hard state, snapshots and incarnation.

namespace yuccascale::store {

/// \brief A batch that is written durably as a whole.
struct replica_write
{
    std::optional<kernel::consensus::hard_state> hardState;
    /// The log is discarded and restarts after this index
    std::optional<kernel::consensus::log_index> resetTo;
    std::span<const kernel::consensus::log_entry> entries; ///< replace the tail from their index on
};

/// \brief State that open() recovered.
struct recovery
{
    kernel::consensus::durable_state state;
    std::uint64_t incarnation = 0;
    bool created = false;   ///< the folder was empty
    bool tornTail = false;  ///< an incomplete last write was dropped
    bool formerLog = false; ///< the folder holds files of a log that was set aside
};

/// \brief Keeps a replica's state in one folder. Not thread-safe.
///
/// A write that was interrupted by a crash is dropped when the folder is opened; it had not been
/// acknowledged. What is recovered instead is durable before open() returns, whoever wrote it. Any
/// other damage makes open() fail.
class replica_store
{
public:
    /// \param newIncarnation of the replica, used when the folder is empty
    /// \param on must outlive the store
    /// \returns error_kind::Corrupt when durable data is damaged or missing, error_kind::Conflict
    ///          when another process uses the folder, error_kind::Unavailable when the disk fails.
    [[nodiscard]] static kernel::result<std::unique_ptr<replica_store>>
    open(const std::filesystem::path &folder, std::uint64_t newIncarnation,
         disk &on = systemDisk());

    /// \brief Renames the files of a log that cannot be read, so that open() begins an empty one
    /// under a new
    ///        incarnation. Those of a log that was set aside before are removed.
    [[nodiscard]] static kernel::result<void> setAside(const std::filesystem::path &folder,
                                                       disk &on = systemDisk());

    /// \returns the state that open() recovered; empty when it was taken before.
    [[nodiscard]] recovery takeRecovery() { return std::move(m_recovery); }

    /// \brief Writes \a batch and waits until it is on the disk, with one sync for the whole batch.
    /// \returns error_kind::Unavailable when that fails; all later writes then fail too.
    [[nodiscard]] kernel::result<void> write(const replica_write &batch);

    /// \brief Saves a snapshot durably in place of the former one.
    [[nodiscard]] kernel::result<void>
    saveSnapshot(const kernel::consensus::snapshot_data &snapshot);

    /// \brief Removes log segments that hold only entries before \a keepFrom.
    [[nodiscard]] kernel::result<void> compact(kernel::consensus::log_index keepFrom);

private:
    struct segment
    {
        std::uint64_t number = 0;
        kernel::consensus::log_index lastIndex = 0; ///< largest log index in the segment
        bool holdsLog = false; ///< entries or a reset; false: no more than a hard state
    };

    replica_store(std::filesystem::path folder, disk &on)
        : m_disk(on)
        , m_folder(std::move(folder))
    { }

    [[nodiscard]] kernel::result<void> create(std::uint64_t incarnation);
    [[nodiscard]] kernel::result<void> recover();
    void removeUnfinished(std::span<const std::string> names);
    [[nodiscard]] std::vector<std::uint64_t> withoutRemoved(std::vector<std::uint64_t> numbers);
    [[nodiscard]] kernel::result<std::uint64_t> readManifest();
    [[nodiscard]] kernel::result<void> writeManifest(std::uint64_t newestSegment);
    [[nodiscard]] kernel::result<void> readSnapshot(std::span<const std::uint64_t> numbers);
    [[nodiscard]] kernel::result<void> readSegment(std::uint64_t number, bool newest);
    [[nodiscard]] kernel::result<void> makeDurable(const std::filesystem::path &path,
                                                   std::string_view complete, bool newest);
    [[nodiscard]] kernel::result<void> replay(std::string_view record,
                                              const std::filesystem::path &path);
    [[nodiscard]] kernel::result<std::optional<kernel::consensus::log_index>>
    reconcileLogWithSnapshot();
    [[nodiscard]] kernel::result<void>
    beginWriting(std::uint64_t namedSegment, std::optional<kernel::consensus::log_index> resetTo);
    [[nodiscard]] kernel::result<void>
    startSegment(std::uint64_t number,
                 std::optional<kernel::consensus::log_index> resetTo = std::nullopt);
    [[nodiscard]] kernel::result<void> append(std::string_view record);
    template<typename Work>
    [[nodiscard]] kernel::result<void> unlessFailed(Work &&work);
    [[nodiscard]] kernel::result<void> removeSegmentsBefore(kernel::consensus::log_index keepFrom);
    [[nodiscard]] std::filesystem::path segmentPath(std::uint64_t number) const;

    disk &m_disk;
    std::filesystem::path m_folder;
    std::unique_ptr<folder_lock> m_lock;
    std::unique_ptr<disk_file> m_currentSegment;
    std::uint64_t m_currentSegmentBytes = 0;
    std::uint64_t m_nextSequence = 0;
    std::deque<segment> m_segments; ///< the last one is being written
    kernel::consensus::hard_state m_hardState;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_oldestSegment = 0; ///< earlier ones may be removed; 0: none was
    recovery m_recovery;
    bool m_failed = false;
};

} // namespace yuccascale::store

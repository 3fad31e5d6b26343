#pragma once

#include "yuccascale/store/disk.hpp"

#include <cstdint>
#include <exception>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief A disk in memory that can lose what was not synced.

namespace yuccascale::fakes {

/// \brief Thrown by the call in which the process is killed.
struct process_killed : std::exception
{
    [[nodiscard]] const char *what() const noexcept override { return "process killed"; }
};

/// \brief What a full disk refuses.
enum class full_disk {
    Writes,         ///< appended bytes that do not fit; a part of them may be written
    WritesAndNames, ///< and new files and renames
    Syncs           ///< accepts bytes and refuses them at the sync, as with delayed allocation
};

/// \brief Keeps files as a disk behind a cache does: a killed process loses nothing, a loss of
/// power what was not synced.
///
/// Of each write since the last sync, a loss of power keeps all, a part or nothing; of each name
/// that was created, renamed or removed since the last sync of its folder, it keeps the change or
/// not.
class volatile_disk final : public store::disk
{
public:
    /// \param seed of what losses of power keep
    explicit volatile_disk(std::uint64_t seed)
        : m_random(seed)
    { }

    /// \brief Kills the process in the call after \a calls more that change something; it may have
    /// done its work by then or not.
    void killAfter(std::uint64_t calls) noexcept { m_callsLeft = calls; }

    /// \brief Cancels killAfter() and begins the life of another process.
    void letLive() noexcept
    {
        m_callsLeft = never;
        m_killed = false;
    }

    /// \returns whether the process was killed since the last letLive().
    [[nodiscard]] bool killed() const noexcept { return m_killed; }

    /// \brief The next \a syncs of files fail. What they covered stays readable, and is lost with
    /// the power even if a later sync succeeds.
    void failSyncs(int syncs) noexcept { m_failingSyncs = syncs; }

    /// \brief The disk is full after \a calls more that change something, until makeRoom().
    /// \param room bytes that still fit; removed files give theirs back
    void fillAfter(std::uint64_t calls, full_disk kind, std::uint64_t room = 0) noexcept
    {
        m_callsUntilFull = calls;
        m_full = kind;
        m_room = room;
    }

    /// \brief Ends fillAfter().
    void makeRoom() noexcept { m_callsUntilFull = never; }

    /// \returns whether the disk is full since the last makeRoom().
    [[nodiscard]] bool full() const noexcept { return m_callsUntilFull == 0; }

    /// \returns the number of files in all folders.
    [[nodiscard]] std::size_t fileCount() const noexcept { return m_names.size(); }

    /// \brief Forgets what was not durable. All files must be closed.
    void losePower();

    [[nodiscard]] kernel::result<void> createFolder(const std::filesystem::path &folder) override;
    [[nodiscard]] kernel::result<std::vector<std::string>>
    list(const std::filesystem::path &folder) const override;
    [[nodiscard]] bool exists(const std::filesystem::path &path) const override;
    [[nodiscard]] std::uint64_t size(const std::filesystem::path &path) const override;
    [[nodiscard]] kernel::result<std::string>
    read(const std::filesystem::path &path) const override;
    [[nodiscard]] kernel::result<std::unique_ptr<store::disk_file>>
    openForAppend(const std::filesystem::path &path) override;
    [[nodiscard]] kernel::result<std::unique_ptr<store::disk_file>>
    create(const std::filesystem::path &path) override;
    [[nodiscard]] kernel::result<void> rename(const std::filesystem::path &from,
                                              const std::filesystem::path &to) override;
    void remove(const std::filesystem::path &path) override;
    [[nodiscard]] kernel::result<void> syncFolder(const std::filesystem::path &folder) override;
    [[nodiscard]] kernel::result<std::unique_ptr<store::folder_lock>>
    lock(const std::filesystem::path &folder) override;

private:
    friend class volatile_file;

    struct contents
    {
        std::string visible;               ///< what readers see
        std::string durable;               ///< as of the last sync
        std::vector<std::string> unsynced; ///< writes since then, in order
        bool syncable = true; ///< false: a sync failed, later ones cover nothing before it
    };
    using contents_pointer = std::shared_ptr<contents>;

    /// A change of a name since the last sync of its folder.
    struct name_change
    {
        std::string removed; ///< may be empty
        std::string added;   ///< may be empty
        contents_pointer file;
    };

    static constexpr std::uint64_t never = UINT64_MAX;

    [[nodiscard]] std::uint64_t below(std::uint64_t bound) noexcept;

    /// Throws process_killed once the calls of killAfter() are used up.
    /// \returns true when the process dies after the work of this call.
    [[nodiscard]] bool dies();

    /// Counts a call that changes something towards fillAfter().
    /// \returns whether the disk is full.
    bool countTowardsFull() noexcept;
    [[nodiscard]] bool refusesNames() noexcept;
    void giveBack(const std::string &name);
    [[nodiscard]] kernel::result<void> append(contents &file, std::string_view bytes);
    [[nodiscard]] kernel::result<void> sync(const contents_pointer &file);
    void loseUnsynced(contents &file, bool everything);

    std::uint64_t m_random;
    std::uint64_t m_callsLeft = never;
    bool m_killed = false;
    int m_failingSyncs = 0;
    std::uint64_t m_callsUntilFull = never;
    full_disk m_full = full_disk::Writes;
    std::uint64_t m_room = 0; ///< bytes that fit on the full disk
    std::map<std::string, contents_pointer> m_names;
    std::map<std::string, contents_pointer> m_durableNames;
    std::vector<name_change> m_nameChanges;
    std::map<std::string, bool> m_locks;
};

} // namespace yuccascale::fakes

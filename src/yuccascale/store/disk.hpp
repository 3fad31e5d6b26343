#pragma once

#include "yuccascale/kernel/error.hpp"

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief The disk of a store: files, their names, and when both survive a loss of power.

namespace yuccascale::store {

/// \brief A file that is open for appending.
class disk_file
{
public:
    disk_file() = default;
    virtual ~disk_file() = default;
    disk_file(const disk_file &) = delete;
    disk_file &operator=(const disk_file &) = delete;

    /// \brief Appends \a bytes, which other readers of the file see at once.
    /// \returns error_kind::Unavailable; how much was appended is then unknown.
    [[nodiscard]] virtual kernel::result<void> append(std::string_view bytes) = 0;

    /// \brief Waits until all of the file is durable, and its name if the file is new.
    /// \returns error_kind::Unavailable; what is durable is then unknown.
    [[nodiscard]] virtual kernel::result<void> sync() = 0;
};

/// \brief Holds the lock of a folder until it is destroyed.
class folder_lock
{
public:
    folder_lock() = default;
    virtual ~folder_lock() = default;
    folder_lock(const folder_lock &) = delete;
    folder_lock &operator=(const folder_lock &) = delete;
};

/// \brief Files in folders. Errors are error_kind::Unavailable and name the path and the remedy.
///
/// A change survives the end of the process once its call has returned, and a loss of power only
/// after a sync: contents by the file's sync(), renamed and removed names by syncFolder().
class disk
{
public:
    disk() = default;
    virtual ~disk() = default;
    disk(const disk &) = delete;
    disk &operator=(const disk &) = delete;

    /// \brief Creates the folder and its parents if they are missing.
    [[nodiscard]] virtual kernel::result<void> createFolder(const std::filesystem::path &folder)
            = 0;

    /// \returns the names of the files in \a folder, in any order.
    [[nodiscard]] virtual kernel::result<std::vector<std::string>>
    list(const std::filesystem::path &folder) const = 0;

    [[nodiscard]] virtual bool exists(const std::filesystem::path &path) const = 0;

    /// \returns the size in bytes; 0 when there is no such file.
    [[nodiscard]] virtual std::uint64_t size(const std::filesystem::path &path) const = 0;

    [[nodiscard]] virtual kernel::result<std::string>
    read(const std::filesystem::path &path) const = 0;

    /// \brief Opens a file for appending and creates it if it is missing.
    [[nodiscard]] virtual kernel::result<std::unique_ptr<disk_file>>
    openForAppend(const std::filesystem::path &path) = 0;

    /// \brief Opens an empty file in place of the one at \a path, if there is one.
    [[nodiscard]] virtual kernel::result<std::unique_ptr<disk_file>>
    create(const std::filesystem::path &path) = 0;

    /// \brief Renames a file, in place of the one at \a to if there is one.
    [[nodiscard]] virtual kernel::result<void> rename(const std::filesystem::path &from,
                                                      const std::filesystem::path &to)
            = 0;

    /// \brief Removes a file; nothing happens when there is none.
    virtual void remove(const std::filesystem::path &path) = 0;

    /// \brief Waits until names created, renamed or removed in \a folder are durable.
    [[nodiscard]] virtual kernel::result<void> syncFolder(const std::filesystem::path &folder) = 0;

    /// \brief Locks the folder for this process.
    /// \returns error_kind::Conflict when another process holds the lock.
    [[nodiscard]] virtual kernel::result<std::unique_ptr<folder_lock>>
    lock(const std::filesystem::path &folder) = 0;
};

/// \brief Suffix of the files that replaceFile() has not renamed yet.
inline constexpr std::string_view unfinishedSuffix = ".tmp";

/// \brief Appends \a bytes and waits until they are durable.
[[nodiscard]] kernel::result<void> appendDurably(disk_file &file, std::string_view bytes);

/// \brief Replaces a file atomically and durably: a new file is written, synced and renamed. When
/// that fails, what was written is removed, so that it takes no room on a full disk.
[[nodiscard]] kernel::result<void> replaceFile(disk &on, const std::filesystem::path &path,
                                               std::string_view bytes);

/// \returns the disk of this VM.
[[nodiscard]] disk &systemDisk();

} // namespace yuccascale::store

#pragma once

#include "yuccascale/kernel/error.hpp"

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <utility>

/// \file
/// \brief Files whose contents and names survive a crash once a call has returned.

namespace yuccascale::store {

/// \brief Owns a file descriptor.
class file
{
public:
    file() noexcept = default;
    explicit file(int descriptor) noexcept
        : m_descriptor(descriptor)
    { }
    ~file() { close(); }
    file(file &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    { }
    file &operator=(file &&other) noexcept;
    file(const file &) = delete;
    file &operator=(const file &) = delete;

    /// \brief Opens a file for appending and creates it if it is missing.
    /// \returns error_kind::Unavailable naming the path and the remedy.
    [[nodiscard]] static kernel::result<file> openForAppend(const std::filesystem::path &path);

    [[nodiscard]] int descriptor() const noexcept { return m_descriptor; }

    /// \brief Writes all of \a bytes and waits until they are on the disk.
    /// \returns error_kind::Unavailable; what is on the disk is then unknown.
    [[nodiscard]] kernel::result<void> writeDurably(std::string_view bytes) const;

    /// \brief Truncates the file to \a size bytes and waits until that is on the disk.
    [[nodiscard]] kernel::result<void> truncateDurably(std::uint64_t size) const;

    void close() noexcept;

private:
    int m_descriptor = -1;
};

/// \brief Waits until names created, renamed or removed in \a folder are on the disk.
[[nodiscard]] kernel::result<void> syncFolder(const std::filesystem::path &folder);

/// \brief Replaces a file atomically and durably: a temporary file is written, synced and renamed.
[[nodiscard]] kernel::result<void> replaceFile(const std::filesystem::path &path,
                                               std::string_view bytes);

/// \returns the bytes of a file, or error_kind::Unavailable.
[[nodiscard]] kernel::result<std::string> readFile(const std::filesystem::path &path);

/// \brief Locks the folder for this process until the returned file is closed.
/// \returns error_kind::Conflict when another process holds it.
[[nodiscard]] kernel::result<file> lockFolder(const std::filesystem::path &folder);

/// \brief Suffix of temporary files that replaceFile() has not renamed yet.
inline constexpr std::string_view unfinishedSuffix = ".tmp";

} // namespace yuccascale::store

#include "yuccascale/store/disk.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

/// \file
/// \brief The disk of this VM, through the system's calls.

namespace yuccascale::store {

using kernel::error_kind;
using kernel::fail;
using kernel::result;
namespace fs = std::filesystem;

namespace {

constexpr int ownerReadsAndWrites = 0600;

boost::leaf::error_id unavailable(const fs::path &path, const std::string &problem)
{
    return fail(error_kind::Unavailable, path.string(),
                problem + "; check that the data folder's disk is mounted, writable and not full");
}

boost::leaf::error_id failWithErrno(const fs::path &path)
{
    return unavailable(path, std::generic_category().message(errno));
}

/// Owns a file descriptor; negative when the file could not be opened.
class descriptor
{
public:
    descriptor(const fs::path &path, int flags) noexcept
        : m_number(::open(path.c_str(), flags | O_CLOEXEC, ownerReadsAndWrites))
    { }
    ~descriptor()
    {
        if (m_number >= 0)
            ::close(m_number);
    }
    descriptor(descriptor &&other) noexcept
        : m_number(std::exchange(other.m_number, -1))
    { }
    descriptor(const descriptor &) = delete;
    descriptor &operator=(const descriptor &) = delete;
    descriptor &operator=(descriptor &&) = delete;

    [[nodiscard]] bool isOpen() const noexcept { return m_number >= 0; }
    [[nodiscard]] int number() const noexcept { return m_number; }

private:
    int m_number;
};

class system_file final : public disk_file
{
public:
    system_file(fs::path path, descriptor opened)
        : m_path(std::move(path))
        , m_descriptor(std::move(opened))
    { }

    [[nodiscard]] result<void> append(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const ssize_t written = ::write(m_descriptor.number(), bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written < 0)
                return failWithErrno(m_path);
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return {};
    }

    [[nodiscard]] result<void> sync() override
    {
        if (::fdatasync(m_descriptor.number()) != 0)
            return failWithErrno(m_path);
        return {};
    }

private:
    fs::path m_path;
    descriptor m_descriptor;
};

class system_lock final : public folder_lock
{
public:
    explicit system_lock(descriptor held)
        : m_held(std::move(held))
    { }

private:
    descriptor m_held;
};

[[nodiscard]] result<std::unique_ptr<disk_file>> openFile(const fs::path &path, int flags)
{
    descriptor opened(path, O_WRONLY | O_CREAT | O_APPEND | flags);
    if (!opened.isOpen())
        return failWithErrno(path);
    return std::make_unique<system_file>(path, std::move(opened));
}

class system_disk final : public disk
{
public:
    [[nodiscard]] result<void> createFolder(const fs::path &folder) override
    {
        std::error_code problem;
        fs::create_directories(folder, problem);
        if (problem)
            return unavailable(folder, problem.message());
        return {};
    }

    [[nodiscard]] result<std::vector<std::string>> list(const fs::path &folder) const override
    {
        std::vector<std::string> names;
        std::error_code problem;
        fs::directory_iterator entry(folder, problem);
        for (; !problem && entry != fs::directory_iterator(); entry.increment(problem))
            names.push_back(entry->path().filename().string());
        if (problem)
            return unavailable(folder, problem.message());
        return names;
    }

    [[nodiscard]] bool exists(const fs::path &path) const override
    {
        std::error_code problem;
        return fs::exists(path, problem);
    }

    [[nodiscard]] std::uint64_t size(const fs::path &path) const override
    {
        std::error_code problem;
        const std::uintmax_t bytes = fs::file_size(path, problem);
        return problem ? 0 : bytes;
    }

    [[nodiscard]] result<std::string> read(const fs::path &path) const override
    {
        std::ifstream stream(path, std::ios::binary);
        if (!stream)
            return failWithErrno(path);
        std::string bytes{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
        if (stream.bad())
            return failWithErrno(path);
        return bytes;
    }

    [[nodiscard]] result<std::unique_ptr<disk_file>> openForAppend(const fs::path &path) override
    {
        return openFile(path, 0);
    }

    [[nodiscard]] result<std::unique_ptr<disk_file>> create(const fs::path &path) override
    {
        return openFile(path, O_TRUNC);
    }

    [[nodiscard]] result<void> rename(const fs::path &from, const fs::path &to) override
    {
        if (::rename(from.c_str(), to.c_str()) != 0)
            return failWithErrno(from);
        return {};
    }

    void remove(const fs::path &path) override
    {
        std::error_code ignored;
        fs::remove(path, ignored);
    }

    [[nodiscard]] result<void> syncFolder(const fs::path &folder) override
    {
        const descriptor opened(folder, O_RDONLY | O_DIRECTORY);
        if (!opened.isOpen() || ::fsync(opened.number()) != 0)
            return failWithErrno(folder);
        return {};
    }

    [[nodiscard]] result<std::unique_ptr<folder_lock>> lock(const fs::path &folder) override
    {
        descriptor opened(folder / "lock", O_WRONLY | O_CREAT | O_APPEND);
        if (!opened.isOpen())
            return failWithErrno(folder);
        if (::flock(opened.number(), LOCK_EX | LOCK_NB) != 0) {
            return fail(error_kind::Conflict, folder.string(),
                        "another process uses this data folder; stop it first");
        }
        return std::make_unique<system_lock>(std::move(opened));
    }
};

} // namespace

disk &systemDisk()
{
    static system_disk instance;
    return instance;
}

} // namespace yuccascale::store

#include "yuccascale/store/files.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <iterator>
#include <system_error>

namespace yuccascale::store {

using kernel::error_kind;
using kernel::fail;
using kernel::result;

namespace {

constexpr int ownerReadsAndWrites = 0600;

boost::leaf::error_id failWithErrno(const std::string &where)
{
    return fail(error_kind::Unavailable, where,
                std::generic_category().message(errno)
                        + "; check that the data folder's disk is mounted, writable and not full");
}

result<void> writeAll(int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(descriptor, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            return failWithErrno("write");
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
}

} // namespace

file &file::operator=(file &&other) noexcept
{
    if (this != &other) {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
    }
    return *this;
}

void file::close() noexcept
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

result<file> file::openForAppend(const std::filesystem::path &path)
{
    file opened(
            ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, ownerReadsAndWrites));
    if (opened.descriptor() < 0)
        return failWithErrno(path.string());
    return opened;
}

result<void> file::writeDurably(std::string_view bytes) const
{
    BOOST_LEAF_CHECK(writeAll(m_descriptor, bytes));
    if (::fdatasync(m_descriptor) != 0)
        return failWithErrno("fdatasync");
    return {};
}

result<void> file::truncateDurably(std::uint64_t size) const
{
    if (::ftruncate(m_descriptor, static_cast<off_t>(size)) != 0 || ::fsync(m_descriptor) != 0)
        return failWithErrno("ftruncate");
    return {};
}

result<void> syncFolder(const std::filesystem::path &folder)
{
    const file opened(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (opened.descriptor() < 0 || ::fsync(opened.descriptor()) != 0)
        return failWithErrno(folder.string());
    return {};
}

result<void> replaceFile(const std::filesystem::path &path, std::string_view bytes)
{
    const std::string unfinished = path.string() + std::string(unfinishedSuffix);
    {
        const file written(::open(unfinished.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                                  ownerReadsAndWrites));
        if (written.descriptor() < 0)
            return failWithErrno(unfinished);
        BOOST_LEAF_CHECK(written.writeDurably(bytes));
    }
    if (::rename(unfinished.c_str(), path.c_str()) != 0)
        return failWithErrno(path.string());
    return syncFolder(path.parent_path());
}

result<std::string> readFile(const std::filesystem::path &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return failWithErrno(path.string());
    std::string bytes{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    if (stream.bad())
        return failWithErrno(path.string());
    return bytes;
}

result<file> lockFolder(const std::filesystem::path &folder)
{
    BOOST_LEAF_AUTO(lock, file::openForAppend(folder / "lock"));
    if (::flock(lock.descriptor(), LOCK_EX | LOCK_NB) != 0) {
        return fail(error_kind::Conflict, folder.string(),
                    "another process uses this data folder; stop it first");
    }
    return lock;
}

} // namespace yuccascale::store

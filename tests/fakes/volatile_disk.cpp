#include "fakes/volatile_disk.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::fakes {

using kernel::error_kind;
using kernel::fail;
using kernel::result;
namespace fs = std::filesystem;

class volatile_file final : public store::disk_file
{
public:
    volatile_file(volatile_disk &on, std::shared_ptr<volatile_disk::contents> file)
        : m_disk(on)
        , m_file(std::move(file))
    { }

    [[nodiscard]] result<void> append(std::string_view bytes) override
    {
        return m_disk.append(*m_file, bytes);
    }

    [[nodiscard]] result<void> sync() override { return m_disk.sync(m_file); }

private:
    volatile_disk &m_disk;
    std::shared_ptr<volatile_disk::contents> m_file;
};

namespace {

boost::leaf::error_id noSpace(const std::string &where)
{
    return fail(error_kind::Unavailable, where, "no space left");
}

class volatile_lock final : public store::folder_lock
{
public:
    explicit volatile_lock(bool &held)
        : m_held(held)
    {
        m_held = true;
    }
    ~volatile_lock() override { m_held = false; }

private:
    bool &m_held;
};

} // namespace

/// One step of the splitmix64 generator.
std::uint64_t volatile_disk::below(std::uint64_t bound) noexcept
{
    m_random += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = m_random;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return (mixed ^ (mixed >> 31U)) % bound;
}

bool volatile_disk::dies()
{
    if (m_callsLeft == never)
        return false;
    if (m_callsLeft > 0) {
        --m_callsLeft;
        return false;
    }
    m_callsLeft = never;
    m_killed = true;
    if (below(2) == 0)
        throw process_killed();
    return true;
}

bool volatile_disk::countTowardsFull() noexcept
{
    if (m_callsUntilFull != never && m_callsUntilFull > 0)
        --m_callsUntilFull;
    return full();
}

bool volatile_disk::refusesNames() noexcept
{
    return countTowardsFull() && m_full == full_disk::WritesAndNames;
}

/// The file of that name is about to lose it.
void volatile_disk::giveBack(const std::string &name)
{
    const auto found = m_names.find(name);
    if (found != m_names.end())
        m_room += found->second->visible.size();
}

result<void> volatile_disk::append(contents &file, std::string_view bytes)
{
    const bool dying = dies();
    const bool limited = countTowardsFull() && m_full != full_disk::Syncs;
    const std::string_view fitting = limited ? bytes.substr(0, m_room) : bytes;
    if (limited)
        m_room -= fitting.size();
    if (!fitting.empty()) {
        file.visible += fitting;
        file.unsynced.emplace_back(fitting);
    }
    if (dying)
        throw process_killed();
    if (fitting.size() < bytes.size())
        return noSpace("append");
    return {};
}

result<void> volatile_disk::sync(const contents_pointer &file)
{
    const bool dying = dies();
    if (m_failingSyncs > 0) {
        --m_failingSyncs;
        file->syncable = false;
        return fail(error_kind::Unavailable, "sync", "the disk failed");
    }
    if (countTowardsFull() && m_full == full_disk::Syncs && !file->unsynced.empty()) {
        file->syncable = false;
        if (dying)
            throw process_killed();
        return noSpace("sync");
    }
    if (file->syncable) {
        file->durable = file->visible;
        file->unsynced.clear();
    }
    for (name_change &change : m_nameChanges) {
        if (change.file == file && change.removed.empty() && m_names.contains(change.added)
            && m_names.at(change.added) == file)
            m_durableNames[change.added] = file;
    }
    std::erase_if(m_nameChanges, [&](const name_change &change) {
        return change.file == file && change.removed.empty();
    });
    if (dying)
        throw process_killed();
    return {};
}

void volatile_disk::loseUnsynced(contents &file, bool everything)
{
    std::string kept = file.durable;
    std::size_t end = kept.size();
    for (const std::string &write : std::exchange(file.unsynced, {})) {
        const std::size_t begin = end;
        end += write.size();
        const std::uint64_t fate = everything ? 0 : below(3);
        const std::size_t length = fate == 0 ? 0
                : fate == 1                  ? below(write.size() + 1)
                                             : write.size();
        if (length == 0)
            continue;
        kept.resize(std::max(kept.size(), begin), '\0');
        kept.replace(begin, length, write.substr(0, length));
    }
    file.visible = file.durable = kept;
    file.syncable = true;
}

void volatile_disk::losePower()
{
    const bool everything = below(3) == 0;
    for (const name_change &change : std::exchange(m_nameChanges, {})) {
        if (everything || below(2) == 0)
            continue;
        m_durableNames.erase(change.removed);
        if (!change.added.empty())
            m_durableNames[change.added] = change.file;
    }
    m_names = m_durableNames;
    std::vector<contents *> done;
    for (const auto &[name, file] : m_names) {
        if (std::ranges::find(done, file.get()) != done.end())
            continue;
        loseUnsynced(*file, everything);
        done.push_back(file.get());
    }
}

result<void> volatile_disk::createFolder(const fs::path &)
{
    return {};
}

result<std::vector<std::string>> volatile_disk::list(const fs::path &folder) const
{
    std::vector<std::string> names;
    for (const auto &[name, file] : m_names) {
        if (fs::path(name).parent_path() == folder)
            names.push_back(fs::path(name).filename().string());
    }
    return names;
}

bool volatile_disk::exists(const fs::path &path) const
{
    return m_names.contains(path.string());
}

std::uint64_t volatile_disk::size(const fs::path &path) const
{
    const auto found = m_names.find(path.string());
    return found == m_names.end() ? 0 : found->second->visible.size();
}

result<std::string> volatile_disk::read(const fs::path &path) const
{
    const auto found = m_names.find(path.string());
    if (found == m_names.end())
        return fail(error_kind::Unavailable, path.string(), "no such file");
    return found->second->visible;
}

result<std::unique_ptr<store::disk_file>> volatile_disk::openForAppend(const fs::path &path)
{
    if (!exists(path))
        return create(path);
    return std::make_unique<volatile_file>(*this, m_names.at(path.string()));
}

result<std::unique_ptr<store::disk_file>> volatile_disk::create(const fs::path &path)
{
    const bool dying = dies();
    if (refusesNames()) {
        if (dying)
            throw process_killed();
        return noSpace(path.string());
    }
    giveBack(path.string());
    const auto file = std::make_shared<contents>();
    m_names[path.string()] = file;
    m_nameChanges.push_back({{}, path.string(), file});
    if (dying)
        throw process_killed();
    return std::make_unique<volatile_file>(*this, file);
}

result<void> volatile_disk::rename(const fs::path &from, const fs::path &to)
{
    const auto found = m_names.find(from.string());
    if (found == m_names.end())
        return fail(error_kind::Unavailable, from.string(), "no such file");
    const bool dying = dies();
    if (refusesNames()) {
        if (dying)
            throw process_killed();
        return noSpace(to.string());
    }
    giveBack(to.string());
    const contents_pointer file = found->second;
    m_names.erase(found);
    m_names[to.string()] = file;
    m_nameChanges.push_back({from.string(), to.string(), file});
    if (dying)
        throw process_killed();
    return {};
}

void volatile_disk::remove(const fs::path &path)
{
    const auto found = m_names.find(path.string());
    if (found == m_names.end())
        return;
    const bool dying = dies();
    countTowardsFull();
    giveBack(path.string());
    m_nameChanges.push_back({path.string(), {}, found->second});
    m_names.erase(found);
    if (dying)
        throw process_killed();
}

result<void> volatile_disk::syncFolder(const fs::path &)
{
    const bool dying = dies();
    m_durableNames = m_names;
    m_nameChanges.clear();
    if (dying)
        throw process_killed();
    return {};
}

result<std::unique_ptr<store::folder_lock>> volatile_disk::lock(const fs::path &folder)
{
    bool &held = m_locks[folder.string()];
    if (held)
        return fail(error_kind::Conflict, folder.string(), "locked");
    return std::make_unique<volatile_lock>(held);
}

} // namespace yuccascale::fakes

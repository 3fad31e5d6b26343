#include "yuccascale/store/disk.hpp"

namespace yuccascale::store {

using kernel::result;

result<void> appendDurably(disk_file &file, std::string_view bytes)
{
    BOOST_LEAF_CHECK(file.append(bytes));
    return file.sync();
}

result<void> replaceFile(disk &on, const std::filesystem::path &path, std::string_view bytes)
{
    const std::filesystem::path unfinished = path.string() + std::string(unfinishedSuffix);
    const auto replace = [&]() -> result<void> {
        BOOST_LEAF_AUTO(written, on.create(unfinished));
        BOOST_LEAF_CHECK(appendDurably(*written, bytes));
        BOOST_LEAF_CHECK(on.rename(unfinished, path));
        return on.syncFolder(path.parent_path());
    };
    result<void> replaced = replace();
    if (!replaced)
        on.remove(unfinished);
    return replaced;
}

} // namespace yuccascale::store

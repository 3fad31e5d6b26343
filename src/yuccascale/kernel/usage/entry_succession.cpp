#include "yuccascale/kernel/usage/entry_succession.hpp"

#include <algorithm>
#include <cstdlib>
#include <map>

namespace yuccascale::kernel::usage {

namespace {

std::string nodeOf(const std::string &entry)
{
    return entry.substr(0, entry.rfind('#'));
}

std::uint64_t incarnationOf(const std::string &entry)
{
    const auto separator = entry.rfind('#');
    return separator == std::string::npos
            ? 0
            : std::strtoull(entry.c_str() + separator + 1, nullptr, 10);
}

} // namespace

std::vector<std::string> replacedEntries(std::span<const std::string> liveEntries)
{
    std::map<std::string, std::uint64_t> newest;
    for (const std::string &entry : liveEntries) {
        std::uint64_t &incarnation = newest[nodeOf(entry)];
        incarnation = std::max(incarnation, incarnationOf(entry));
    }
    std::vector<std::string> replaced;
    for (const std::string &entry : liveEntries) {
        if (incarnationOf(entry) < newest[nodeOf(entry)])
            replaced.push_back(entry);
    }
    return replaced;
}

} // namespace yuccascale::kernel::usage

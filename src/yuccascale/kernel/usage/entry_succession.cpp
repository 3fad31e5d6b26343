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
    const auto mark = entry.rfind('#');
    return mark == std::string::npos ? 0 : std::strtoull(entry.c_str() + mark + 1, nullptr, 10);
}

} // namespace

std::vector<std::string> replacedEntries(std::span<const std::string> live)
{
    std::map<std::string, std::uint64_t> newest;
    for (const std::string &entry : live) {
        std::uint64_t &incarnation = newest[nodeOf(entry)];
        incarnation = std::max(incarnation, incarnationOf(entry));
    }
    std::vector<std::string> replaced;
    for (const std::string &entry : live) {
        if (incarnationOf(entry) < newest[nodeOf(entry)])
            replaced.push_back(entry);
    }
    return replaced;
}

} // namespace yuccascale::kernel::usage

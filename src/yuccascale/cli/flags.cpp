#include "yuccascale/cli/flags.hpp"

#include "yuccascale/kernel/text_distance.hpp"
#include "yuccascale/wire/socket.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <charconv>
#include <sstream>

DEFINE_string(address, "", "IP:port of one or more nodes, separated by commas");
DEFINE_string(operator_key_file, "", "file with the operator key, readable by its owner only");
DEFINE_string(output, "table", "json or table; 'events' also accepts markdown");
DEFINE_uint64(from_revision, 0, "revision that the edit is based on; 0: the revision in force");
DEFINE_uint64(revision, 0, "revision to wait for");
DEFINE_string(timeout, "10s", "how long to keep retrying, such as 500ms, 10s or 1m");

namespace yuccascale::cli {

using kernel::error_kind;
using kernel::fail;
using kernel::result;

namespace {

std::string flagName(std::string_view word)
{
    std::string name(word.substr(2, word.find('=') - 2));
    std::ranges::replace(name, '-', '_');
    return name;
}

/// Flags that libraries define are not accepted, except --help.
bool isOwnFlag(const gflags::CommandLineFlagInfo &info)
{
    return info.filename.find("yuccascale/cli") != std::string::npos || info.name == "help";
}

result<gflags::CommandLineFlagInfo> findFlag(std::string_view word)
{
    gflags::CommandLineFlagInfo info;
    const std::string name = flagName(word);
    if (gflags::GetCommandLineFlagInfo(name.c_str(), &info) && isOwnFlag(info))
        return info;
    std::vector<gflags::CommandLineFlagInfo> all;
    gflags::GetAllFlags(&all);
    std::vector<std::string> names;
    for (const auto &candidate : all) {
        if (isOwnFlag(candidate))
            names.push_back(candidate.name);
    }
    return fail(error_kind::InvalidArgument, "command line",
                "unknown flag '" + std::string(word) + "'; did you mean '--"
                        + kernel::nearestWord(name, names) + "'?");
}

} // namespace

result<std::vector<std::string>> parseFlags(const std::vector<std::string> &arguments)
{
    std::vector<std::string> words;
    for (std::size_t index = 0; index < arguments.size(); ++index) {
        const std::string &word = arguments[index];
        if (!word.starts_with("--")) {
            words.push_back(word);
            continue;
        }
        BOOST_LEAF_AUTO(flag, findFlag(word));
        std::string value = "true";
        if (const auto equals = word.find('='); equals != std::string::npos)
            value = word.substr(equals + 1);
        else if (flag.type != "bool")
            value = ++index < arguments.size() ? arguments[index] : "";
        if (gflags::SetCommandLineOption(flag.name.c_str(), value.c_str()).empty())
            return fail(error_kind::InvalidArgument, "command line",
                        "'" + value + "' is not valid for --" + flag.name + ", which takes a "
                                + flag.type + "; correct it");
    }
    return words;
}

result<std::vector<std::string>> addressesFromFlag()
{
    std::vector<std::string> out;
    std::istringstream list(FLAGS_address);
    std::string address;
    while (std::getline(list, address, ',')) {
        BOOST_LEAF_AUTO(parsed, wire::parseAddress(address));
        out.push_back(parsed.host + ":" + std::to_string(parsed.port));
    }
    if (out.empty())
        return fail(error_kind::InvalidArgument, "command line",
                    "no address; add --address=IP:port of a node");
    return out;
}

result<kernel::milliseconds> timeoutFromFlag()
{
    static const std::vector<std::pair<std::string_view, std::int64_t>> units{
            {"ms", 1}, {"s", 1'000}, {"m", 60'000}};
    std::int64_t number = 0;
    const char *const end = FLAGS_timeout.data() + FLAGS_timeout.size();
    const auto [stop, errorCode] = std::from_chars(FLAGS_timeout.data(), end, number);
    for (const auto &[unit, factor] : units) {
        if (errorCode == std::errc() && unit == std::string_view(stop, end))
            return kernel::milliseconds(number * factor);
    }
    return fail(error_kind::InvalidArgument, "command line",
                "--timeout=" + FLAGS_timeout + " has no known unit; write it as 500ms, 10s or 1m");
}

} // namespace yuccascale::cli

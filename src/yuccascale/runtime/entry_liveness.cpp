#include "yuccascale/runtime/entry_liveness.hpp"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace yuccascale::runtime {

namespace {

constexpr kernel::milliseconds silenceLimit{60'000};

bool isDead(std::string_view entry, std::span<const kernel::feed::node_report> reports,
            kernel::nanoseconds leadingFor)
{
    const std::size_t separator = entry.rfind('#');
    if (separator == std::string_view::npos)
        return false;
    std::uint64_t incarnation = 0;
    std::from_chars(entry.data() + separator + 1, entry.data() + entry.size(), incarnation);
    const auto report = std::ranges::find(reports, entry.substr(0, separator),
                                          &kernel::feed::node_report::node);
    if (report == reports.end())
        return leadingFor > silenceLimit;
    return report->incarnation > incarnation || report->ageMs > silenceLimit.count();
}

} // namespace

std::vector<std::string> deadEntries(std::span<const std::string> entries,
                                     std::span<const kernel::feed::node_report> reports,
                                     kernel::nanoseconds leadingFor)
{
    std::vector<std::string> dead;
    std::ranges::copy_if(entries, std::back_inserter(dead), [&](const std::string &entry) {
        return isDead(entry, reports, leadingFor);
    });
    return dead;
}

} // namespace yuccascale::runtime

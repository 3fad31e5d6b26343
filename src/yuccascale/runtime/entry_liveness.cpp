#include "yuccascale/runtime/entry_liveness.hpp"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace yuccascale::runtime {

namespace {

constexpr kernel::milliseconds silentWindow{60'000};

bool isGone(std::string_view entry, std::span<const kernel::feed::node_report> reports,
            kernel::nanoseconds listening)
{
    const std::size_t mark = entry.rfind('#');
    if (mark == std::string_view::npos)
        return false;
    std::uint64_t incarnation = 0;
    std::from_chars(entry.data() + mark + 1, entry.data() + entry.size(), incarnation);
    const auto report
            = std::ranges::find(reports, entry.substr(0, mark), &kernel::feed::node_report::node);
    if (report == reports.end())
        return listening > silentWindow;
    return report->incarnation > incarnation || report->ageMs > silentWindow.count();
}

} // namespace

std::vector<std::string> goneEntries(std::span<const std::string> entries,
                                     std::span<const kernel::feed::node_report> reports,
                                     kernel::nanoseconds listening)
{
    std::vector<std::string> gone;
    std::ranges::copy_if(entries, std::back_inserter(gone), [&](const std::string &entry) {
        return isGone(entry, reports, listening);
    });
    return gone;
}

} // namespace yuccascale::runtime

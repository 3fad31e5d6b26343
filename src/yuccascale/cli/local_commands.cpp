#include "yuccascale/cli/local_commands.hpp"

#include "yuccascale/cli/flags.hpp"
#include "yuccascale/cli/output.hpp"
#include "yuccascale/kernel/events.hpp"
#include "yuccascale/runtime/event_log.hpp"
#include "yuccascale/runtime/settings.hpp"

#include <array>
#include <iostream>

namespace yuccascale::cli {

using kernel::event_kind;
using kernel::json;
using kernel::result;

namespace {

constexpr std::string_view version = "0.1.0";

void printMarkdown()
{
    std::cout << "# Log events\n\nPrinted by `yuccascale events --output=markdown`.\n\n"
                 "| number | name | level | meaning |\n|---|---|---|---|\n";
    for (const event_kind *kind : event_kind::catalogue())
        std::cout << "| " << kind->number() << " | " << kind->name() << " | "
                  << runtime::severityName(kind->level()) << " | " << kind->meaning() << " |\n";
}

} // namespace

result<void> printEvents(command_arguments)
{
    if (FLAGS_output == "markdown") {
        printMarkdown();
        return {};
    }
    json rows = json::array();
    for (const event_kind *kind : event_kind::catalogue())
        rows.push_back({{"number", kind->number()},
                        {"name", kind->name()},
                        {"level", runtime::severityName(kind->level())},
                        {"meaning", kind->meaning()}});
    static constexpr std::array<std::string_view, 4> columns{"number", "name", "level", "meaning"};
    printRows(rows, columns);
    return {};
}

result<void> checkSettings(command_arguments arguments)
{
    BOOST_LEAF_AUTO(settings, runtime::readSettings(arguments[0]));
    std::cout << settings.file << ": good\n";
    return {};
}

result<void> printVersion(command_arguments)
{
    std::cout << "yuccascale " << version << "\n";
    return {};
}

} // namespace yuccascale::cli

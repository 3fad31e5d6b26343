#include "processes/endpoint_runs.hpp"

#include <algorithm>
#include <set>

namespace yuccascale::processes {

namespace {

using kernel::json;

/// An entry appends a suffix to the id that a caller chose.
constexpr char idSuffixMark = '~';

const std::set<std::string> endEvents{"run", "finished", "cancelled", "cut", "left"};

bool isPrefillCall(const json &received)
{
    const json &names = received.at("headers");
    return std::ranges::find(names, json("x-prefill-only")) != names.end();
}

void addReceived(endpoint_run &run, const json &event)
{
    if (isPrefillCall(event))
        return;
    if (run.received++ == 0)
        run.firstMs = event.at("at_ms");
}

void addEnd(endpoint_run &run, const json &event)
{
    if (event.value("prefill_only", false))
        return;
    run.lastMs = event.at("at_ms");
    run.runs = std::max(run.runs, event.value("runs_of_key", 0));
}

} // namespace

endpoint_runs runsIn(std::span<const json> events)
{
    endpoint_runs out;
    for (const json &event : events) {
        const std::string id = event.value("request_id", "");
        if (id.empty())
            continue;
        endpoint_run &run = out[id.substr(0, id.find(idSuffixMark))];
        const std::string kind = event.at("event");
        if (kind == "request")
            addReceived(run, event);
        else if (kind == "not_run")
            ++run.refused;
        else if (endEvents.contains(kind))
            addEnd(run, event);
    }
    return out;
}

} // namespace yuccascale::processes

#include "yuccascale/runtime/decision_memory.hpp"

#include <algorithm>
#include <functional>

namespace yuccascale::runtime {

using kernel::json;

recent_events::recent_events(kernel::clock &clock, kernel::event_sink &log)
    : m_clock(clock)
    , m_log(log)
{ }

void recent_events::record(const kernel::event_kind &kind,
                           std::span<const kernel::event_field> fields)
{
    m_log.record(kind, fields);
    if (fields.empty())
        return;
    recent_event event{m_clock.wallNow().time_since_epoch().count(), &kind, {}};
    for (const kernel::event_field &field : fields)
        event.fields.emplace_back(field.name, field.value);
    shard &target = m_shards[std::hash<std::string>{}(fields.front().value) % shardCount];
    const std::lock_guard lock(target.mutex);
    target.events.push_back(std::move(event));
    if (target.events.size() > eventsPerShard)
        target.events.pop_front();
}

json recent_events::find(std::string_view id) const
{
    id = id.substr(0, kernel::maxFieldBytes); // as the fields hold it
    std::vector<recent_event> found;
    for (const shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (const recent_event &event : shard.events) {
            if (std::ranges::any_of(event.fields,
                                    [&](const auto &field) { return field.second == id; }))
                found.push_back(event);
        }
    }
    std::ranges::stable_sort(found, {}, &recent_event::wallMs);
    json out = json::array();
    for (const recent_event &event : found) {
        json row{{"wall_ms", event.wallMs},
                 {"event", event.kind->number()},
                 {"name", event.kind->name()}};
        for (const auto &[name, value] : event.fields)
            row["fields"][name] = value;
        out.push_back(row);
    }
    return out;
}

} // namespace yuccascale::runtime

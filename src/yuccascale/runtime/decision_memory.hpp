#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/events.hpp"
#include "yuccascale/kernel/json.hpp"

#include <array>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

/// \file
/// \brief Buffer of the most recent events of this node, read by `yuccascale explain`.

namespace yuccascale::runtime {

/// \brief Forwards events to the log and keeps the most recent ones in memory. Thread-safe; each of
///        the shards holds a bounded number of events.
class recent_events final : public kernel::event_sink
{
public:
    /// \param log receives every event
    recent_events(kernel::clock &clock, kernel::event_sink &log);

    using kernel::event_sink::record;
    void record(const kernel::event_kind &kind,
                std::span<const kernel::event_field> fields) override;

    /// \returns the kept events that have \a id as the value of a field, oldest first.
    [[nodiscard]] kernel::json find(std::string_view id) const;

private:
    struct recent_event
    {
        std::int64_t wallMs = 0;
        const kernel::event_kind *kind = nullptr;
        std::vector<std::pair<std::string, std::string>> fields;
    };

    struct shard
    {
        mutable std::mutex mutex;
        std::deque<recent_event> events;
    };

    static constexpr std::size_t shardCount = 8;
    static constexpr std::size_t eventsPerShard = 2'048;

    kernel::clock &m_clock;
    kernel::event_sink &m_log;
    std::array<shard, shardCount> m_shards; ///< by hash of the value of an event's first field
};

} // namespace yuccascale::runtime

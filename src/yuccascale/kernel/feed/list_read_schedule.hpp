#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/feed/list_times.hpp"

#include <algorithm>
#include <optional>

/// \file
/// \brief When a control node reads the platform's list of endpoints.

namespace yuccascale::kernel::feed {

/// \brief The leader renews the list for all; another control node reads it only once its copy is
/// too old, whatever the reason. Reading needs no authority. Not thread-safe.
class list_read_schedule
{
public:
    /// \param startedAt of this process: a copy that it does not have yet is no older
    list_read_schedule(list_times times, instant startedAt)
        : m_times(times)
        , m_startedAt(startedAt)
    { }

    /// \param askedAt of this node's copy, whoever asked; nothing: not known
    /// \returns whether this node reads the list now.
    [[nodiscard]] bool due(instant now, bool leads, std::optional<instant> askedAt) const
    {
        const nanoseconds interval = leads ? m_times.listInterval : m_times.ownReadAge();
        if (m_readAt && now - *m_readAt < interval)
            return false;
        if (leads || !m_times.bounded())
            return leads;
        return now - std::max(askedAt.value_or(m_startedAt), m_startedAt) >= interval;
    }

    /// \brief Records that this node asks now.
    void asked(instant now) noexcept { m_readAt = now; }

private:
    list_times m_times;
    instant m_startedAt;
    std::optional<instant> m_readAt; ///< when this node last asked
};

} // namespace yuccascale::kernel::feed

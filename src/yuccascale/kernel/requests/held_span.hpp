#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <algorithm>
#include <optional>

/// \file
/// \brief Since when a lease has been held without a gap.

namespace yuccascale::kernel::requests {

/// \brief The span for which a lease that is extended again and again has been held. Not
/// thread-safe.
class held_span
{
public:
    /// \param until new end of the lease; an earlier one than before changes nothing
    void extend(instant now, instant until)
    {
        if (until <= now)
            return;
        if (!m_since || now >= m_until)
            m_since = now;
        m_until = std::max(m_until, until);
    }

    /// \returns whether the lease has been held for the whole \a lookback.
    [[nodiscard]] bool covers(instant now, nanoseconds lookback) const
    {
        return m_since && now < m_until && now - *m_since >= lookback;
    }

private:
    std::optional<instant> m_since;
    instant m_until{};
};

} // namespace yuccascale::kernel::requests

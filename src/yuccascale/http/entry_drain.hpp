#pragma once

#include "yuccascale/kernel/requests/drain_plan.hpp"

#include <algorithm>
#include <atomic>

/// \file
/// \brief Whether this entry is shutting down, for all of its loops.

namespace yuccascale::http {

/// \brief The shutdown of an entry. Thread-safe.
class entry_drain
{
public:
    /// \param limit from a request to shut down to the end of the process; zero: no bound
    /// \param addressTtl how long callers may hold a list of entries
    entry_drain(kernel::nanoseconds limit, kernel::nanoseconds addressTtl) noexcept
        : m_limit(limit)
        , m_addressTtl(addressTtl)
    { }

    /// \returns false when it had begun already.
    bool begin(kernel::instant when) noexcept
    {
        std::int64_t notLeaving = 0;
        const std::int64_t since = std::max<std::int64_t>(when.time_since_epoch().count(), 1);
        return m_since.compare_exchange_strong(notLeaving, since);
    }

    [[nodiscard]] bool leaving() const noexcept { return m_since != 0; }

    /// \returns when it began; only valid while leaving().
    [[nodiscard]] kernel::instant since() const noexcept
    {
        return kernel::instant(kernel::nanoseconds(m_since));
    }

    [[nodiscard]] kernel::requests::drain_plan plan() const noexcept
    {
        return leaving() ? kernel::requests::drain_plan(since(), m_limit, m_addressTtl)
                         : kernel::requests::drain_plan();
    }

    /// \brief From now on every request is refused, because the process ends.
    void close() noexcept { m_closed = true; }
    [[nodiscard]] bool closed() const noexcept { return m_closed; }

private:
    const kernel::nanoseconds m_limit;
    const kernel::nanoseconds m_addressTtl;
    std::atomic<std::int64_t> m_since{0}; ///< ns, boot clock; 0 before the shutdown
    std::atomic<bool> m_closed{false};
};

} // namespace yuccascale::http

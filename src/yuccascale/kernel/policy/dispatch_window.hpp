#pragma once

#include "yuccascale/kernel/policy/endpoint_occupancy.hpp"
#include "yuccascale/kernel/policy/engine_backlog.hpp"

/// \file
/// \brief Limits the work that an entry sends to an engine; the rest stays in the fair queue.

namespace yuccascale::kernel::policy {

/// \brief Bounds of the work queued inside an engine.
struct window_limits
{
    double slotFactor = 1.0; ///< requests running or queued in an engine, per slot
    double prefillAheadTokens = 3'200;
};

/// \brief Marks the engines without room for another request as unusable.
///
/// \example
///     window.markFull(now, views, entries);
///     if (std::ranges::any_of(views, &endpoint_view::usable))
///         dispatch(*queue->pop(now));
class dispatch_window
{
public:
    explicit dispatch_window(window_limits limits = {})
        : m_limits(limits)
    { }

    /// \brief Marks usable views without room as unusable.
    /// \param entries number of entries that send at the same time
    void markFull(instant now, std::span<endpoint_view> views, int entries);

    /// \brief Updates the estimates from a finished attempt.
    void observe(const routing_outcome &outcome);

private:
    void markFullByPace(instant now, std::span<endpoint_view> views);

    window_limits m_limits;
    occupancy_estimator m_occupancy;
    engine_estimates m_estimates;
    backlog_estimator m_backlogs;
    std::vector<std::size_t> m_usableIndexes;
};

} // namespace yuccascale::kernel::policy

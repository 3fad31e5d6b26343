#pragma once

#include "yuccascale/kernel/policy/engine_backlog.hpp"

/// \file
/// \brief How much work an entry sends ahead to an engine; the rest waits in the fair queue.

namespace yuccascale::kernel::policy {

/// \brief Bounds on the work that waits inside an engine.
struct window_limits
{
    double slotFactor = 1.0; ///< requests in an engine, relative to its slots
    double prefillAheadTokens = 3'200;
};

/// \brief Marks the engines that have no room for one more request.
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

    /// \brief Makes usable views without room unusable.
    /// \param entries entries that send at the same time
    void markFull(instant now, std::span<endpoint_view> views, int entries);

    /// \brief Learns from a finished try.
    void observe(const routing_outcome &outcome);

private:
    window_limits m_limits;
    engine_estimates m_estimates;
    backlog_estimator m_backlogs;
    std::vector<std::size_t> m_usableIndexes;
};

} // namespace yuccascale::kernel::policy

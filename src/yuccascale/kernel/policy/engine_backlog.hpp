#pragma once

#include "yuccascale/kernel/policy/engine_estimates.hpp"

#include <span>
#include <vector>

/// \file
/// \brief Work that engines are believed to have now, from lagging reports and own knowledge.

namespace yuccascale::kernel::policy {

/// \brief What an engine is believed to have before it.
struct engine_backlog
{
    double prefillTokens = 0;
    double running = 0;    ///< requests in the batch or waiting for a slot
    double unreported = 0; ///< those of them that no report or own knowledge shows
};

/// \brief Estimates the backlog of several engines at once.
///
/// Own requests are known exactly. What a report shows of the others' requests fades with its age;
/// in its place the others are taken to have done as this entry did. So an entry sees its own
/// choice multiplied, and entries with the same reports don't all keep choosing the same engine.
class backlog_estimator
{
public:
    /// \param indexes engines to estimate, into \a views
    /// \param entries entries that send at the same time
    /// \returns one backlog for each index, valid until the next call.
    [[nodiscard]] std::span<const engine_backlog>
    estimate(instant now, std::span<const endpoint_view> views,
             std::span<const std::size_t> indexes, int entries, const engine_estimates &estimates);

    /// \brief Learns the mean service time.
    void observe(const routing_outcome &outcome) noexcept;

private:
    std::vector<engine_backlog> m_backlogs;
    double m_meanServiceSeconds = 3.0;
};

} // namespace yuccascale::kernel::policy

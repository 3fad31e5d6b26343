#pragma once

#include "yuccascale/kernel/policy/engine_estimates.hpp"

#include <span>
#include <vector>

/// \file
/// \brief Estimates the current work of engines from lagging reports and this entry's requests.

namespace yuccascale::kernel::policy {

/// \brief Estimated work of one engine.
struct engine_backlog
{
    double prefillTokens = 0;
    double running = 0;    ///< requests in the batch or waiting for a slot
    double unreported = 0; ///< part of running that neither a report nor this entry's requests show
};

/// \brief Estimates the backlog of several engines at once.
///
/// This entry's requests are known exactly. The weight of the other entries' requests in a report
/// decays with the age of the report. In their place, every other entry is assumed to have sent as
/// much as this one. An entry thus counts its own choices several times, which keeps entries with
/// the same reports from all choosing the same engine.
class backlog_estimator
{
public:
    /// \param indexes indexes into \a views of the engines to estimate
    /// \param entries number of entries that send at the same time
    /// \returns one backlog for each index, valid until the next call.
    [[nodiscard]] std::span<const engine_backlog>
    estimate(instant now, std::span<const endpoint_view> views,
             std::span<const std::size_t> indexes, int entries, const engine_estimates &estimates);

    /// \brief Updates the mean service time from a finished attempt.
    void observe(const routing_outcome &outcome) noexcept;

private:
    std::vector<engine_backlog> m_backlogs;
    double m_meanServiceSeconds = 3.0; ///< assumed until the first answer
    std::uint64_t m_answers = 0;
};

} // namespace yuccascale::kernel::policy

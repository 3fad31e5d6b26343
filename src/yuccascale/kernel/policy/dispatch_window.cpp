#include "yuccascale/kernel/policy/dispatch_window.hpp"

namespace yuccascale::kernel::policy {

void dispatch_window::limit(instant now, std::span<endpoint_view> views, int entries)
{
    m_indexes.clear();
    for (std::size_t index = 0; index < views.size(); ++index) {
        if (views[index].usable)
            m_indexes.push_back(index);
    }
    const auto backlogs = m_backlogs.estimate(now, views, m_indexes, entries, m_estimates);
    for (std::size_t at = 0; at < m_indexes.size(); ++at) {
        endpoint_view &view = views[m_indexes[at]];
        const double slots = m_limits.slotFactor * view.row->slots;
        const engine_backlog &backlog = backlogs[at];
        if (backlog.running < slots && backlog.prefillTokens <= m_limits.prefillAheadTokens)
            continue;
        view.usable = false;
        view.unusableReason = "its batch is full";
    }
}

void dispatch_window::observe(const routing_outcome &outcome)
{
    m_estimates.observe(outcome);
    m_backlogs.observe(outcome);
}

} // namespace yuccascale::kernel::policy

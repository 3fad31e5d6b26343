#include "yuccascale/kernel/policy/dispatch_window.hpp"

namespace yuccascale::kernel::policy {

void dispatch_window::markFull(instant now, std::span<endpoint_view> views, int entries)
{
    m_usableIndexes.clear();
    for (std::size_t index = 0; index < views.size(); ++index) {
        if (views[index].usable)
            m_usableIndexes.push_back(index);
    }
    if (!m_usableIndexes.empty() && views[m_usableIndexes.front()].speed)
        return markFullByPace(now, views);
    const auto backlogs = m_backlogs.estimate(now, views, m_usableIndexes, entries, m_estimates);
    for (std::size_t position = 0; position < m_usableIndexes.size(); ++position) {
        endpoint_view &view = views[m_usableIndexes[position]];
        const double slots = m_limits.slotFactor * view.row->slots;
        const engine_backlog &backlog = backlogs[position];
        if (backlog.running < slots && backlog.prefillTokens <= m_limits.prefillAheadTokens)
            continue;
        view.usable = false;
        view.unusableReason = "its dispatch window is full";
    }
}

/// A plain service may get more than it has slots for, as it takes the next request sooner than
/// this entry learns of a free slot.
void dispatch_window::markFullByPace(instant now, std::span<endpoint_view> views)
{
    const auto requests = m_occupancy.estimate(now, views, m_usableIndexes);
    for (std::size_t position = 0; position < m_usableIndexes.size(); ++position) {
        endpoint_view &view = views[m_usableIndexes[position]];
        const auto ownTokens = static_cast<double>(view.ownPrefillTokens);
        if (requests[position] < roomAt(now, view, m_limits.slotFactor)
            && ownTokens <= m_limits.prefillAheadTokens)
            continue;
        view.usable = false;
        view.unusableReason = "its dispatch window is full";
    }
}

void dispatch_window::observe(const routing_outcome &outcome)
{
    m_estimates.observe(outcome);
    m_backlogs.observe(outcome);
}

} // namespace yuccascale::kernel::policy

#include "properties/cluster_history.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace yuccascale::properties {

void cluster_history::recordViolation(std::string description)
{
    if (m_violation.empty())
        m_violation = std::move(description);
}

void cluster_history::recordApplied(const std::string &node, const log_entry &entry)
{
    const auto [row, inserted] = m_applied.try_emplace(entry.index, entry);
    if (!inserted && row->second != entry)
        recordViolation("two different entries applied at index " + std::to_string(entry.index)
                        + ", the second by " + node);
}

void cluster_history::recordAcknowledged(const log_entry &entry)
{
    m_acknowledged[entry.index] = entry.payload;
    m_newestAcknowledged = std::max(m_newestAcknowledged, entry.index);
}

void cluster_history::recordAuthority(const member_id &node, std::uint64_t fence,
                                      instant authorityEnd, instant ordersAllowedFrom)
{
    const auto [row, inserted] = m_fences.try_emplace(fence, fence_record{node, authorityEnd});
    if (row->second.holder != node)
        recordViolation("fence " + std::to_string(fence) + " held by two nodes");
    if (inserted && std::next(row) != m_fences.end())
        recordViolation("fence " + std::to_string(fence) + " was issued after a higher fence");
    row->second.authorityEnd = std::max(row->second.authorityEnd, authorityEnd);
    for (const auto &[older, record] : m_fences) {
        if (older < fence && record.authorityEnd + m_orderLifetime > ordersAllowedFrom)
            recordViolation("orders under fence " + std::to_string(fence)
                            + " may overlap orders in flight under fence " + std::to_string(older));
    }
}

void cluster_history::checkConfirmedRead(log_index acknowledgedAtRequest,
                                         log_index appliedAtConfirmation)
{
    if (appliedAtConfirmation < acknowledgedAtRequest)
        recordViolation("a confirmed read at applied index " + std::to_string(appliedAtConfirmation)
                        + " missed the acknowledged index "
                        + std::to_string(acknowledgedAtRequest));
}

void cluster_history::checkHolderCount(std::size_t count)
{
    if (count > 1)
        recordViolation("two nodes hold authority at once");
}

} // namespace yuccascale::properties

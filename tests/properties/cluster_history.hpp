#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/consensus/types.hpp"

#include <cstdint>
#include <map>
#include <string>

/// \file
/// \brief Checks what the nodes of a simulated cluster did against the safety properties of
///        consensus.

namespace yuccascale::properties {

using namespace kernel::consensus;
using kernel::instant;
using kernel::milliseconds;

/// \brief Records what the nodes did and the first violation of a safety property.
class cluster_history
{
public:
    /// \param orderLifetime longest time an order can be in flight
    explicit cluster_history(milliseconds orderLifetime)
        : m_orderLifetime(orderLifetime)
    { }

    void recordApplied(const std::string &node, const log_entry &entry);
    void recordAcknowledged(const log_entry &entry);
    void recordAuthority(const member_id &node, std::uint64_t fence, instant authorityEnd,
                         instant ordersAllowedFrom);
    void checkConfirmedRead(log_index acknowledgedAtRequest, log_index appliedAtConfirmation);
    void checkHolderCount(std::size_t count);
    void recordViolation(std::string description);

    [[nodiscard]] const std::string &violation() const noexcept { return m_violation; }
    [[nodiscard]] log_index newestAcknowledged() const noexcept { return m_newestAcknowledged; }
    [[nodiscard]] const std::map<log_index, std::string> &acknowledgedCommands() const noexcept
    {
        return m_acknowledged;
    }
    [[nodiscard]] std::size_t fenceCount() const noexcept { return m_fences.size(); }

private:
    struct fence_record
    {
        member_id holder;
        instant authorityEnd{}; ///< latest end of the authority, in simulated true time
    };

    milliseconds m_orderLifetime;
    std::map<log_index, log_entry> m_applied;
    std::map<log_index, std::string> m_acknowledged;
    std::map<std::uint64_t, fence_record> m_fences;
    log_index m_newestAcknowledged = 0;
    std::string m_violation;
};

} // namespace yuccascale::properties

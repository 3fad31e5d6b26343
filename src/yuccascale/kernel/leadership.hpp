#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <cstdint>
#include <optional>

/// \file
/// \brief The authority to give orders.

namespace yuccascale::kernel {

/// \brief Authority of this node. Its orders carry the fence and are sent only before the lease
/// ends.
struct leadership
{
    std::uint64_t fence = 0; ///< fencing token; rises with every leader, never used by two nodes
    instant leaseStart{};    ///< when this node's lease began
    instant leaseEnd{};      ///< end of the lease, measured from before its last renewal was sent
    instant ordersAllowedFrom{}; ///< earliest order to the platform or a target that ignores
                                 ///< fences; earlier leaders' orders have expired by then
};

/// \brief Tells whether this node may give orders.
class leadership_source
{
public:
    virtual ~leadership_source() = default;

    /// \returns this node's authority, or nullopt when it has none at \a now.
    [[nodiscard]] virtual std::optional<leadership> current(instant now) const = 0;
};

} // namespace yuccascale::kernel

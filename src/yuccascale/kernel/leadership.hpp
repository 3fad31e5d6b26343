#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <cstdint>
#include <optional>

/// \file
/// \brief The authority to give orders.

namespace yuccascale::kernel {

/// \brief Authority of this node: orders it gives carry the fence and are given before the end.
struct leadership
{
    std::uint64_t fence = 0; ///< rises with every change of leader; never used by two nodes
    instant leaseStart{};    ///< when this node's lease began
    instant leaseEnd{};      ///< end of the lease, measured from before its last renewal was sent
    instant ordersAllowedFrom{}; ///< earliest order to a target that ignores fences, and to the
                                 ///< platform
};

/// \brief Tells whether this node may give orders.
class leadership_source
{
public:
    virtual ~leadership_source() = default;

    /// \returns this node's authority, or nothing when it has none at \a now.
    [[nodiscard]] virtual std::optional<leadership> current(instant now) const = 0;
};

} // namespace yuccascale::kernel

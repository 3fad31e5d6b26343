#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/leadership.hpp"

#include <cstdint>
#include <optional>

/// \file
/// \brief The last check before the first byte of an order or a report.

namespace yuccascale::kernel::orders {

/// \brief A decision to send is void after this, so that a paused sender sends nothing on waking.
constexpr nanoseconds permitLifetime = seconds(1);

/// \param held this node's authority now
/// \param fence of the leadership under which the send was decided
/// \param decidedAt when the send was decided
/// \param sendTimeout how long the bytes can be under way
/// \returns true when the send ends within the lease and no earlier leader's bytes are under way.
[[nodiscard]] inline bool sendPermitted(const std::optional<leadership> &authority,
                                        std::uint64_t fence, instant decidedAt, instant now,
                                        nanoseconds sendTimeout) noexcept
{
    return authority && authority->fence == fence && now <= decidedAt + permitLifetime
            && now >= authority->ordersAllowedFrom && now + sendTimeout <= authority->leaseEnd;
}

} // namespace yuccascale::kernel::orders

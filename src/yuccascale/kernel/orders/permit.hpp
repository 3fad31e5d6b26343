#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/leadership.hpp"

#include <cstdint>
#include <optional>

/// \file
/// \brief The last check of authority before the first byte of an order or a report.

namespace yuccascale::kernel::orders {

/// \brief A decision to send expires after this time, so that a process that was paused sends
/// nothing when it resumes.
constexpr nanoseconds permitLifetime = seconds(1);

/// \param authority this node's authority now
/// \param fence of the leadership under which the send was decided
/// \param decidedAt when the send was decided
/// \param sendTimeout how long the bytes can be in flight
/// \returns true when the send ends within the lease and no bytes of an earlier leader are in
/// flight.
[[nodiscard]] inline bool sendPermitted(const std::optional<leadership> &authority,
                                        std::uint64_t fence, instant decidedAt, instant now,
                                        nanoseconds sendTimeout) noexcept
{
    return authority && authority->fence == fence && now <= decidedAt + permitLifetime
            && now >= authority->ordersAllowedFrom && now + sendTimeout <= authority->leaseEnd;
}

} // namespace yuccascale::kernel::orders

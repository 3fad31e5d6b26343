#pragma once

#include "yuccascale/kernel/policy/routing.hpp"

/// \file
/// \brief How much work an entry sends ahead to an engine; the rest waits in the fair queue.

namespace yuccascale::kernel::policy {

/// \brief Bounds on the work that waits inside an engine.
struct dispatch_window
{
    double slotFactor = 1.0;                      ///< requests in an engine, relative to its slots
    nanoseconds prefillAhead = milliseconds(400); ///< prompt work waiting in an engine
    double prefillTokensPerSecond = 8'000;

    /// \returns whether the engine has room for one more request of this entry.
    /// \param entries entries that send at the same time
    [[nodiscard]] bool hasRoom(instant now, const endpoint_view &view, int entries) const noexcept;
};

} // namespace yuccascale::kernel::policy

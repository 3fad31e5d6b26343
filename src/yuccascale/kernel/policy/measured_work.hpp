#pragma once

#include "yuccascale/kernel/clock.hpp"

/// \file
/// \brief Work of a pool as measured by all entries, from which capacity is planned.

namespace yuccascale::kernel::policy {

/// \brief Shares of the requests of the last seconds that show too little capacity, 0 to 1.
struct pool_strain
{
    double late = 0;     ///< of the offered requests: refused, or begun after their target
    double rejected = 0; ///< of the sent requests: not run by their endpoint
    double waiting = 0;  ///< of the requests at entries and endpoints: waiting at entries
};

/// \brief Work in a span, in two measures.
struct work_rate
{
    double tokensPerSecond = 0; ///< prompt tokens to compute
    double busySlots = 0;       ///< requests at endpoints
};

/// \brief Work of a pool. The entries that report stand for those that do not.
struct measured_work
{
    int entriesReporting = 0; ///< with a report that is not too old
    int entriesRunning = 0;
    work_rate peak;       ///< in the busiest second of the window, each measure for itself
    work_rate steadyPeak; ///< of the part that only steady endpoints may run
    work_rate mean;       ///< over the window
    double prefillTokensPerSecond = 0; ///< of one engine; 0: not known
    pool_strain strain;

    /// \returns whether nearly all running entries report.
    [[nodiscard]] bool known() const noexcept
    {
        constexpr double minShare = 0.9;
        return entriesRunning > 0 && entriesReporting >= minShare * entriesRunning;
    }
};

} // namespace yuccascale::kernel::policy

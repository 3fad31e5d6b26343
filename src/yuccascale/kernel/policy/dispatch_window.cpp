#include "yuccascale/kernel/policy/dispatch_window.hpp"

#include <algorithm>
#include <cmath>

namespace yuccascale::kernel::policy {

bool dispatch_window::hasRoom(instant now, const endpoint_view &view, int entries) const noexcept
{
    const int slots = view.row != nullptr ? view.row->slots : 1;
    const double mostRunning = slotFactor * slots;
    const load_report &report = view.report;
    if (report.running + report.queued + view.sentSinceReport >= mostRunning)
        return false;
    if (view.outstandingHere >= std::ceil(2.0 * mostRunning / std::max(entries, 1)))
        return false;
    const double age = std::chrono::duration<double>(now - report.measuredAt).count();
    const double done = prefillTokensPerSecond * std::max(age, 0.0);
    const double ahead
            = prefillTokensPerSecond * std::chrono::duration<double>(prefillAhead).count();
    const double sent = static_cast<double>(view.prefillTokensSinceReport);
    return std::max(static_cast<double>(report.prefillTokensWaiting) - done, 0.0) + sent <= ahead;
}

} // namespace yuccascale::kernel::policy

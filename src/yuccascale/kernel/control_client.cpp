#include "yuccascale/kernel/control_client.hpp"

namespace yuccascale::kernel {

requests::origins_seen control_view::originsSeen(instant now, const std::string &route,
                                                 const std::string &pool,
                                                 nanoseconds lookback) const
{
    requests::origins_seen seen;
    if (origins)
        seen = origins->seen(now, route, pool, lookback);
    seen.pools.throughout = seen.pools.throughout && fresh(now);
    seen.versions.throughout = seen.versions.throughout && fresh(now);
    return seen;
}

nanoseconds control_view::originLookback(instant now, const std::string &route) const
{
    return origins ? origins->lookback(now, route) : nanoseconds::zero();
}

} // namespace yuccascale::kernel

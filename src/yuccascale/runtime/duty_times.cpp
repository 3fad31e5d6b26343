#include "yuccascale/runtime/duty_times.hpp"

#include <algorithm>

namespace yuccascale::runtime {

kernel::orders::order_times orderTimes(const settings &config)
{
    kernel::orders::order_times times;
    times.orderLifetime = config.control.orderLifetime;
    times.drainPropagationTime = config.control.freshness + config.control.feedInterval;
    times.sendTimeout = std::min<kernel::nanoseconds>(times.sendTimeout, config.control.lease / 2);
    return times;
}

kernel::usage::usage_times usageTimes(const settings &config)
{
    kernel::usage::usage_times times;
    times.window = config.platform.usageWindow;
    times.sendTimeout = orderTimes(config).sendTimeout;
    return times;
}

} // namespace yuccascale::runtime

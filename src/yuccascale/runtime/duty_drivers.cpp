#include "yuccascale/runtime/duty_drivers.hpp"

#include "yuccascale/kernel/plugin_registry.hpp"
#include "yuccascale/runtime/duty_times.hpp"

#include <chrono>
#include <string>
#include <string_view>

namespace yuccascale::runtime {

using kernel::result;

namespace {

kernel::orders::driver_settings driverSettings(const settings &config, const std::string &address)
{
    kernel::orders::driver_settings driver;
    driver.address = address;
    driver.nodeName = config.node;
    driver.sendTimeout
            = std::chrono::duration_cast<kernel::milliseconds>(orderTimes(config).sendTimeout);
    return driver;
}

template<typename Driver, typename... Arguments>
result<void> makeDriver(std::unique_ptr<Driver> &driver, std::string_view name,
                        Arguments... arguments)
{
    using registry = kernel::plugin_registry<Driver, Arguments...>;
    BOOST_LEAF_ASSIGN(driver, registry::make(name, arguments...));
    return {};
}

} // namespace

result<duty_drivers> makeDutyDrivers(const settings &config)
{
    duty_drivers drivers;
    const auto settingsAt
            = [&](const std::string &address) { return driverSettings(config, address); };
    const platform_settings &platform = config.platform;
    result<void> status = makeDriver(drivers.engines, "http_engine", settingsAt({}));
    if (status)
        status = makeDriver(drivers.loads, "http", settingsAt({}));
    if (status && !platform.endpointList.empty())
        status = makeDriver(drivers.endpoints, platform.drivers, settingsAt(platform.endpointList));
    if (status && !platform.endpointCounts.empty())
        status = makeDriver(drivers.counts, platform.drivers, settingsAt(platform.endpointCounts));
    if (status && !platform.endpointOrders.empty())
        status = makeDriver(drivers.platform, "http_platform", settingsAt(platform.endpointOrders));
    if (status && (!platform.endpointOrders.empty() || !platform.vmList.empty()))
        status = makeDriver(drivers.platformReader, "http", settingsAt(platform.vmList),
                            settingsAt(platform.endpointOrders));
    if (status && !platform.weightStore.empty())
        status = makeDriver(drivers.weights, "http", settingsAt(platform.weightStore));
    if (status && !platform.usageReports.empty())
        status = makeDriver(drivers.usage, platform.drivers, settingsAt(platform.usageReports));
    if (!status)
        return status.error();
    return drivers;
}

} // namespace yuccascale::runtime

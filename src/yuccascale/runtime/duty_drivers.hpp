#pragma once

#include "yuccascale/kernel/error.hpp"
#include "yuccascale/kernel/orders/drivers.hpp"
#include "yuccascale/runtime/settings.hpp"

#include <memory>

/// \file
/// \brief The drivers through which the leader's duties call external systems.

namespace yuccascale::runtime {

/// \brief The drivers of external systems; null where the settings turn one off.
struct duty_drivers
{
    std::unique_ptr<kernel::orders::order_target> engines;
    std::unique_ptr<kernel::orders::load_source> loads;
    std::unique_ptr<kernel::orders::order_target> platform;
    std::unique_ptr<kernel::orders::platform_reader> platformReader;
    std::unique_ptr<kernel::orders::weight_store> weights;
    std::unique_ptr<kernel::orders::usage_sink> usage;
    std::unique_ptr<kernel::orders::endpoint_lister> endpoints;
    std::unique_ptr<kernel::orders::endpoint_scaler> counts;
};

/// \returns the drivers for the addresses in the settings; the registry's error for an unknown
///          driver name.
[[nodiscard]] kernel::result<duty_drivers> makeDutyDrivers(const settings &config);

} // namespace yuccascale::runtime

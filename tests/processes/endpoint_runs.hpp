#pragma once

#include "yuccascale/kernel/json.hpp"

#include <cstdint>
#include <limits>
#include <map>
#include <span>
#include <string>

/// \file
/// \brief What the stand-ins of endpoints did with each caller's request.

namespace yuccascale::processes {

/// \brief All sends of one request; times in milliseconds since 1970.
struct endpoint_run
{
    int received = 0; ///< how often an endpoint received it; calls for prefill alone excluded
    int refused = 0;  ///< how often one answered that it hadn't run
    int runs = 0;     ///< of a ticket
    std::int64_t firstMs = 0;                                       ///< when it was first received
    std::int64_t lastMs = std::numeric_limits<std::int64_t>::max(); ///< end of the last run

    [[nodiscard]] bool ran() const noexcept { return received > refused; }
};

/// By the caller's request id.
using endpoint_runs = std::map<std::string, endpoint_run>;

/// \returns the runs that \a events, recorded by engines and services, tell of.
[[nodiscard]] endpoint_runs runsIn(std::span<const kernel::json> events);

} // namespace yuccascale::processes

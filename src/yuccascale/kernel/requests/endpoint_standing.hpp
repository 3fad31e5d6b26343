#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// \brief Whether an endpoint that was assigned may still be sent to.

namespace yuccascale::kernel::requests {

/// \brief What has become of an endpoint since a request was assigned to it.
enum class endpoint_standing {
    Serving,
    Draining, ///< the list of endpoints shows it
    Leaving,  ///< it said so itself, or its VM leaves
    Gone,     ///< listed no longer
    Replaced, ///< another process, or another address, has its name
};

/// \brief An endpoint as it was when a request was assigned to it.
struct assigned_endpoint
{
    std::string name;
    std::string address;        ///< IP:port
    std::int64_t startedMs = 0; ///< of its process, on the wall clock; 0: not known
};

/// \returns the name of \a standing in logs, such as "draining".
[[nodiscard]] constexpr std::string_view standingName(endpoint_standing standing) noexcept
{
    constexpr std::array<std::string_view, 5> names{"serving", "draining", "leaving", "gone",
                                                    "replaced"};
    return names[static_cast<std::size_t>(standing)];
}

} // namespace yuccascale::kernel::requests

#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <string>
#include <vector>

/// \file
/// \brief What an endpoint asks of its callers in the head of an answer.

namespace yuccascale::kernel::requests {

/// \brief Requests of an endpoint to its callers, apart from the answer itself.
struct endpoint_notice
{
    bool leaving = false; ///< it is leaving and wants no new requests
    nanoseconds pause{};  ///< it wants no requests from this entry for this time; 0: it wants them
    std::vector<std::string> unreadableHeaders; ///< headers that were ignored for their value
};

} // namespace yuccascale::kernel::requests

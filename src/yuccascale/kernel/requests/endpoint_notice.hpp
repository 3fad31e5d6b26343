#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <limits>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief What an endpoint asks of its callers in the head of an answer.

namespace yuccascale::kernel::requests {

/// Request limit of an endpoint that names none.
inline constexpr double noRequestLimit = std::numeric_limits<double>::infinity();

/// \brief Requests of an endpoint to its callers, apart from the answer itself.
struct endpoint_notice
{
    bool leaving = false; ///< it is leaving and wants no new requests
    nanoseconds pause{};  ///< it wants no requests from this entry for this time; 0: it wants them
    std::vector<std::string> unreadableHeaders; ///< headers that were ignored for their value
    /// Requests per second that it accepts from all entries together, or noRequestLimit; nothing
    /// when the answer does not tell.
    std::optional<double> requestLimit = {};
};

/// \brief What became known by a notice.
struct notice_effect
{
    bool leaving = false;      ///< it is the first to announce that the endpoint is leaving
    bool limitChanged = false; ///< the endpoint's request limit is another one than before
};

} // namespace yuccascale::kernel::requests

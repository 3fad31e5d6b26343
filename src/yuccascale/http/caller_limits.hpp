#pragma once

#include "yuccascale/kernel/state/tables.hpp"
#include "yuccascale/net/http_server.hpp"
#include "yuccascale/runtime/settings.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

/// \file
/// \brief Limits of callers' connections, from the settings and from the tables.

namespace yuccascale::http {

[[nodiscard]] inline net::http_limits limitsFrom(const runtime::http_settings &settings)
{
    net::http_limits limits;
    limits.headerBytes = static_cast<std::size_t>(settings.maxHeaderBytes);
    limits.headerFields = static_cast<std::size_t>(settings.maxHeaderFields);
    limits.bodyBytes = static_cast<std::uint64_t>(settings.maxBodyBytes);
    limits.readTimeout = settings.readTimeout;
    limits.idleTimeout = settings.idleTimeout;
    limits.writeTimeout = settings.writeTimeout;
    limits.connections = static_cast<std::size_t>(settings.connections);
    return limits;
}

/// Greater limits count as these, so that sums with them fit into their types.
inline constexpr std::int64_t mostHeaderBytes = std::numeric_limits<std::int32_t>::max();
inline constexpr kernel::milliseconds longestCallerTimeout{24 * 3'600'000};

/// \brief Replaces the limits that the row of the tables states.
inline void applyRow(net::http_limits &limits, const kernel::state::caller_limits &row)
{
    const auto timeout = [](std::int64_t value) {
        return std::min(kernel::milliseconds(value), longestCallerTimeout);
    };
    limits.headerBytes = static_cast<std::size_t>(std::min(row.headerBytes, mostHeaderBytes));
    limits.bodyBytes = static_cast<std::uint64_t>(row.bodyBytes);
    limits.readTimeout = timeout(row.readTimeoutMs);
    limits.idleTimeout = timeout(row.idleTimeoutMs);
}

/// \returns the limits of the settings, or those of the tables where these have a row.
[[nodiscard]] inline net::http_limits limitsInForce(const runtime::http_settings &settings,
                                                    const kernel::state::table_set &tables)
{
    net::http_limits limits = limitsFrom(settings);
    if (!tables.limits.empty())
        applyRow(limits, tables.limits.front());
    return limits;
}

} // namespace yuccascale::http

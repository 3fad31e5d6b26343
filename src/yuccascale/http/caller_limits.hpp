#pragma once

#include "yuccascale/kernel/state/tables.hpp"
#include "yuccascale/net/http_server.hpp"
#include "yuccascale/runtime/settings.hpp"

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

/// \brief Replaces the limits that the row of the tables states.
inline void applyRow(net::http_limits &limits, const kernel::state::caller_limits &row)
{
    limits.headerBytes = static_cast<std::size_t>(row.headerBytes);
    limits.bodyBytes = static_cast<std::uint64_t>(row.bodyBytes);
    limits.readTimeout = kernel::milliseconds(row.readTimeoutMs);
    limits.idleTimeout = kernel::milliseconds(row.idleTimeoutMs);
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

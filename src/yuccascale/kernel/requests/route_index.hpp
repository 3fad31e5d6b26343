#pragma once

#include "yuccascale/kernel/state/tables.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Finds the route of a request by its host and path.

namespace yuccascale::kernel::requests {

/// \brief Index of the routes of one table revision by host and path prefix.
class route_index
{
public:
    /// \param tables may be null
    explicit route_index(std::shared_ptr<const state::table_set> tables);

    /// \returns the route of \a host with the longest path prefix of \a path; null when none
    /// matches.
    [[nodiscard]] const state::route *find(std::string_view host,
                                           std::string_view path) const noexcept;

private:
    std::shared_ptr<const state::table_set> m_tables;
    std::map<std::string_view, std::map<std::string_view, const state::route *>> m_hosts;
};

/// \brief Selects the pool for a request: the route's pool, or one of its split by weight.
/// \param hash hash or random number that differs between requests
[[nodiscard]] const std::string &selectPool(const state::route &route, std::uint64_t hash) noexcept;

} // namespace yuccascale::kernel::requests

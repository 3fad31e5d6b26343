#include "yuccascale/kernel/requests/route_index.hpp"

#include <utility>

namespace yuccascale::kernel::requests {

route_index::route_index(std::shared_ptr<const state::table_set> tables)
    : m_tables(std::move(tables))
{
    if (!m_tables)
        return;
    for (const auto &[name, row] : m_tables->routes) {
        if (!row.host.empty())
            m_hosts[row.host].emplace(row.pathPrefix, &row);
    }
}

const state::route *route_index::find(std::string_view host, std::string_view path) const noexcept
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return nullptr;
    // a prefix ends with a slash, so only the parts of the path up to a slash are looked up
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto route = found->second.find(path.substr(0, end + 1));
        if (route != found->second.end())
            return route->second;
    }
    return nullptr;
}

const std::string &selectPool(const state::route &route, std::uint64_t hash) noexcept
{
    double sum = 0;
    for (const state::pool_share &part : route.split)
        sum += part.weight;
    constexpr std::uint64_t steps = 1U << 20U;
    double left = sum * static_cast<double>(hash % steps) / static_cast<double>(steps);
    for (const state::pool_share &part : route.split) {
        left -= part.weight;
        if (left < 0)
            return part.pool;
    }
    return route.split.empty() ? route.pool : route.split.back().pool;
}

} // namespace yuccascale::kernel::requests

#include "yuccascale/kernel/state/table_rules.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>

namespace yuccascale::kernel::state {

namespace {

using problem = std::optional<std::string>;

constexpr std::size_t longestName = 64;
constexpr std::size_t digestCharacters = 64;
constexpr std::int64_t longestDeadlineMs = 3'600'000;
constexpr int highestPriority = 100;
constexpr double highestWeight = 1e6;
constexpr double highestPricePerHour = 1e4;
constexpr int mostSlots = 4'096;
constexpr int highestPort = 65'535;
constexpr int mostAttempts = 100;

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
            || c == '_' || c == '.';
}

problem problemInName(const std::string &row, const std::string &name)
{
    const bool good = !name.empty() && name.size() <= longestName
            && std::ranges::all_of(name, isNameCharacter);
    if (good)
        return std::nullopt;
    return row + ".name: '" + name + "' is not a name; use 1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'";
}

template<typename Number>
problem problemInRange(const std::string &field, Number value, Number lowest, Number highest)
{
    if (value >= lowest && value <= highest)
        return std::nullopt;
    return field + ": " + std::to_string(value) + " is out of range; use " + std::to_string(lowest)
            + " to " + std::to_string(highest);
}

problem firstOf(std::initializer_list<problem> problems)
{
    for (const problem &found : problems) {
        if (found)
            return found;
    }
    return std::nullopt;
}

bool isPort(std::string_view text)
{
    if (text.empty() || text.size() > 5 || text.find_first_not_of("0123456789") != text.npos)
        return false;
    const int port = std::stoi(std::string(text));
    return port > 0 && port <= highestPort;
}

problem problemInAddress(const std::string &field, const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon != std::string::npos && colon > 0 && isPort(address.substr(colon + 1)))
        return std::nullopt;
    return field + ": '" + address + "' is not an address; write IP:port";
}

problem problemInSplit(const std::string &place, const route &row)
{
    double sum = 0;
    for (const pool_share &part : row.split) {
        if (!std::isfinite(part.weight) || part.weight < 0)
            return place + ".split: a weight is below 0; give each pool its share";
        sum += part.weight;
    }
    if (!row.split.empty() && sum <= 0)
        return place + ".split: the weights add up to 0; give at least one pool a share";
    return std::nullopt;
}

problem problemInWay(const std::string &place, const route &row)
{
    const bool whole = row.pathPrefix.starts_with('/') && row.pathPrefix.ends_with('/');
    if (row.host.empty() == row.pathPrefix.empty() && (row.host.empty() || whole))
        return problemInSplit(place, row);
    return place + ".pathPrefix: '" + row.pathPrefix
            + "' must begin and end with '/' and stand with a host; correct it or leave both out";
}

problem problemInRow(const route &row)
{
    const std::string place = "route/" + row.name;
    if (auto found = problemInWay(place, row))
        return found;
    return firstOf(
            {problemInName(place, row.name),
             problemInRange<std::int64_t>(place + ".deadlineMs", row.deadlineMs, 1,
                                          longestDeadlineMs),
             problemInRange<std::int64_t>(place + ".firstTokenMs", row.firstTokenMs, 1,
                                          longestDeadlineMs),
             problemInRange(place + ".maxAttempts", row.maxAttempts, 1, mostAttempts),
             problemInRange(place + ".priority", row.priority, -highestPriority, highestPriority)});
}

problem problemInEndpoint(const std::string &poolPlace, backend_kind kind, const endpoint &row)
{
    const std::string place = poolPlace + "/" + row.name;
    problem zone;
    if (row.zone.empty())
        zone = place + ".zone: missing; name the endpoint's availability zone";
    problem role;
    if (kind == backend_kind::Service && row.role != engine_role::Mixed)
        role = place + ".role: a service endpoint has no role; leave it 'mixed'";
    return firstOf(
            {problemInName(place, row.name), problemInAddress(place + ".address", row.address),
             zone, role,
             problemInRange(place + ".pricePerHour", row.pricePerHour, 0.0, highestPricePerHour),
             problemInRange(place + ".slots", row.slots, 1, mostSlots)});
}

problem problemInModel(const std::string &place, const pool &row)
{
    if (row.kind == backend_kind::Model && row.model.empty())
        return place + ".model: missing; name the model that its engines load";
    if (row.kind == backend_kind::Service && !row.model.empty())
        return place + ".model: a service pool has no model; leave it out";
    return std::nullopt;
}

problem problemInRow(const pool &row)
{
    const std::string place = "pool/" + row.name;
    if (auto found = firstOf({problemInName(place, row.name), problemInModel(place, row)}))
        return found;
    if (row.minEndpoints < 0 || row.minEndpoints > row.maxEndpoints) {
        return place + ".minEndpoints: " + std::to_string(row.minEndpoints)
                + " is not between 0 and maxEndpoints; lower it or raise maxEndpoints";
    }
    for (const endpoint &listed : row.endpoints) {
        if (auto found = problemInEndpoint(place, row.kind, listed))
            return found;
    }
    return std::nullopt;
}

problem problemInRow(const organisation &row)
{
    const std::string place = "organisation/" + row.name;
    if (auto found = problemInName(place, row.name))
        return found;
    if (std::isfinite(row.weight) && row.weight > 0 && row.weight <= highestWeight)
        return std::nullopt;
    return place + ".weight: must be above 0 and at most 1000000; give its share";
}

problem problemInRow(const key_record &row)
{
    const std::string place = "key/" + row.id;
    if (auto found = problemInName(place, row.id))
        return found;
    const bool hex = row.digest.size() == digestCharacters
            && row.digest.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (hex)
        return std::nullopt;
    return place
            + ".digest: not a SHA-256 digest in lower-case hex; make the key with 'key create'";
}

const std::string &nameOf(const key_record &row)
{
    return row.id;
}

template<typename Row>
const std::string &nameOf(const Row &row)
{
    return row.name;
}

template<typename Row>
problem problemInPart(std::string_view table, const std::vector<Row> &put,
                      const std::vector<std::string> &remove)
{
    std::set<std::string_view> seen;
    const auto twice = [&](const std::string &name) {
        return std::string(table) + "/" + name + ": edited twice in one edit; keep one of the two";
    };
    for (const Row &row : put) {
        if (auto found = problemInRow(row))
            return found;
        if (!seen.insert(nameOf(row)).second)
            return twice(nameOf(row));
    }
    for (const std::string &name : remove) {
        if (!seen.insert(name).second)
            return twice(name);
    }
    return std::nullopt;
}

template<typename Table>
problem problemInRemoval(std::string_view table, const Table &rows,
                         const std::vector<std::string> &remove)
{
    for (const std::string &name : remove) {
        if (!rows.contains(name)) {
            return std::string(table) + "/" + name
                    + ": there is no such row to remove; read the tables for their names";
        }
    }
    return std::nullopt;
}

bool hasOnlyCheapEndpoints(const pool &row)
{
    return !row.endpoints.empty() && std::ranges::all_of(row.endpoints, [](const endpoint &listed) {
        return listed.tenure == endpoint_tenure::Cheap;
    });
}

problem problemInRoutePool(const route &row, const std::string &pool, const table_set &tables)
{
    const std::string place = "route/" + row.name + ".pool: ";
    const auto found = tables.pools.find(pool);
    if (found == tables.pools.end()) {
        return place + "there is no pool '" + pool
                + "'; create it in this edit or point the route to another pool";
    }
    if (found->second.kind != row.kind) {
        return place + "pool '" + pool
                + "' is of another kind than the route; make both 'model' or both 'service'";
    }
    if (!row.idempotent && hasOnlyCheapEndpoints(found->second)) {
        return place + "a non-idempotent route needs a steady endpoint; add one to pool '" + pool
                + "'";
    }
    return std::nullopt;
}

problem problemInRoutePools(const route &row, const table_set &tables)
{
    if (row.split.empty())
        return problemInRoutePool(row, row.pool, tables);
    for (const pool_share &part : row.split) {
        if (auto found = problemInRoutePool(row, part.pool, tables))
            return found;
    }
    return std::nullopt;
}

/// A host and prefix name one route.
problem problemInWays(const table_set &tables)
{
    using way = std::pair<std::string_view, std::string_view>;
    std::map<way, std::string_view> routeOf;
    for (const auto &[name, row] : tables.routes) {
        if (row.host.empty())
            continue;
        const auto [first, added] = routeOf.emplace(way(row.host, row.pathPrefix), name);
        if (!added) {
            return "route/" + name + ".pathPrefix: the same host and prefix as route '"
                    + std::string(first->second) + "'; change one of them";
        }
    }
    return std::nullopt;
}

problem problemInEndpointNames(const table_set &tables)
{
    std::map<std::string_view, std::string_view> poolOf;
    for (const auto &[name, row] : tables.pools) {
        for (const endpoint &listed : row.endpoints) {
            const auto [first, added] = poolOf.emplace(listed.name, name);
            if (!added) {
                return "pool/" + name + "/" + listed.name + ".name: already in pool '"
                        + std::string(first->second) + "'; an endpoint is in one pool, once";
            }
        }
    }
    return std::nullopt;
}

problem problemInKeys(const table_set &tables)
{
    std::map<std::string_view, std::string_view> idOf;
    for (const auto &[id, key] : tables.keys) {
        if (!tables.organisations.contains(key.organisation)) {
            return "key/" + id + ".organisation: there is no organisation '" + key.organisation
                    + "'; create it, or remove its keys in the same edit";
        }
        const auto [first, added] = idOf.emplace(key.digest, id);
        if (!added) {
            return "key/" + id + ".digest: the same key as key/" + std::string(first->second)
                    + "; make a new one";
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<std::string> problemInEdit(const edit_tables &edit)
{
    return firstOf({problemInPart("route", edit.putRoutes, edit.removeRoutes),
                    problemInPart("pool", edit.putPools, edit.removePools),
                    problemInPart("organisation", edit.putOrganisations, edit.removeOrganisations),
                    problemInPart("key", edit.putKeys, edit.removeKeys)});
}

std::optional<std::string> problemInRemovals(const table_set &before, const edit_tables &edit)
{
    return firstOf(
            {problemInRemoval("route", before.routes, edit.removeRoutes),
             problemInRemoval("pool", before.pools, edit.removePools),
             problemInRemoval("organisation", before.organisations, edit.removeOrganisations),
             problemInRemoval("key", before.keys, edit.removeKeys)});
}

std::optional<std::string> problemInReferences(const table_set &tables)
{
    for (const auto &[name, row] : tables.routes) {
        if (auto found = problemInRoutePools(row, tables))
            return found;
    }
    return firstOf({problemInWays(tables), problemInEndpointNames(tables), problemInKeys(tables)});
}

} // namespace yuccascale::kernel::state

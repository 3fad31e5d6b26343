#include "yuccascale/kernel/state/table_rules.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>

namespace yuccascale::kernel::state {

namespace {

using problem = std::optional<std::string>;

constexpr std::size_t maxNameLength = 64;
constexpr std::size_t digestHexDigits = 64;
constexpr std::int64_t maxDeadlineMs = maxRouteDeadline.count();
constexpr double maxWeight = 1e6;
constexpr double maxPricePerHour = 1e4;
constexpr int maxSlots = 4'096;
constexpr int maxPort = 65'535;

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
            || c == '_' || c == '.';
}

problem problemInName(const std::string &row, const std::string &name)
{
    const bool valid = !name.empty() && name.size() <= maxNameLength
            && std::ranges::all_of(name, isNameCharacter);
    if (valid)
        return std::nullopt;
    return row + ".name: '" + name
            + "' is not a valid name; use 1 to 64 characters of a-z, A-Z, 0-9, '-', '_', '.'";
}

template<typename Number>
problem problemInRange(const std::string &field, Number value, Number lowest, Number highest)
{
    if (value >= lowest && value <= highest)
        return std::nullopt;
    return field + ": " + std::to_string(value) + " is out of range; use " + std::to_string(lowest)
            + " to " + std::to_string(highest);
}

problem firstProblem(std::initializer_list<problem> problems)
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
    return port > 0 && port <= maxPort;
}

problem problemInAddress(const std::string &field, const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon != std::string::npos && colon > 0 && isPort(address.substr(colon + 1)))
        return std::nullopt;
    return field + ": '" + address + "' is not a valid address; use IP:port";
}

problem problemInSplit(const std::string &location, const route &row)
{
    double sum = 0;
    for (const pool_share &share : row.split) {
        if (!std::isfinite(share.weight) || share.weight < 0)
            return location
                    + ".split: a weight is negative or not a finite number; set each weight to 0 "
                      "or more";
        sum += share.weight;
    }
    if (!row.split.empty() && sum <= 0)
        return location + ".split: the weights add up to 0; set at least one weight above 0";
    return std::nullopt;
}

problem problemInHostAndPrefix(const std::string &location, const route &row)
{
    const bool neitherSet = row.host.empty() && row.pathPrefix.empty();
    const bool delimited = row.pathPrefix.starts_with('/') && row.pathPrefix.ends_with('/');
    if (neitherSet || (!row.host.empty() && delimited))
        return std::nullopt;
    return location + ".pathPrefix: '" + row.pathPrefix
            + "' must begin and end with '/', and host and pathPrefix must be set together; "
              "correct them or leave both out";
}

problem problemInRow(const route &row)
{
    const std::string location = "route/" + row.name;
    return firstProblem(
            {problemInHostAndPrefix(location, row), problemInSplit(location, row),
             problemInName(location, row.name),
             problemInRange<std::int64_t>(location + ".deadlineMs", row.deadlineMs, 1,
                                          maxDeadlineMs),
             problemInRange<std::int64_t>(location + ".firstTokenMs", row.firstTokenMs, 1,
                                          maxDeadlineMs),
             problemInRange(location + ".maxAttempts", row.maxAttempts, 1, maxRouteAttempts),
             problemInRange(location + ".priority", row.priority, -maxRoutePriority,
                            maxRoutePriority)});
}

problem problemInEndpoint(const std::string &poolLocation, backend_kind kind, const endpoint &row)
{
    const std::string location = poolLocation + "/" + row.name;
    problem zone;
    if (row.zone.empty())
        zone = location + ".zone: missing; name the endpoint's availability zone";
    problem role;
    if (kind == backend_kind::Service && row.role != engine_role::Mixed)
        role = location + ".role: a service endpoint has no role; leave it 'mixed'";
    return firstProblem(
            {problemInName(location, row.name),
             problemInAddress(location + ".address", row.address), zone, role,
             problemInRange(location + ".pricePerHour", row.pricePerHour, 0.0, maxPricePerHour),
             problemInRange(location + ".slots", row.slots, 1, maxSlots)});
}

problem problemInModel(const std::string &location, const pool &row)
{
    if (row.kind == backend_kind::Model && row.model.empty())
        return location + ".model: missing; name the model that its engines load";
    if (row.kind == backend_kind::Service && !row.model.empty())
        return location + ".model: a service pool has no model; leave it out";
    return std::nullopt;
}

problem problemInRow(const pool &row)
{
    const std::string location = "pool/" + row.name;
    if (auto found
        = firstProblem({problemInName(location, row.name), problemInModel(location, row)}))
        return found;
    if (row.minEndpoints < 0 || row.minEndpoints > row.maxEndpoints) {
        return location + ".minEndpoints: " + std::to_string(row.minEndpoints)
                + " is not between 0 and maxEndpoints; lower it or raise maxEndpoints";
    }
    for (const endpoint &listed : row.endpoints) {
        if (auto found = problemInEndpoint(location, row.kind, listed))
            return found;
    }
    return std::nullopt;
}

problem problemInQuota(const std::string &location, const std::vector<token_quota> &quota)
{
    if (quota.size() > 1)
        return location + ".quota: more than one; give one or none";
    for (const token_quota &row : quota) {
        const bool valid = std::isfinite(row.ratePerSecond) && row.ratePerSecond > 0
                && std::isfinite(row.burst) && row.burst >= 0 && std::isfinite(row.plainTokens)
                && row.plainTokens >= 0;
        if (!valid)
            return location
                    + ".quota: the rate is not above 0, or a number is negative or not finite; "
                      "correct it or leave the quota out";
    }
    return std::nullopt;
}

problem problemInRow(const organisation &row)
{
    const std::string location = "organisation/" + row.name;
    if (auto found = problemInName(location, row.name))
        return found;
    if (!std::isfinite(row.weight) || row.weight <= 0 || row.weight > maxWeight)
        return location
                + ".weight: must be above 0 and at most 1000000; set a weight in this range";
    return problemInQuota(location, row.quota);
}

problem problemInRow(const key_record &row)
{
    const std::string location = "key/" + row.id;
    if (auto found = problemInName(location, row.id))
        return found;
    const bool hex = row.digest.size() == digestHexDigits
            && row.digest.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (hex)
        return std::nullopt;
    return location
            + ".digest: not a SHA-256 digest in lower-case hex; create the key with 'key create'";
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
problem problemInRows(std::string_view table, const std::vector<Row> &put,
                      const std::vector<std::string> &remove)
{
    std::set<std::string_view> seen;
    const auto duplicate = [&](const std::string &name) {
        return std::string(table) + "/" + name
                + ": edited twice in one edit; keep one of the two changes";
    };
    for (const Row &row : put) {
        if (auto found = problemInRow(row))
            return found;
        if (!seen.insert(nameOf(row)).second)
            return duplicate(nameOf(row));
    }
    for (const std::string &name : remove) {
        if (!seen.insert(name).second)
            return duplicate(name);
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
                    + ": there is no such row to remove; read the tables for the existing names";
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
    const std::string location = "route/" + row.name + ".pool: ";
    const auto found = tables.pools.find(pool);
    if (found == tables.pools.end()) {
        return location + "there is no pool '" + pool
                + "'; create it in this edit or point the route to another pool";
    }
    if (found->second.kind != row.kind) {
        return location + "pool '" + pool
                + "' is of another kind than the route; make both 'model' or both 'service'";
    }
    if (!row.idempotent && hasOnlyCheapEndpoints(found->second)) {
        return location + "a non-idempotent route needs a steady endpoint; add one to pool '" + pool
                + "'";
    }
    return std::nullopt;
}

problem problemInRoutePools(const route &row, const table_set &tables)
{
    if (row.split.empty())
        return problemInRoutePool(row, row.pool, tables);
    for (const pool_share &share : row.split) {
        if (auto found = problemInRoutePool(row, share.pool, tables))
            return found;
    }
    return std::nullopt;
}

/// Checks that no two routes have the same host and path prefix.
problem problemInDuplicateHosts(const table_set &tables)
{
    using host_and_prefix = std::pair<std::string_view, std::string_view>;
    std::map<host_and_prefix, std::string_view> routeOf;
    for (const auto &[name, row] : tables.routes) {
        if (row.host.empty())
            continue;
        const auto [first, added]
                = routeOf.emplace(host_and_prefix(row.host, row.pathPrefix), name);
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
                        + std::string(first->second) + "'; list each endpoint once, in one pool";
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
            return "key/" + id + ".digest: the same digest as key/" + std::string(first->second)
                    + "; create a new key";
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<std::string> problemInEdit(const edit_tables &edit)
{
    return firstProblem(
            {problemInRows("route", edit.putRoutes, edit.removeRoutes),
             problemInRows("pool", edit.putPools, edit.removePools),
             problemInRows("organisation", edit.putOrganisations, edit.removeOrganisations),
             problemInRows("key", edit.putKeys, edit.removeKeys)});
}

std::optional<std::string> problemInRemovals(const table_set &before, const edit_tables &edit)
{
    return firstProblem(
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
    return firstProblem({problemInDuplicateHosts(tables), problemInEndpointNames(tables),
                         problemInKeys(tables)});
}

} // namespace yuccascale::kernel::state

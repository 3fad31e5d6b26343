#include "yuccascale/http/operator_protocol.hpp"
#include "yuccascale/kernel/json_bounds.hpp"
#include "yuccascale/kernel/state/key_digest.hpp"
#include "yuccascale/platform/names.hpp"

#include <array>
#include <cmath>

/// \file
/// \brief Operator protocol "platform": converts the operator's document into tables.

namespace yuccascale::platform {

namespace {

using kernel::error_kind;
using kernel::fail;
using kernel::json;
using kernel::result;
using namespace kernel::state;

constexpr std::string_view safeKind = "safe";
constexpr std::string_view unsafeKind = "unsafe";
constexpr std::string_view streamingKind = "streaming";
/// Unit of quotas that count tokens; others count requests.
constexpr std::string_view tokenUnit = "generate";
constexpr std::array<std::string_view, 5> documentMembers{"version", "routes", "services",
                                                          "tenants", "limits"};
constexpr int maxDepth = 32;
/// Of a document, objects and lists included.
constexpr std::size_t maxValues = 500'000;
/// Routes, services, tenants and keys of a document together; rows take more memory than their
/// text.
constexpr std::size_t maxRows = 100'000;

/// \returns a member of an object; throws json::exception when it is missing or of another type.
template<typename T>
[[nodiscard]] T required(const json &object, const char *name)
{
    return object.at(name).get<T>();
}

/// \returns a member of an object, or \a fallback when it is missing or null.
template<typename T>
[[nodiscard]] T optional(const json &object, const char *name, T fallback)
{
    const auto found = object.find(name);
    return found == object.end() || found->is_null() ? fallback : found->get<T>();
}

[[nodiscard]] const json::array_t &listOf(const json &object, const char *name, bool mustExist)
{
    static const json::array_t none;
    const auto found = object.find(name);
    if (!mustExist && (found == object.end() || found->is_null()))
        return none;
    if (found == object.end() || !found->is_array())
        throw json::other_error::create(501, std::string(name) + " is missing or not an array",
                                        &object);
    return found->get_ref<const json::array_t &>();
}

/// Sets what the route's kind implies; \returns false when the kind is unknown.
[[nodiscard]] bool setKind(const std::string &kind, bool resumable, route &row)
{
    row.claimed = false;
    row.streamed = kind == streamingKind;
    row.idempotent = kind == safeKind || (row.streamed && resumable);
    return kind == safeKind || kind == unsafeKind || row.streamed;
}

void setPools(const json &object, route &row)
{
    for (const json &part : listOf(object, "traffic_split", false))
        row.split.push_back(
                {required<std::string>(part, "service"), required<double>(part, "weight")});
    if (row.split.empty())
        row.pool = required<std::string>(object, "service");
}

[[nodiscard]] result<route> routeFrom(const json &object, const std::map<std::string, pool> &pools,
                                      bool keysRequired)
{
    route row;
    row.name = required<std::string>(object, "name");
    row.host = required<std::string>(object, "host");
    row.pathPrefix = required<std::string>(object, "path_prefix");
    if (!setKind(required<std::string>(object, "kind"), optional(object, "resumable", false),
                 row)) {
        return fail(error_kind::InvalidArgument, "route/" + row.name + ".kind",
                    "unknown kind; use safe, unsafe or streaming");
    }
    setPools(object, row);
    const auto found = pools.find(row.split.empty() ? row.pool : row.split.front().pool);
    if (found != pools.end())
        row.kind = found->second.kind;
    row.deadlineMs = required<std::int64_t>(object, "timeout_ms");
    row.firstTokenMs = optional<std::int64_t>(object, "target_latency_ms", row.firstTokenMs);
    row.maxAttempts = std::max(optional(object, "max_attempts", 1), 1);
    // the platform serves priority 0 first, this program the greatest priority
    row.priority = -optional(object, "priority", 0);
    const bool openToAll = optional(object, "anonymous", false) || !keysRequired;
    row.access = openToAll ? route_access::Open : route_access::Keyed;
    return row;
}

[[nodiscard]] endpoint_scaling scalingFrom(const json &object)
{
    endpoint_scaling scaling;
    scaling.least = optional(object, "min", 0);
    scaling.most = optional(object, "max", 0);
    scaling.cheapPrice = optional(object, "spot_price", 0.0);
    scaling.zonePrices = optional(object, "zone_prices", scaling.zonePrices);
    return scaling;
}

[[nodiscard]] pool poolFrom(const json &object)
{
    pool row;
    row.name = required<std::string>(object, "name");
    row.discovered = true;
    row.minEndpoints = 0;
    row.maxConnections = optional(object, "max_connections", 0);
    const auto scaling = object.find("scaling");
    if (scaling != object.end() && scaling->is_object())
        row.scaling.push_back(scalingFrom(*scaling));
    const auto engine = object.find("engine");
    const bool model = engine != object.end() && engine->is_object();
    row.kind = model ? backend_kind::Model : backend_kind::Service;
    if (model) {
        row.model = "default";
        row.kvTokenBytes = optional(*engine, "kv_token_bytes", row.kvTokenBytes);
        row.linkMbps = optional(*engine, "link_mbps", row.linkMbps);
        for (const json &modelRow : listOf(*engine, "models", false))
            row.model = required<std::string>(modelRow, "name");
    }
    return row;
}

[[nodiscard]] caller_limits limitsFrom(const json &object)
{
    caller_limits limits;
    limits.headerBytes = optional(object, "max_header_bytes", limits.headerBytes);
    limits.bodyBytes = optional(object, "max_body_bytes", limits.bodyBytes);
    limits.readTimeoutMs = optional(object, "header_timeout_ms", limits.readTimeoutMs);
    limits.idleTimeoutMs = optional(object, "idle_timeout_ms", limits.idleTimeoutMs);
    return limits;
}

[[nodiscard]] bool isAmount(double value) noexcept
{
    return std::isfinite(value) && value >= 0;
}

/// A quota whose rate is 0 or missing is none.
[[nodiscard]] result<std::vector<token_quota>> quotaFrom(const json &object,
                                                         const std::string &tenant)
{
    token_quota quota;
    quota.ratePerSecond = optional(object, "rate_per_s", 0.0);
    quota.burst = optional(object, "burst", 0.0);
    quota.countsTokens = optional(object, "unit", std::string()) == tokenUnit;
    quota.plainTokens = optional(object, "plain_tokens", quota.plainTokens);
    const bool valid
            = isAmount(quota.ratePerSecond) && isAmount(quota.burst) && isAmount(quota.plainTokens);
    if (!valid) {
        return fail(error_kind::InvalidArgument, "tenant/" + tenant,
                    "rate_per_s, burst or plain_tokens is negative or not finite; use 0 or more");
    }
    if (quota.ratePerSecond == 0)
        return std::vector<token_quota>();
    return std::vector<token_quota>{quota};
}

/// \returns an error when \a count more rows exceed what a document may have.
[[nodiscard]] result<void> checkRows(const edit_tables &tables, std::size_t count)
{
    const std::size_t rows = tables.putRoutes.size() + tables.putPools.size()
            + tables.putOrganisations.size() + tables.putKeys.size();
    if (rows + count <= maxRows)
        return {};
    return fail(error_kind::InvalidArgument, "document",
                "more than " + std::to_string(maxRows)
                        + " routes, services, tenants and keys; send fewer");
}

[[nodiscard]] result<void> addTenant(const json &object, edit_tables &tables)
{
    organisation row;
    row.name = required<std::string>(object, "name");
    const auto priority = object.find("priority");
    row.ranked = priority != object.end() && !priority->is_null();
    if (row.ranked)
        row.priority = -priority->get<int>();
    const json::array_t &keys = listOf(object, "api_keys", false);
    BOOST_LEAF_CHECK(checkRows(tables, keys.size()));
    for (const json &key : keys) {
        const std::string id = row.name + "." + std::to_string(tables.putKeys.size());
        tables.putKeys.push_back({id, row.name, keyDigest(key.get<std::string>())});
    }
    BOOST_LEAF_ASSIGN(row.quota, quotaFrom(object, row.name));
    tables.putOrganisations.push_back(std::move(row));
    return {};
}

[[nodiscard]] result<put_document> documentFrom(const json &object)
{
    put_document document;
    document.version = required<std::uint64_t>(object, "version");
    edit_tables &tables = document.tables;
    // a list of tenants requires keys, also an empty one: then no key is valid
    const bool keysRequired = object.contains("tenants");
    const json::array_t &tenants = listOf(object, "tenants", keysRequired);
    const json::array_t &services = listOf(object, "services", true);
    const json::array_t &routes = listOf(object, "routes", true);
    BOOST_LEAF_CHECK(checkRows(tables, tenants.size() + services.size() + routes.size()));
    for (const json &tenant : tenants)
        BOOST_LEAF_CHECK(addTenant(tenant, tables));
    std::map<std::string, pool> pools;
    for (const json &service : services) {
        tables.putPools.push_back(poolFrom(service));
        pools[tables.putPools.back().name] = tables.putPools.back();
    }
    for (const json &route : routes) {
        BOOST_LEAF_AUTO(row, routeFrom(route, pools, keysRequired));
        tables.putRoutes.push_back(std::move(row));
    }
    const auto limits = object.find("limits");
    if (limits != object.end() && limits->is_object())
        tables.putLimits.push_back(limitsFrom(*limits));
    return document;
}

class platform_operator_protocol final : public http::operator_protocol
{
public:
    [[nodiscard]] std::optional<http::document_call>
    callOf(const net::http_request &httpRequest) const override
    {
        if (httpRequest.path() != calls::document)
            return std::nullopt;
        if (httpRequest.method == "PUT")
            return http::document_call::Put;
        if (httpRequest.method == "GET")
            return http::document_call::Get;
        return std::nullopt;
    }

    [[nodiscard]] result<put_document> readDocument(std::string_view bytes) const override
    {
        const json object = kernel::readBounded(bytes, {documentMembers, maxDepth, maxValues});
        if (!object.is_object())
            return fail(error_kind::InvalidArgument, "document",
                        "not a JSON object, truncated, nested in more than "
                                + std::to_string(maxDepth) + " lists, or of more than "
                                + std::to_string(maxValues)
                                + " values; send the whole document, or a smaller one");
        try {
            BOOST_LEAF_AUTO(document, documentFrom(object));
            document.bytes = std::string(bytes);
            return document;
        } catch (const json::exception &problem) {
            return fail(error_kind::InvalidArgument, "document", problem.what());
        }
    }

    [[nodiscard]] bool namesVersion(std::string_view, std::uint64_t) const override { return true; }
};

const http::operator_protocol_registry::registration addPlatform{
        "platform", [] { return std::make_unique<platform_operator_protocol>(); }};

} // namespace

} // namespace yuccascale::platform

#include "yuccascale/http/operator_protocol.hpp"
#include "yuccascale/kernel/json_bounds.hpp"
#include "yuccascale/kernel/json_members.hpp"
#include "yuccascale/kernel/policy/zone_plan.hpp"
#include "yuccascale/kernel/state/key_digest.hpp"
#include "yuccascale/kernel/state/table_rules.hpp"
#include "yuccascale/platform/document_part.hpp"
#include "yuccascale/platform/names.hpp"
#include "yuccascale/platform/split_kinds.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <set>
#include <span>

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

constexpr whole_range routePriorityRange{-maxRoutePriority, maxRoutePriority};
constexpr whole_range tenantPriorityRange{-1'000'000, 1'000'000};
constexpr whole_range attemptRange{0, maxRouteAttempts};
constexpr whole_range timeoutRange{1, std::numeric_limits<std::int64_t>::max()}; ///< ms
constexpr whole_range limitRange{0, std::numeric_limits<std::int64_t>::max()};   ///< bytes or ms
constexpr whole_range connectionRange{0, std::numeric_limits<int>::max()};
constexpr whole_range serverRange{0, kernel::policy::mostPerZone}; ///< of an availability zone
constexpr whole_range tokenByteRange{0, std::int64_t{1} << 30};
/// Stored versions from here on may be negative numbers that a former build took for others.
constexpr std::uint64_t firstDoubtfulVersion = std::uint64_t{1} << 63U;
constexpr std::array<std::string_view, 1> versionMember{"version"};

/// Reads an integer that the range keeps within an int.
[[nodiscard]] result<int> smallWhole(const document_part &part, std::string_view name,
                                     const whole_range &range, int fallback)
{
    BOOST_LEAF_AUTO(number, part.whole(name, range, fallback));
    return static_cast<int>(number);
}

/// Sets what the route's kind implies; \returns false when the kind is unknown.
[[nodiscard]] bool setKind(const std::string &kind, bool resumable, route &row)
{
    row.claimed = false;
    row.streamed = kind == streamingKind;
    row.idempotent = kind == safeKind || (row.streamed && resumable);
    return kind == safeKind || kind == unsafeKind || row.streamed;
}

[[nodiscard]] result<std::vector<pool_share>> splitFrom(const document_part &part)
{
    std::vector<pool_share> split;
    BOOST_LEAF_AUTO(shares, part.optionalList("traffic_split"));
    for (const json &share : shares) {
        BOOST_LEAF_AUTO(item,
                        document_part::element(share, part.where("traffic_split"), split.size()));
        BOOST_LEAF_AUTO(service, item.text("service"));
        BOOST_LEAF_AUTO(weight, item.number("weight"));
        split.push_back({std::move(service), weight});
    }
    return split;
}

using service_names = std::set<std::string, std::less<>>;

/// A split takes precedence over a service, which must exist all the same.
[[nodiscard]] result<void> setPools(const document_part &part, const service_names &services,
                                    route &row)
{
    BOOST_LEAF_ASSIGN(row.split, splitFrom(part));
    if (row.split.empty()) {
        BOOST_LEAF_ASSIGN(row.pool, part.text("service"));
    } else if (part.has("service")) {
        BOOST_LEAF_AUTO(service, part.text("service"));
        if (!services.contains(service)) {
            return fail(error_kind::InvalidArgument, part.where("service"),
                        "there is no service '" + service
                                + "'; name one of the document's services or leave it out");
        }
    }
    return {};
}

[[nodiscard]] result<route> routeFrom(const document_part &part, const service_names &services,
                                      bool keysRequired)
{
    route row;
    BOOST_LEAF_ASSIGN(row.name, part.text("name"));
    BOOST_LEAF_ASSIGN(row.host, part.text("host"));
    BOOST_LEAF_ASSIGN(row.pathPrefix, part.text("path_prefix"));
    BOOST_LEAF_AUTO(kind, part.text("kind"));
    BOOST_LEAF_AUTO(resumable, part.flag("resumable", false));
    if (!setKind(kind, resumable, row))
        return fail(error_kind::InvalidArgument, part.where("kind"),
                    "unknown kind; use safe, unsafe or streaming");
    BOOST_LEAF_CHECK(setPools(part, services, row));
    BOOST_LEAF_ASSIGN(row.deadlineMs, part.whole("timeout_ms", timeoutRange));
    BOOST_LEAF_ASSIGN(row.firstTokenMs,
                      part.whole("target_latency_ms", timeoutRange, row.firstTokenMs));
    BOOST_LEAF_AUTO(mostAttempts, smallWhole(part, "max_attempts", attemptRange, 1));
    row.maxAttempts = std::max(mostAttempts, 1);
    // the platform serves priority 0 first, this program the greatest priority
    BOOST_LEAF_AUTO(rank, smallWhole(part, "priority", routePriorityRange, 0));
    row.priority = -rank;
    BOOST_LEAF_AUTO(anonymous, part.flag("anonymous", false));
    row.access = anonymous || !keysRequired ? route_access::Open : route_access::Keyed;
    return row;
}

[[nodiscard]] result<endpoint_scaling> scalingFrom(const document_part &part)
{
    endpoint_scaling scaling;
    BOOST_LEAF_ASSIGN(scaling.most, smallWhole(part, "max", serverRange, 0));
    BOOST_LEAF_AUTO(least, smallWhole(part, "min", serverRange, 0));
    scaling.least = std::min(least, scaling.most); // the maximum bounds the cost
    BOOST_LEAF_ASSIGN(scaling.cheapPrice, part.amount("spot_price", 0.0));
    BOOST_LEAF_AUTO(prices, part.object("zone_prices"));
    if (!prices)
        return scaling;
    for (const std::string &zone : prices->names()) {
        if (!prices->has(zone))
            continue;
        BOOST_LEAF_ASSIGN(scaling.zonePrices[zone], prices->amount(zone, 0.0));
    }
    return scaling;
}

/// The last of several models counts.
[[nodiscard]] result<void> setEngine(const document_part &part, pool &row)
{
    row.kind = backend_kind::Model;
    row.model = unnamedModel;
    BOOST_LEAF_ASSIGN(row.kvTokenBytes,
                      part.whole("kv_token_bytes", tokenByteRange, row.kvTokenBytes));
    BOOST_LEAF_ASSIGN(row.linkMbps, part.amount("link_mbps", row.linkMbps));
    BOOST_LEAF_AUTO(models, part.optionalList("models"));
    std::size_t index = 0;
    for (const json &model : models) {
        BOOST_LEAF_AUTO(item, document_part::element(model, part.where("models"), index++));
        BOOST_LEAF_ASSIGN(row.model, item.text("name"));
    }
    return {};
}

[[nodiscard]] result<pool> poolFrom(const document_part &part)
{
    pool row;
    row.kind = backend_kind::Service;
    row.discovered = true;
    row.minEndpoints = 0;
    BOOST_LEAF_ASSIGN(row.name, part.text("name"));
    BOOST_LEAF_ASSIGN(row.maxConnections, smallWhole(part, "max_connections", connectionRange, 0));
    BOOST_LEAF_AUTO(scaling, part.object("scaling"));
    if (scaling) {
        BOOST_LEAF_AUTO(bounds, scalingFrom(*scaling));
        row.scaling.push_back(std::move(bounds));
    }
    BOOST_LEAF_AUTO(engine, part.object("engine"));
    if (engine)
        BOOST_LEAF_CHECK(setEngine(*engine, row));
    return row;
}

[[nodiscard]] result<caller_limits> limitsFrom(const document_part &part)
{
    caller_limits limits;
    BOOST_LEAF_ASSIGN(limits.headerBytes,
                      part.whole("max_header_bytes", limitRange, limits.headerBytes));
    BOOST_LEAF_ASSIGN(limits.bodyBytes, part.whole("max_body_bytes", limitRange, limits.bodyBytes));
    BOOST_LEAF_ASSIGN(limits.readTimeoutMs,
                      part.whole("header_timeout_ms", limitRange, limits.readTimeoutMs));
    BOOST_LEAF_ASSIGN(limits.idleTimeoutMs,
                      part.whole("idle_timeout_ms", limitRange, limits.idleTimeoutMs));
    return limits;
}

/// A quota whose rate is 0 or missing is none.
[[nodiscard]] result<std::vector<token_quota>> quotaFrom(const document_part &part)
{
    token_quota quota;
    BOOST_LEAF_ASSIGN(quota.ratePerSecond, part.amount("rate_per_s", 0.0));
    BOOST_LEAF_ASSIGN(quota.burst, part.amount("burst", 0.0));
    BOOST_LEAF_AUTO(unit, part.text("unit", ""));
    quota.countsTokens = unit == tokenUnit;
    BOOST_LEAF_ASSIGN(quota.plainTokens, part.amount("plain_tokens", quota.plainTokens));
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

[[nodiscard]] result<void> addKeys(const document_part &part, const std::string &tenant,
                                   edit_tables &tables)
{
    BOOST_LEAF_AUTO(keys, part.optionalList("api_keys"));
    BOOST_LEAF_CHECK(checkRows(tables, keys.size()));
    for (const json &key : keys) {
        if (!key.is_string())
            return fail(error_kind::InvalidArgument, part.where("api_keys"),
                        "a key is no text; send a list of texts");
        const std::string id = tenant + "." + std::to_string(tables.putKeys.size());
        tables.putKeys.push_back({id, tenant, keyDigest(key.get_ref<const std::string &>())});
    }
    return {};
}

[[nodiscard]] result<void> addTenant(const document_part &part, edit_tables &tables)
{
    organisation row;
    BOOST_LEAF_ASSIGN(row.name, part.text("name"));
    row.ranked = part.has("priority");
    BOOST_LEAF_AUTO(rank, smallWhole(part, "priority", tenantPriorityRange, 0));
    row.priority = -rank;
    BOOST_LEAF_CHECK(addKeys(part, row.name, tables));
    BOOST_LEAF_ASSIGN(row.quota, quotaFrom(part));
    tables.putOrganisations.push_back(std::move(row));
    return {};
}

/// Reads each object of a list and passes it on.
template<typename Add>
[[nodiscard]] result<void> readEach(std::span<const json> list, const std::string &name, Add add)
{
    for (std::size_t index = 0; index < list.size(); ++index) {
        BOOST_LEAF_AUTO(part, document_part::element(list[index], name, index));
        BOOST_LEAF_CHECK(add(part));
    }
    return {};
}

/// \returns the names of the services.
[[nodiscard]] result<service_names> addServices(std::span<const json> services, edit_tables &tables)
{
    service_names names;
    BOOST_LEAF_CHECK(readEach(services, "services", [&](const document_part &part) -> result<void> {
        BOOST_LEAF_AUTO(row, poolFrom(part));
        names.insert(row.name);
        tables.putPools.push_back(std::move(row));
        return {};
    }));
    return names;
}

[[nodiscard]] result<void> addLimits(const document_part &document, edit_tables &tables)
{
    BOOST_LEAF_AUTO(limits, document.object("limits"));
    if (!limits)
        return {};
    BOOST_LEAF_AUTO(row, limitsFrom(*limits));
    tables.putLimits.push_back(row);
    return {};
}

[[nodiscard]] result<put_document> documentFrom(const json &object)
{
    const document_part part(object, "");
    put_document document;
    BOOST_LEAF_ASSIGN(document.version, part.version("version"));
    edit_tables &tables = document.tables;
    // a list of tenants requires keys, also an empty one: then no key is valid
    const bool keysRequired = object.contains("tenants");
    BOOST_LEAF_AUTO(tenants, keysRequired ? part.list("tenants") : part.optionalList("tenants"));
    BOOST_LEAF_AUTO(services, part.list("services"));
    BOOST_LEAF_AUTO(routes, part.list("routes"));
    BOOST_LEAF_CHECK(checkRows(tables, tenants.size() + services.size() + routes.size()));
    BOOST_LEAF_CHECK(readEach(tenants, "tenants", [&](const document_part &tenant) {
        return addTenant(tenant, tables);
    }));
    BOOST_LEAF_AUTO(names, addServices(services, tables));
    BOOST_LEAF_CHECK(readEach(routes, "routes", [&](const document_part &route) -> result<void> {
        BOOST_LEAF_AUTO(row, routeFrom(route, names, keysRequired));
        tables.putRoutes.push_back(std::move(row));
        return {};
    }));
    alignKinds(tables);
    BOOST_LEAF_CHECK(addLimits(part, tables));
    return document;
}

/// \returns the version that a text names; nothing when it is none that is read today.
[[nodiscard]] std::optional<std::uint64_t> namedVersion(std::string_view bytes)
{
    const auto members = kernel::readScalarMembers(bytes, versionMember);
    if (!members)
        return std::nullopt;
    const auto found = members->find("version");
    if (found == members->end() || !found->second.is_number_unsigned())
        return std::nullopt;
    return found->second.get<std::uint64_t>();
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
        BOOST_LEAF_AUTO(object, kernel::readBounded(bytes, {documentMembers, maxDepth, maxValues}));
        BOOST_LEAF_AUTO(document, documentFrom(object));
        document.bytes = std::string(bytes);
        return document;
    }

    [[nodiscard]] bool namesVersion(std::string_view bytes,
                                    std::uint64_t storedVersion) const override
    {
        return storedVersion < firstDoubtfulVersion || namedVersion(bytes) == storedVersion;
    }
};

const http::operator_protocol_registry::registration addPlatform{
        "platform", [] { return std::make_unique<platform_operator_protocol>(); }};

} // namespace

} // namespace yuccascale::platform

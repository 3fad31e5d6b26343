#pragma once

#include "yuccascale/kernel/json.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// \file
/// \brief The tables that operators edit: routes, pools, organisations and keys.

namespace yuccascale::kernel::state {

/// \brief Who may call a route.
enum class route_access { Keyed, Open };

/// \brief What a route forwards to and a pool lists.
enum class backend_kind { Model, Service };

/// \brief Phases of a request that an engine runs. A service endpoint is always Mixed.
enum class engine_role { Mixed, Prefill, Decode };

/// \brief Whether an endpoint is kept (Steady) or may be reclaimed at a few seconds' notice
/// (Cheap).
enum class endpoint_tenure { Steady, Cheap };

NLOHMANN_JSON_SERIALIZE_ENUM(route_access,
                             {{route_access::Keyed, "keyed"}, {route_access::Open, "open"}})
NLOHMANN_JSON_SERIALIZE_ENUM(backend_kind,
                             {{backend_kind::Model, "model"}, {backend_kind::Service, "service"}})
NLOHMANN_JSON_SERIALIZE_ENUM(engine_role,
                             {{engine_role::Mixed, "mixed"},
                              {engine_role::Prefill, "prefill"},
                              {engine_role::Decode, "decode"}})
NLOHMANN_JSON_SERIALIZE_ENUM(endpoint_tenure,
                             {{endpoint_tenure::Steady, "steady"},
                              {endpoint_tenure::Cheap, "cheap"}})

/// \brief A pool's share of a route's requests.
struct pool_share
{
    std::string pool;
    double weight = 1.0; ///< relative to the weights of the route's other pools

    [[nodiscard]] bool operator==(const pool_share &) const = default;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(pool_share, pool, weight)
};

/// \brief A named target of callers' requests; it refers to its pool by name.
struct route
{
    std::string name;
    std::string pool; ///< name of the pool that serves it; empty when it is split
    backend_kind kind = backend_kind::Model;
    route_access access = route_access::Keyed;
    bool idempotent = true; ///< false: a request runs at most once
    bool claimed = true; ///< a non-idempotent request needs an idempotency key, which is claimed in
                         ///< the log; false: its callers never send one request twice
    std::int64_t deadlineMs = 30'000;   ///< time for the whole answer
    std::int64_t firstTokenMs = 1'300;  ///< target time to the first token
    int priority = 0;                   ///< larger values first, within an organisation's share
    int maxAttempts = 5;                ///< endpoints that one request may be sent to
    bool streamed = false;              ///< answers with event streams even if not requested
    std::string host = {};              ///< empty: requests name the route itself
    std::string pathPrefix = {};        ///< of its requests to that host; begins and ends with '/'
    std::vector<pool_share> split = {}; ///< several pools by weight, instead of pool

    [[nodiscard]] bool operator==(const route &) const = default;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(route, name, pool, kind, access, idempotent,
                                                claimed, deadlineMs, firstTokenMs, priority,
                                                maxAttempts, streamed, host, pathPrefix, split)
};

/// \brief An engine or a plain service that a pool lists.
struct endpoint
{
    std::string name;
    std::string address; ///< IP:port
    std::string zone;    ///< availability zone
    engine_role role = engine_role::Mixed;
    endpoint_tenure tenure = endpoint_tenure::Steady;
    bool fencesOrders = true; ///< refuses an order with an older fencing token
    double pricePerHour = 1.0;
    int slots = 16;        ///< requests that it runs in one batch
    bool draining = false; ///< gets no new requests; set by an operator, a VM's stop notice or an
                           ///< open order
    std::uint64_t drainingForOrder = 0; ///< the open order that set draining; 0: none
    std::int64_t startedMs = 0;       ///< when its process started, on the wall clock; 0: not known
    std::string softwareVersion = {}; ///< of the endpoint itself, not of its model's weights

    [[nodiscard]] bool operator==(const endpoint &) const = default;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(endpoint, name, address, zone, role, tenure,
                                                fencesOrders, pricePerHour, slots, draining,
                                                drainingForOrder, startedMs, softwareVersion)
};

/// \brief What the platform can start for a pool, and at what prices.
struct endpoint_scaling
{
    int least = 0;         ///< minimum of endpoints in each availability zone
    int most = 0;          ///< maximum of endpoints in each availability zone
    double cheapPrice = 0; ///< of a reclaimable endpoint, relative to a steady one
    std::map<std::string, double> zonePrices; ///< by availability zone

    [[nodiscard]] bool operator==(const endpoint_scaling &) const = default;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(endpoint_scaling, least, most, cheapPrice,
                                                zonePrices)
};

/// \brief A named set of endpoints of one kind.
struct pool
{
    std::string name;
    backend_kind kind = backend_kind::Model;
    std::string model; ///< model the engines must have loaded; empty for services
    std::string version;
    std::vector<std::string> adapters;
    int minEndpoints = 1;
    int maxEndpoints = 64;
    int maxConnections = 0;  ///< per endpoint, from all entries together; 0: no limit
    bool discovered = false; ///< its endpoints come from the platform's list, not from this row
    std::int64_t kvTokenBytes = 0; ///< size of a token in the KV cache; 0: not known
    double linkMbps = 0; ///< of an engine's link for KV cache transfers, Mbit/s; 0: not known
    std::vector<endpoint> endpoints;
    /// One item, or none when numbers of endpoints cannot be ordered for it from the platform
    std::vector<endpoint_scaling> scaling = {};

    [[nodiscard]] bool operator==(const pool &) const = default;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(pool, name, kind, model, version, adapters,
                                                minEndpoints, maxEndpoints, maxConnections,
                                                discovered, kvTokenBytes, linkMbps, endpoints,
                                                scaling)
};

/// \brief What an organisation may use over all entries together.
struct token_quota
{
    double ratePerSecond = 0;
    double burst = 0;
    bool countsTokens = false; ///< false: each request counts as one
    double plainTokens = 1;    ///< of a request that does not say how many it has

    [[nodiscard]] bool operator==(const token_quota &) const = default;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(token_quota, ratePerSecond, burst, countsTokens,
                                                plainTokens)
};

/// \brief A customer with its share of the fleet.
struct organisation
{
    std::string name;
    double weight = 1.0;                 ///< share relative to the others' weights
    bool ranked = false;                 ///< its priority takes precedence over that of its routes
    int priority = 0;                    ///< larger values first; used only when ranked
    std::vector<token_quota> quota = {}; ///< one item, or none when it may use what there is

    [[nodiscard]] bool operator==(const organisation &) const = default;

    /// A row without a quota is written as builds that know none write it.
    friend void to_json(nlohmann::json &out, const organisation &row)
    {
        out = {{"name", row.name},
               {"weight", row.weight},
               {"ranked", row.ranked},
               {"priority", row.priority}};
        if (!row.quota.empty())
            out["quota"] = row.quota;
    }

    friend void from_json(const nlohmann::json &in, organisation &row)
    {
        const organisation usual;
        row.name = in.value("name", usual.name);
        row.weight = in.value("weight", usual.weight);
        row.ranked = in.value("ranked", usual.ranked);
        row.priority = in.value("priority", usual.priority);
        row.quota = in.value("quota", usual.quota);
    }
};

/// \brief A key's record; the key itself is shown once and never stored.
struct key_record
{
    std::string id;
    std::string organisation;
    std::string digest; ///< SHA-256 of the key, lower-case hex

    [[nodiscard]] bool operator==(const key_record &) const = default;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(key_record, id, organisation, digest)
};

/// \brief Limits on the size and duration of callers' requests.
struct caller_limits
{
    std::int64_t headerBytes = 16 << 10;
    std::int64_t bodyBytes = 8 << 20;
    std::int64_t readTimeoutMs = 10'000; ///< to receive a whole request
    std::int64_t idleTimeoutMs = 15'000; ///< between two requests of a connection

    [[nodiscard]] bool operator==(const caller_limits &) const = default;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(caller_limits, headerBytes, bodyBytes,
                                                readTimeoutMs, idleTimeoutMs)
};

/// \brief A complete revision of the tables, as every node uses it.
///
/// \example
///     const auto found = tables.routes.find("briefing");
struct table_set
{
    std::uint64_t revision = 0; ///< increases with each accepted edit and each change by an order
    std::uint64_t editableFrom = 0; ///< an edit based on this revision or a later one is accepted
    std::map<std::string, route> routes;
    std::map<std::string, pool> pools;
    std::map<std::string, organisation> organisations;
    std::map<std::string, key_record> keys; ///< by key id
    std::vector<caller_limits> limits; ///< one item, or none when the limits of the settings apply
    /// Of the operator's document that the tables came from; 0: none
    std::uint64_t documentVersion = 0;

    [[nodiscard]] bool operator==(const table_set &) const = default;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(table_set, revision, editableFrom, routes, pools,
                                                organisations, keys, limits, documentVersion)
};

} // namespace yuccascale::kernel::state

#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/encoded_value.hpp"
#include "yuccascale/kernel/feed/endpoint_change.hpp"
#include "yuccascale/kernel/feed/endpoint_list.hpp"
#include "yuccascale/kernel/feed/origin_report.hpp"
#include "yuccascale/kernel/state/commands.hpp"
#include "yuccascale/kernel/state/tables.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Messages of the feed, which distributes the confirmed revision to every node.

namespace yuccascale::kernel::feed {

/// \brief Status of a node. A node reports itself, and a relay also the nodes that poll it.
struct node_report
{
    std::string node;
    std::uint64_t incarnation = 0; ///< differs after each restart
    std::uint64_t revision = 0;    ///< in force on that node
    std::int64_t ageMs = 0;        ///< time since the report was received
    bool leaving = false;          ///< it is shutting down
    std::string link = {};         ///< IP:port for the other nodes
    std::string callers = {};      ///< IP:port for callers; empty when it serves none
    std::string zone = {};
    bool control = false;       ///< it has the control role
    std::int64_t wallMs = 0;    ///< its wall clock when it made the report
    std::string operators = {}; ///< IP:port of the operator's document interface; may be empty
    bool endpointsLost = false; ///< it reaches no endpoint, so that other entries serve for it

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(node_report, node, incarnation, revision, ageMs,
                                                leaving, link, callers, zone, control, wallMs,
                                                operators, endpointsLost)
};

/// \brief Turns the list of nodes with one digest into the list with another one.
struct node_change
{
    std::uint64_t from = 0; ///< digest of the former list
    std::uint64_t to = 0;   ///< digest of the result
    std::vector<node_report> put;
    std::vector<std::string> removed; ///< names
};

/// \brief Request to a relay or the leader for what is in force.
struct feed_request
{
    std::uint64_t haveRevision = 0;
    bool haveTables = false;                ///< false after a restart: the full tables are needed
    std::uint64_t haveBansVersion = 0;      ///< version of the banned fingerprints held
    std::vector<node_report> reports;       ///< this node first, then those it relays for
    std::uint64_t haveEndpointsVersion = 0; ///< version of the endpoint list held
    bool wantOrigins = false; ///< it does not know what was in force before it began to watch
    bool confirmNow = false;  ///< what the leader confirmed a moment ago is too old for it
    std::uint64_t haveEndpointsDigest = 0; ///< of the endpoint list held; 0: none
    /// Since the list held was asked for at the platform, at most; nothing: not known
    std::optional<milliseconds> endpointsAge = {};
    bool takesEndpointChanges = false; ///< else only a whole list is of use
    /// Of the list of nodes held; 0: a whole list is wanted
    std::uint64_t nodesDigest = 0;
};

/// \brief What is in force, and for how long it may be used.
struct feed_reply
{
    bool confirmed = false;      ///< false: only leader and endpoints are valid
    std::string leader;          ///< as far as known
    std::int64_t freshForMs = 0; ///< remaining freshness, counted from when the request was sent
    std::uint64_t revision = 0;
    /// From haveRevision to revision, in order
    std::vector<encoded_pointer<state::edit_tables>> edits;
    /// One item when the edits are not available
    std::vector<encoded_pointer<state::table_set>> fullTables;
    std::uint64_t bansVersion = 0;
    std::vector<std::string> bans;  ///< full list when bansVersion is not haveBansVersion
    std::vector<node_report> nodes; ///< those with a recent report that are not leaving
    /// One item when it is newer than haveEndpointsVersion
    std::vector<encoded_pointer<endpoint_list>> endpoints;
    std::int64_t clusterWallMs = 0; ///< agreed time when the reply was made; 0: not known
    origin_report origins;          ///< when wanted; older builds say nothing
    /// No node uses older tables for longer than promised; 0: not known, as in older builds
    std::uint64_t settledRevision = 0;
    std::uint64_t endpointsDigest = 0; ///< of the list that the sender holds; 0: none
    /// Since that list was asked for at the platform, at most; nothing: not known
    std::optional<milliseconds> endpointsAge = {};
    milliseconds endpointsAgeSpread{}; ///< the age may be less by this
    /// From haveEndpointsDigest to endpointsDigest, in order, in place of the list
    std::vector<encoded_pointer<endpoint_change>> endpointChanges;
    /// Of the sender's list of nodes; 0: the list is whole
    std::uint64_t nodesDigest = 0;
    /// From the requested nodesDigest to this one, in order, in place of the list
    std::vector<std::shared_ptr<const node_change>> nodeChanges;
};

} // namespace yuccascale::kernel::feed

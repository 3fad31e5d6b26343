#pragma once

#include "yuccascale/kernel/state/commands.hpp"
#include "yuccascale/kernel/state/tables.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// \brief Messages of the feed: how a confirmed revision reaches every node.

namespace yuccascale::kernel::feed {

/// \brief What a node tells of itself, and a relay of the nodes that ask it.
struct node_report
{
    std::string node;
    std::uint64_t incarnation = 0; ///< differs after each restart
    std::uint64_t revision = 0;    ///< in force there
    std::int64_t ageMs = 0;        ///< since it was heard
    bool leaving = false;          ///< it is shutting down

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(node_report, node, incarnation, revision, ageMs,
                                                leaving)
};

/// \brief Asks a relay or the leader for what is in force.
struct feed_request
{
    std::uint64_t haveRevision = 0;
    bool haveTables = false;          ///< false after a restart: the whole tables are wanted
    std::uint64_t haveBans = 0;       ///< version of the banned fingerprints held
    std::vector<node_report> reports; ///< this node first, then those it relays for
};

/// \brief What is in force, and for how long it may be acted on.
struct feed_reply
{
    bool confirmed = false;      ///< false: nothing below holds but the leader's name
    std::string leader;          ///< as far as known
    std::int64_t freshForMs = 0; ///< counted from when the request was sent
    std::uint64_t revision = 0;
    std::vector<state::edit_tables> edits; ///< from haveRevision to revision, in order
    std::vector<state::table_set> whole;   ///< one item when the edits are not at hand
    std::uint64_t bansVersion = 0;
    std::vector<std::string> bans;        ///< whole list when bansVersion is not haveBans
    std::vector<std::string> unavailable; ///< entries that callers should not be sent to
};

} // namespace yuccascale::kernel::feed

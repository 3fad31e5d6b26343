#pragma once

#include "yuccascale/kernel/consensus/types.hpp"

#include <variant>

/// \file
/// \brief Messages between replicas.

namespace yuccascale::kernel::consensus {

/// \brief Asks for a vote, or with \a preVote whether a vote would be granted.
struct vote_request
{
    bool preVote = false;
    term_number candidateTerm = 0;
    log_index lastIndex = 0;
    term_number lastTerm = 0;
    /// Boot id of the receiver, from its reply in a pre-vote round that showed no leader. The
    /// receiver then need not wait an election timeout after its start. Otherwise 0.
    std::uint64_t bootId = 0;
};

/// \brief Answer to a vote_request.
struct vote_reply
{
    bool preVote = false;
    bool granted = false;
    term_number candidateTerm = 0; ///< of the request
    /// Boot id of the sender when it refuses the vote only because it has just started and may have
    /// acknowledged a leader before that; otherwise 0.
    std::uint64_t bootId = 0;
};

/// \brief Entries after \a previousIndex; without entries a heartbeat.
struct append_request
{
    log_index previousIndex = 0;
    term_number previousTerm = 0;
    log_index commit = 0;
    instant sentAt{}; ///< leader's clock before sending; echoed in the reply
    std::vector<log_entry> entries;
};

/// \brief Answer to an append_request, sent once its entries are durable.
struct append_reply
{
    bool accepted = false;
    log_index matched = 0; ///< accepted: the logs agree up to here; refused: retry after this index
    log_index previousIndex = 0;     ///< of the request
    instant sentAt{};                ///< of the request
    std::uint32_t commandFormat = 0; ///< newest one that the sender applies; 0: former builds
};

/// \brief A piece of the leader's snapshot.
struct snapshot_chunk
{
    log_index index = 0;
    term_number snapshotTerm = 0;
    membership members;
    std::uint64_t offset = 0;
    std::uint64_t total = 0; ///< bytes of the whole snapshot
    instant sentAt{};
    std::string bytes;
};

/// \brief Answer to a snapshot_chunk. The answer to the last chunk is sent after the snapshot is
/// durable.
struct snapshot_reply
{
    log_index index = 0;
    std::uint64_t received = 0; ///< bytes so far
    bool installed = false;
    instant sentAt{}; ///< of the chunk
};

/// \brief Request to join the cluster, from a replica that is not a member.
struct join_request
{ };

/// \brief Answer to a join_request.
struct join_reply
{
    bool empty = false;       ///< the sender has no log
    std::string leader;       ///< the last one that the sender knows; may be empty
    bool mayNotStart = false; ///< the sender starts no log: this is not its first start
};

using message_body = std::variant<vote_request, vote_reply, append_request, append_reply,
                                  snapshot_chunk, snapshot_reply, join_request, join_reply>;

/// \brief A message with its sender and receiver. A receiver of another incarnation drops it.
struct message
{
    member_id from;
    member_id to;
    term_number term = 0; ///< the sender's current term
    message_body body;
};

} // namespace yuccascale::kernel::consensus

#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/json.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

/// \file
/// \brief Values of the replicated log: members, entries, durable state and snapshots.

namespace yuccascale::kernel::consensus {

using term_number = std::uint64_t; ///< increases with each election; a term has at most one leader
using log_index = std::uint64_t;   ///< the first entry has index 1

/// \brief A replica with its data: a replica that lost its disk keeps its name and gets another
/// incarnation.
struct member_id
{
    std::string name;
    std::uint64_t incarnation = 0;

    [[nodiscard]] bool operator==(const member_id &) const = default;
    [[nodiscard]] bool operator<(const member_id &other) const
    {
        return std::tie(name, incarnation) < std::tie(other.name, other.incarnation);
    }

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(member_id, name, incarnation)
};

/// \brief The replicas that vote and those that only receive the log.
struct membership
{
    std::vector<member_id> voters;
    std::vector<member_id> learners;

    [[nodiscard]] bool operator==(const membership &) const = default;

    /// \returns true when \a member votes.
    [[nodiscard]] bool hasVoter(const member_id &member) const;

    /// \returns true when \a member is a voter or a learner.
    [[nodiscard]] bool has(const member_id &member) const;

    /// \returns the member of that name in any incarnation, or nothing.
    [[nodiscard]] std::optional<member_id> findByName(const std::string &name) const;

    /// \returns how many voters make a quorum.
    [[nodiscard]] std::size_t quorum() const noexcept { return voters.size() / 2 + 1; }

    /// \returns voters and learners.
    [[nodiscard]] std::vector<member_id> all() const;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(membership, voters, learners)
};

/// \brief What an entry holds.
enum class entry_kind : std::uint8_t {
    Noop = 0,       ///< first entry of a leader's term
    Command = 1,    ///< payload of the log's consumer
    Membership = 2, ///< a membership in CBOR, in force as soon as it is in the log
};

/// \brief One entry of the log.
struct log_entry
{
    term_number term = 0;
    log_index index = 0;
    entry_kind kind = entry_kind::Noop;
    std::string payload;

    [[nodiscard]] bool operator==(const log_entry &) const = default;
};

/// \brief Raft's persistent state: durable before messages that depend on it are sent.
struct hard_state
{
    term_number term = 0;
    std::optional<member_id> votedFor; ///< in this term

    [[nodiscard]] bool operator==(const hard_state &) const = default;
};

/// \brief The consumer's whole state after the entry at \a index.
struct snapshot_data
{
    log_index index = 0;
    term_number term = 0; ///< of the entry at index
    membership members;   ///< in force at index
    std::shared_ptr<const std::string> bytes;
};

/// \brief State that a replica recovers from its disk when it starts.
struct durable_state
{
    hard_state hardState;
    std::optional<snapshot_data> snapshot;
    std::vector<log_entry> entries; ///< contiguous; the first follows the snapshot
};

} // namespace yuccascale::kernel::consensus

#pragma once

#include "yuccascale/kernel/state/commands.hpp"
#include "yuccascale/kernel/state/leader_view.hpp"
#include "yuccascale/kernel/state/limits.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

/// \file
/// \brief The deterministic state machine over the replicated log.

namespace yuccascale::kernel::state {

/// \brief Applies committed commands in log order. Not thread-safe; its owner serialises calls.
///
/// Each kind of command is applied by one component (tables, claims, usage windows, orders or
/// bans); the machine dispatches it.
///
/// \example
///     machine state;
///     const command_result answer = state.apply(1, command);
class machine
{
public:
    explicit machine(const limits &bounds = {});
    ~machine();
    machine(const machine &) = delete;
    machine &operator=(const machine &) = delete;

    /// \returns the tables in force; the pointer stays valid and unchanged after later edits.
    [[nodiscard]] std::shared_ptr<const table_set> tables() const noexcept;

    /// \returns the bytes of the operator's newest document; empty before the first.
    [[nodiscard]] std::shared_ptr<const std::string> document() const noexcept;

    /// \returns the banned fingerprints; later commands do not change the returned set.
    [[nodiscard]] std::shared_ptr<const std::set<std::string>> bannedFingerprints() const noexcept;

    /// \returns a version that increases whenever the banned fingerprints change.
    [[nodiscard]] std::uint64_t bansVersion() const noexcept;

    /// \returns the log index of the last applied command.
    [[nodiscard]] std::uint64_t appliedIndex() const noexcept;

    /// \returns a copy of the part of the state that the leader's duties read.
    [[nodiscard]] leader_view leaderView() const;

    /// \returns the order with this id, open or settled, or nothing when it is unknown or no longer
    ///          kept.
    [[nodiscard]] std::optional<order_record> order(std::uint64_t orderId) const;

    /// \brief Applies the command at \a index.
    [[nodiscard]] command_result apply(std::uint64_t index, const command &command);

    /// \returns the serialised state, for a snapshot.
    [[nodiscard]] std::string snapshot() const;

    /// \brief Replaces the state by the one that snapshot() returned in \a bytes.
    /// \returns error_kind::Corrupt, and leaves the state unchanged, when \a bytes cannot be
    ///          decoded.
    [[nodiscard]] result<void> restore(std::string_view bytes);

private:
    struct components;
    limits m_bounds;
    std::unique_ptr<components> m_components;
};

} // namespace yuccascale::kernel::state

#pragma once

#include "yuccascale/kernel/state/commands.hpp"

#include <memory>
#include <string>
#include <string_view>

/// \file
/// \brief The deterministic state machine over the replicated log.

namespace yuccascale::kernel::state {

/// \brief Applies committed commands in log order. Not thread-safe; its owner serialises calls.
///
/// \example
///     machine state;
///     const command_result answer = state.apply(1, command);
class machine
{
public:
    machine();
    ~machine();
    machine(const machine &) = delete;
    machine &operator=(const machine &) = delete;

    /// \returns the tables in force; the pointer stays valid and unchanged after later edits.
    [[nodiscard]] std::shared_ptr<const table_set> tables() const noexcept;

    /// \returns the log index applied last.
    [[nodiscard]] std::uint64_t appliedIndex() const noexcept;

    /// \brief Applies the command at \a index.
    [[nodiscard]] command_result apply(std::uint64_t index, const command &command);

    /// \returns the whole state in bytes, for a snapshot.
    [[nodiscard]] std::string snapshot() const;

    /// \brief Replaces the state by one that snapshot() made.
    /// \returns error_kind::Corrupt and leaves the state as it was when \a bytes are not such.
    [[nodiscard]] result<void> restore(std::string_view bytes);

private:
    struct detail_state;
    std::unique_ptr<detail_state> m_state;
};

} // namespace yuccascale::kernel::state

#pragma once

#include "yuccascale/kernel/consensus/types.hpp"

#include <deque>
#include <span>

/// \file
/// \brief A replica's log in memory: entries after a base, and the membership in force.

namespace yuccascale::kernel::consensus {

/// \brief Entries from firstIndex() to lastIndex(), and the newest snapshot. Entries at or below
/// the base have been discarded.
class entry_log
{
public:
    explicit entry_log(const durable_state &recovered);

    [[nodiscard]] log_index baseIndex() const noexcept { return m_baseIndex; }
    [[nodiscard]] log_index lastIndex() const noexcept { return m_baseIndex + m_entries.size(); }
    [[nodiscard]] term_number lastTerm() const noexcept;

    /// \returns true when this replica has neither entries nor a snapshot.
    [[nodiscard]] bool empty() const noexcept { return lastIndex() == 0; }

    /// \returns the term of the entry at \a index, or nothing when it was discarded or is not in
    ///          the log.
    [[nodiscard]] std::optional<term_number> termAt(log_index index) const noexcept;

    /// \returns the entry at \a index; it must be in memory.
    [[nodiscard]] const log_entry &at(log_index index) const;

    /// \returns entries from \a from on, at most \a maxEntries and about \a maxBytes of payload,
    ///          at least one if there is any.
    [[nodiscard]] std::vector<log_entry> slice(log_index from, std::size_t maxEntries,
                                               std::size_t maxBytes) const;

    /// \brief Adds an entry after the last.
    void append(log_entry entry);

    /// \brief Merges a leader's entries: skips those that are in the log already and replaces a
    /// differing tail.
    /// \param entries contiguous; the first follows an entry that matches
    void merge(std::span<const log_entry> entries);

    /// \brief Discards entries up to \a keepFrom (exclusive) that \a snapshot covers.
    void compact(snapshot_data snapshot, log_index keepFrom);

    /// \brief Replaces everything by \a snapshot.
    void reset(snapshot_data snapshot);

    [[nodiscard]] const std::optional<snapshot_data> &snapshot() const noexcept
    {
        return m_snapshot;
    }

    /// \returns the newest membership in the log, committed or not.
    [[nodiscard]] const membership &members() const noexcept { return m_memberships.back().value; }

    /// \returns the index of the entry or snapshot that members() came with.
    [[nodiscard]] log_index membersIndex() const noexcept { return m_memberships.back().index; }

    /// \returns the membership in force at \a index.
    [[nodiscard]] const membership &membersAt(log_index index) const noexcept;

    /// \returns the entries that earlier calls did not return, to be made durable.
    [[nodiscard]] std::vector<log_entry> takeUnstable();

private:
    struct indexed_membership
    {
        log_index index = 0;
        membership value;
    };

    void truncateAfter(log_index index);

    log_index m_baseIndex = 0;
    term_number m_baseTerm = 0;
    std::deque<log_entry> m_entries;
    std::optional<snapshot_data> m_snapshot;
    std::deque<indexed_membership> m_memberships; ///< never empty; ordered by index
    log_index m_unstableFrom = 1;
};

} // namespace yuccascale::kernel::consensus

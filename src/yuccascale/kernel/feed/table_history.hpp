#pragma once

#include "yuccascale/kernel/encoded_value.hpp"
#include "yuccascale/kernel/state/commands.hpp"
#include "yuccascale/kernel/state/tables.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

/// \file
/// \brief Keeps recent edits of the tables, so that only changes are sent to a node.

namespace yuccascale::kernel::feed {

/// \returns the edit that turns \a from into \a to.
[[nodiscard]] state::edit_tables difference(const state::table_set &from,
                                            const state::table_set &to);

/// \brief Applies an edit's rows without validation and sets the revision.
void applyRows(state::table_set &tables, const state::edit_tables &edit, std::uint64_t revision);

/// \brief The newest tables and the edits that led to them. Not thread-safe.
class table_history
{
public:
    using table_pointer = std::shared_ptr<const state::table_set>;

    /// \brief The edit between two consecutive revisions.
    struct revision_step
    {
        std::uint64_t fromRevision = 0;
        std::uint64_t toRevision = 0;
        encoded_pointer<state::edit_tables> edit;
        std::size_t rows = 0; ///< changed and removed
    };

    /// \param maxSteps number of steps kept; a node further behind is sent the full tables
    /// \param maxRows changed in these steps; the newest step is always kept
    explicit table_history(std::size_t maxSteps = 1'024, std::size_t maxRows = 8'192)
        : m_maxSteps(maxSteps)
        , m_maxRows(maxRows)
    { }

    /// \returns the newest tables; null before the first.
    [[nodiscard]] const table_pointer &newest() const noexcept { return m_newest; }

    /// \returns the newest tables, to be encoded once for all nodes; null before the first.
    [[nodiscard]] const encoded_pointer<state::table_set> &encodedNewest() const noexcept
    {
        return m_encodedNewest;
    }

    /// \brief Installs newer tables. Older or equal ones are ignored.
    /// \returns true when they were newer.
    bool advance(const table_pointer &tables);

    /// \returns the edits from \a revision to the newest, or nullopt when they are no longer kept.
    [[nodiscard]] std::optional<std::vector<encoded_pointer<state::edit_tables>>>
    editsSince(std::uint64_t revision) const;

private:
    void removeOldSteps();

    std::size_t m_maxSteps;
    std::size_t m_maxRows;
    table_pointer m_newest;
    encoded_pointer<state::table_set> m_encodedNewest;
    std::deque<revision_step> m_steps;
    std::size_t m_rows = 0; ///< changed in all steps
};

} // namespace yuccascale::kernel::feed

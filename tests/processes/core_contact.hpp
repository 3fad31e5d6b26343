#pragma once

#include "processes/test_time.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <utility>
#include <vector>

/// \file
/// \brief Which entries the promises bind at which time, by the users' rule of machines "in touch".

namespace yuccascale::processes {

/// \brief Times of the users' rule.
struct contact_bounds
{
    milliseconds contact{3'000}; ///< after the last fault of the test until the promises bind
    milliseconds stretch{5'000}; ///< more time for an edit while the control nodes are disturbed
};

/// \brief Records what the test does to control nodes, their links and entries. Elections and all
/// else that the nodes do by themselves excuse nothing. Thread-safe.
class core_contact
{
public:
    core_contact(std::size_t controlNodes, std::size_t entries, contact_bounds bounds);

    /// \brief A control node was stopped or frozen, or runs again.
    void setRunning(std::size_t node, bool running, test_time at);

    /// \brief No byte passes from one control node to another, or passes again.
    void setCut(std::size_t from, std::size_t to, bool cut, test_time at);

    /// \brief An entry and a control node are cut from each other, or are joined again.
    void setEntryCut(std::size_t entry, std::size_t node, bool cut, test_time at);

    /// \returns the time beyond the promised one that an edit acknowledged at \a acknowledgedAt may
    /// take before a request sent at \a sentAt has to obey it; nothing when no bound holds.
    [[nodiscard]] std::optional<milliseconds> allowance(std::size_t entry, test_time acknowledgedAt,
                                                        test_time sentAt) const;

private:
    /// What holds from a time on.
    struct core_state
    {
        test_time at{};
        bool majority = true; ///< more than half of the control nodes run and reach each other
    };
    struct entry_state
    {
        test_time changedAt{};
        std::set<std::size_t> cutNodes;
    };

    void record(test_time at);
    [[nodiscard]] bool hasMajority() const;
    [[nodiscard]] bool isReached(std::size_t from, std::size_t to) const;
    [[nodiscard]] bool entryInTouch(std::size_t entry, test_time at) const;
    [[nodiscard]] const core_state &stateAt(test_time at) const;
    [[nodiscard]] bool majoritySince(test_time begin, test_time end) const;

    const contact_bounds m_bounds;
    mutable std::mutex m_mutex;
    std::vector<bool> m_running;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::vector<core_state> m_states;                ///< oldest first
    std::vector<std::vector<entry_state>> m_entries; ///< of each entry, oldest first
};

} // namespace yuccascale::processes

#include "processes/core_contact.hpp"

#include <algorithm>

namespace yuccascale::processes {

core_contact::core_contact(std::size_t controlNodes, std::size_t entries, contact_bounds bounds)
    : m_bounds(bounds)
    , m_running(controlNodes, true)
    , m_states(1)
    , m_entries(entries, std::vector<entry_state>(1))
{ }

void core_contact::setRunning(std::size_t node, bool running, test_time at)
{
    const std::lock_guard lock(m_mutex);
    m_running.at(node) = running;
    record(at);
}

void core_contact::setCut(std::size_t from, std::size_t to, bool cut, test_time at)
{
    const std::lock_guard lock(m_mutex);
    if (cut)
        m_cuts.emplace(from, to);
    else
        m_cuts.erase({from, to});
    record(at);
}

void core_contact::setEntryCut(std::size_t entry, std::size_t node, bool cut, test_time at)
{
    const std::lock_guard lock(m_mutex);
    entry_state state = m_entries.at(entry).back();
    state.changedAt = at;
    if (cut)
        state.cutNodes.insert(node);
    else
        state.cutNodes.erase(node);
    m_entries.at(entry).push_back(state);
}

/// Requires m_mutex to be held.
void core_contact::record(test_time at)
{
    m_states.push_back({at, hasMajority()});
}

/// Requires m_mutex to be held.
bool core_contact::isReached(std::size_t from, std::size_t to) const
{
    return m_running.at(from) && m_running.at(to) && !m_cuts.contains({from, to})
            && !m_cuts.contains({to, from});
}

/// Requires m_mutex to be held.
bool core_contact::hasMajority() const
{
    for (std::size_t node = 0; node < m_running.size(); ++node) {
        std::size_t reached = m_running.at(node) ? 1 : 0;
        for (std::size_t other = 0; other < m_running.size(); ++other)
            reached += other != node && isReached(node, other) ? 1 : 0;
        if (reached * 2 > m_running.size())
            return true;
    }
    return false;
}

/// Requires m_mutex to be held. An entry that is cut from a control node is taken for out of touch,
/// also where the rule binds it since that node reaches no majority itself.
bool core_contact::entryInTouch(std::size_t entry, test_time at) const
{
    const std::vector<entry_state> &states = m_entries.at(entry);
    const auto next = std::ranges::upper_bound(states, at, {}, &entry_state::changedAt);
    const entry_state &state = *std::prev(next);
    return state.cutNodes.empty() && at - state.changedAt >= m_bounds.contact;
}

/// Requires m_mutex to be held.
const core_contact::core_state &core_contact::stateAt(test_time at) const
{
    return *std::prev(std::ranges::upper_bound(m_states, at, {}, &core_state::at));
}

/// Requires m_mutex to be held.
bool core_contact::majoritySince(test_time begin, test_time end) const
{
    if (!stateAt(begin).majority)
        return false;
    return std::ranges::none_of(m_states, [&](const core_state &state) {
        return state.at >= begin && state.at <= end && !state.majority;
    });
}

std::optional<milliseconds> core_contact::allowance(std::size_t entry, test_time acknowledgedAt,
                                                    test_time sentAt) const
{
    const std::lock_guard lock(m_mutex);
    if (!entryInTouch(entry, sentAt))
        return std::nullopt;
    const core_state &state = stateAt(sentAt);
    if (state.majority && sentAt - state.at >= m_bounds.contact)
        return milliseconds(0);
    if (majoritySince(acknowledgedAt, sentAt))
        return m_bounds.stretch;
    return std::nullopt;
}

} // namespace yuccascale::processes

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

/// \file
/// \brief Keeps the last changes of a list, so that only they are sent to a node.

namespace yuccascale::kernel::feed {

/// \brief Limits of a change_history.
struct change_limits
{
    std::size_t steps = 128;
    std::size_t bytes = std::size_t{256} * 1'024; ///< of the rows in them
};

/// \brief The last changes of a list in order, each from one digest to the next. Not thread-safe.
/// \tparam Step pointer to a change
template<typename Step>
class change_history
{
public:
    explicit change_history(change_limits limits = {})
        : m_limits(limits)
    { }

    /// \param bytes that it takes
    void add(std::uint64_t from, std::uint64_t to, Step step, std::size_t bytes)
    {
        if (!m_steps.empty() && m_steps.back().to != from)
            clear();
        m_steps.push_back({from, to, std::move(step), bytes});
        m_bytes += bytes;
        while (m_steps.size() > m_limits.steps || m_bytes > m_limits.bytes) {
            m_bytes -= m_steps.front().bytes;
            m_steps.pop_front();
        }
    }

    /// \brief Forgets all changes, since the newest list did not come by one.
    void clear()
    {
        m_steps.clear();
        m_bytes = 0;
    }

    /// \returns the changes from the list with \a digest to the newest one; empty when they are
    ///          not kept. A list that was there more than once counts from its last time.
    [[nodiscard]] std::vector<Step> since(std::uint64_t digest) const
    {
        const auto last = std::find_if(m_steps.rbegin(), m_steps.rend(),
                                       [&](const auto &step) { return step.from == digest; });
        std::vector<Step> out;
        if (last == m_steps.rend())
            return out;
        for (auto step = std::prev(last.base()); step != m_steps.end(); ++step)
            out.push_back(step->step);
        return out;
    }

private:
    struct kept_step
    {
        std::uint64_t from = 0;
        std::uint64_t to = 0;
        Step step;
        std::size_t bytes = 0;
    };

    change_limits m_limits;
    std::deque<kept_step> m_steps;
    std::size_t m_bytes = 0;
};

} // namespace yuccascale::kernel::feed

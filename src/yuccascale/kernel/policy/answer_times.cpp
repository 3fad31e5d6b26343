#include "yuccascale/kernel/policy/answer_times.hpp"

#include <algorithm>

namespace yuccascale::kernel::policy {

namespace {

/// Observations are forgotten after one to two of these.
constexpr seconds periodLength{20};
/// With fewer answers, the longest of them says little about the next.
constexpr int minAnswers = 8;

} // namespace

/// \returns the current period, after ending one that is over.
answer_times::period &answer_times::at(instant now) noexcept
{
    if (m_current.used && now - m_current.from >= periodLength) {
        m_last = m_current;
        m_current = {};
    }
    if (!m_current.used)
        m_current = {now, {}, 0, true};
    return m_current;
}

void answer_times::answered(instant now, nanoseconds time) noexcept
{
    period &current = at(now);
    current.longest = std::max(current.longest, time);
    ++current.answers;
}

void answer_times::ended(instant now, nanoseconds time) noexcept
{
    period &current = at(now);
    current.longest = std::max(current.longest, time);
}

std::optional<nanoseconds> answer_times::longest(instant now) const noexcept
{
    nanoseconds longest{};
    int answers = 0;
    for (const period &seen : {m_current, m_last}) {
        if (!seen.used || now - seen.from >= 2 * periodLength)
            continue;
        longest = std::max(longest, seen.longest);
        answers += seen.answers;
    }
    if (answers < minAnswers)
        return std::nullopt;
    return longest;
}

} // namespace yuccascale::kernel::policy

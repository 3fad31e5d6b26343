#include "yuccascale/kernel/requests/deadline_history.hpp"

#include <algorithm>

namespace yuccascale::kernel::requests {

namespace {

/// Bounds the memory of a route whose deadline changes again and again.
constexpr std::size_t maxFormer = 16;

[[nodiscard]] bool matters(instant now, const deadline_history::former &seen)
{
    return now < seen.goneAt + deadlinesKept * seen.deadline;
}

} // namespace

void deadline_history::update(instant now, nanoseconds deadline)
{
    removeExpired(now);
    if (deadline == m_current)
        return;
    if (m_current > nanoseconds::zero())
        add({m_current, now});
    m_current = deadline;
}

void deadline_history::add(const former &seen)
{
    const auto same = std::ranges::find(m_former, seen.deadline, &former::deadline);
    if (same != m_former.end()) {
        same->goneAt = std::max(same->goneAt, seen.goneAt);
        return;
    }
    m_former.push_back(seen);
    if (m_former.size() > maxFormer)
        mergeOldest();
}

/// The two oldest become one that matters at least as long as either.
void deadline_history::mergeOldest()
{
    former &merged = m_former.at(1);
    merged.deadline = std::max(merged.deadline, m_former.front().deadline);
    merged.goneAt = std::max(merged.goneAt, m_former.front().goneAt);
    m_former.erase(m_former.begin());
}

void deadline_history::removeExpired(instant now)
{
    std::erase_if(m_former, [&](const former &seen) { return !matters(now, seen); });
}

nanoseconds deadline_history::lookback(instant now) const
{
    nanoseconds longest = m_current;
    for (const former &seen : m_former) {
        if (matters(now, seen))
            longest = std::max(longest, seen.deadline);
    }
    return deadlinesKept * longest;
}

std::vector<deadline_history::former> deadline_history::formerOnes(instant now) const
{
    std::vector<former> out;
    std::ranges::copy_if(m_former, std::back_inserter(out),
                         [&](const former &seen) { return matters(now, seen); });
    return out;
}

} // namespace yuccascale::kernel::requests

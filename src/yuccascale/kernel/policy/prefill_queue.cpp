#include "yuccascale/kernel/policy/prefill_queue.hpp"

#include <algorithm>

namespace yuccascale::kernel::policy {

namespace {

/// A first token tells about prompts that were placed in this time before it.
constexpr seconds retention{4};
/// An announcement arrives this long after its prompt was placed, at most.
constexpr milliseconds announcementDelay{20};

} // namespace

void prefill_queue::add(instant now, double tokens, nanoseconds lifetime,
                        std::optional<std::uint64_t> ticket)
{
    removeExpired(now);
    while (m_next > 0 && m_prompts.front().at + retention < now) {
        m_prompts.pop_front();
        --m_next;
    }
    if (m_next == m_prompts.size())
        m_advancedAt = std::max(m_advancedAt, now);
    m_prompts.push_back({now, tokens, now + std::min<nanoseconds>(lifetime, maxLifetime), ticket});
}

void prefill_queue::remove(std::uint64_t ticket) noexcept
{
    for (std::size_t index = m_prompts.size(); index > 0; --index) {
        if (m_prompts[index - 1].ticket == ticket)
            erase(index - 1);
    }
}

void prefill_queue::removeExpired(instant now) noexcept
{
    for (std::size_t index = m_prompts.size(); index > 0; --index) {
        if (m_prompts[index - 1].expiresAt <= now)
            erase(index - 1);
    }
}

void prefill_queue::erase(std::size_t index) noexcept
{
    m_prompts.erase(m_prompts.begin() + static_cast<std::ptrdiff_t>(index));
    if (index < m_next)
        --m_next;
    else if (index == m_next)
        m_doneOfNext = 0;
}

void prefill_queue::advance(instant now, double tokensPerSecond) noexcept
{
    if (now <= m_advancedAt)
        return;
    removeExpired(now);
    m_doneOfNext += tokensPerSecond * std::chrono::duration<double>(now - m_advancedAt).count();
    m_advancedAt = now;
    while (m_next < m_prompts.size() && m_prompts[m_next].tokens <= m_doneOfNext) {
        m_doneOfNext -= m_prompts[m_next].tokens;
        ++m_next;
    }
    if (m_next == m_prompts.size())
        m_doneOfNext = 0;
}

void prefill_queue::prefilled(instant placedAt, instant firstTokenAt) noexcept
{
    const auto next = std::ranges::find_if(m_prompts, [&](const placed_prompt &one) {
        return one.at > placedAt + announcementDelay;
    });
    m_next = static_cast<std::size_t>(next - m_prompts.begin());
    m_doneOfNext = 0;
    const instant begun = next == m_prompts.end() ? firstTokenAt : std::max(firstTokenAt, next->at);
    m_advancedAt = begun;
}

double prefill_queue::tokens(instant now, double tokensPerSecond) const noexcept
{
    const double seconds = std::chrono::duration<double>(now - m_advancedAt).count();
    double sum = -tokensPerSecond * std::max(seconds, 0.0);
    for (std::size_t index = m_next; index < m_prompts.size(); ++index) {
        if (m_prompts[index].expiresAt <= now)
            continue;
        sum += m_prompts[index].tokens - (index == m_next ? m_doneOfNext : 0);
    }
    return std::max(sum, 0.0);
}

} // namespace yuccascale::kernel::policy

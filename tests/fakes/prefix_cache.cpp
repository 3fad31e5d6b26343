#include "fakes/prefix_cache.hpp"

#include "fakes/answer_text.hpp"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace yuccascale::fakes {

namespace {

constexpr std::size_t maxEvents = 4'096;

} // namespace

std::vector<std::string> prefix_cache::prefixes(std::string_view prompt)
{
    constexpr std::size_t blockBytes = blockTokens * bytesPerToken;
    std::vector<std::string> out;
    for (std::size_t end = blockBytes; end <= prompt.size(); end += blockBytes) {
        std::array<char, 24> text{};
        std::snprintf(text.data(), text.size(), "%016llx",
                      static_cast<unsigned long long>(XXH64(prompt.data(), end, 0)));
        out.emplace_back(text.data());
    }
    return out;
}

std::int64_t prefix_cache::lookUp(std::string_view prompt)
{
    std::int64_t tokens = 0;
    for (const std::string &prefix : prefixes(prompt)) {
        const auto found = m_blocks.find(prefix);
        if (found == m_blocks.end())
            break;
        m_recency.splice(m_recency.begin(), m_recency, found->second.position);
        tokens = found->second.tokens;
    }
    return tokens;
}

void prefix_cache::store(std::string_view prompt, std::int64_t nowMs)
{
    std::int64_t tokens = 0;
    for (const std::string &prefix : prefixes(prompt)) {
        tokens += blockTokens;
        if (m_blocks.contains(prefix))
            continue;
        m_recency.push_front(prefix);
        m_blocks[prefix] = {m_recency.begin(), tokens};
        addEvent(prefix, tokens, true, nowMs);
    }
    while (m_blocks.size() > m_capacityBlocks) {
        const std::string oldest = m_recency.back();
        addEvent(oldest, m_blocks.at(oldest).tokens, false, nowMs);
        m_blocks.erase(oldest);
        m_recency.pop_back();
    }
}

void prefix_cache::addEvent(const std::string &prefix, std::int64_t tokens, bool added,
                            std::int64_t nowMs)
{
    m_events.push_back({m_nextSequence++, nowMs, prefix, tokens, added});
    if (m_events.size() > maxEvents)
        m_events.pop_front();
}

std::vector<cache_event> prefix_cache::events(std::uint64_t firstSequence, std::int64_t nowMs,
                                              std::int64_t lagMs) const
{
    std::vector<cache_event> out;
    for (const cache_event &event : m_events) {
        if (event.sequence >= firstSequence && event.atMs + lagMs <= nowMs)
            out.push_back(event);
    }
    return out;
}

} // namespace yuccascale::fakes

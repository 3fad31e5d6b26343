#include "yuccascale/kernel/policy/prefix_index.hpp"

#include <algorithm>

namespace yuccascale::kernel::policy {

namespace {

constexpr std::size_t maxPrefixesPerEngine = 1'024;
constexpr nanoseconds maxAge = seconds(120);        ///< of a prefix since its last confirmation
constexpr nanoseconds maxAgeAfterGap = seconds(20); ///< of a prefix last confirmed before a gap

} // namespace

void prefix_index::store(engine_cache &cache, std::uint64_t prefix, cached_prefix cachedPrefix)
{
    cache.prefixes[prefix] = cachedPrefix;
    if (cache.prefixes.size() <= maxPrefixesPerEngine)
        return;
    const auto oldest = std::ranges::min_element(
            cache.prefixes, {}, [](const auto &item) { return item.second.confirmedAt; });
    cache.prefixes.erase(oldest);
}

void prefix_index::apply(instant now, std::string_view endpoint, const cache_event &event)
{
    engine_cache &cache = m_engines[std::string(endpoint)];
    if (event.sequence <= cache.lastSequence)
        return;
    if (event.sequence != cache.lastSequence + 1 && cache.lastSequence != 0)
        cache.lastGap = now;
    cache.lastSequence = event.sequence;
    if (event.added)
        store(cache, event.prefix, {event.tokens, now});
    else
        cache.prefixes.erase(event.prefix);
}

void prefix_index::confirm(instant now, std::string_view endpoint, std::uint64_t prefix,
                           std::int64_t tokens)
{
    store(m_engines[std::string(endpoint)], prefix, {tokens, now});
}

void prefix_index::removeEngine(std::string_view endpoint)
{
    const auto found = m_engines.find(endpoint);
    if (found != m_engines.end())
        m_engines.erase(found);
}

std::int64_t prefix_index::tokensAt(instant now, std::string_view endpoint,
                                    std::uint64_t prefix) const noexcept
{
    const auto cache = m_engines.find(endpoint);
    if (cache == m_engines.end())
        return 0;
    const auto found = cache->second.prefixes.find(prefix);
    if (found == cache->second.prefixes.end())
        return 0;
    if (found->second.confirmedAt > now)
        return 0; // still being prefilled
    const bool beforeGap = found->second.confirmedAt < cache->second.lastGap;
    const nanoseconds ageLimit = beforeGap ? maxAgeAfterGap : maxAge;
    return now - found->second.confirmedAt <= ageLimit ? found->second.tokens : 0;
}

std::size_t prefix_index::size() const noexcept
{
    std::size_t count = 0;
    for (const auto &[name, cache] : m_engines)
        count += cache.prefixes.size();
    return count;
}

} // namespace yuccascale::kernel::policy

#include "yuccascale/kernel/requests/stream_origins.hpp"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace yuccascale::kernel::requests {

namespace {

/// Bounds the memory of an entry whose callers begin streams without end.
constexpr std::size_t maxRecords = 50'000;
/// Longer ids are kept as a digest; callers choose them, up to the size of a head.
constexpr std::size_t maxIdBytes = 64;
constexpr std::string_view digestScheme = "xxh128:";

/// \returns what stands for an id in the records.
[[nodiscard]] std::string keyOf(std::string_view requestId)
{
    if (requestId.size() <= maxIdBytes)
        return std::string(requestId);
    const XXH128_hash_t hash = XXH3_128bits(requestId.data(), requestId.size());
    std::string key(digestScheme);
    key += std::to_string(hash.high64) + "-" + std::to_string(hash.low64);
    return key;
}

} // namespace

void stream_origins::record(instant now, const stream_record &began)
{
    while (!m_oldestFirst.empty()) {
        const auto oldest = m_origins.find(m_oldestFirst.front());
        if (m_origins.size() < maxRecords && oldest != m_origins.end()
            && oldest->second.until > now)
            break;
        if (oldest != m_origins.end())
            m_origins.erase(oldest);
        m_oldestFirst.pop_front();
    }
    const std::string key = keyOf(began.requestId);
    if (m_origins.insert_or_assign(key, kept_origin{began.origin, now + began.kept}).second)
        m_oldestFirst.push_back(key);
}

std::optional<stream_origin> stream_origins::find(instant now, std::string_view requestId) const
{
    const auto found = m_origins.find(keyOf(requestId));
    if (found == m_origins.end() || found->second.until <= now)
        return std::nullopt;
    return found->second.origin;
}

std::vector<stream_record> stream_origins::recordsOf(instant now, std::string_view pool) const
{
    std::vector<stream_record> out;
    for (const auto &[id, kept] : m_origins) {
        if (kept.origin.pool == pool && kept.until > now)
            out.push_back({id, kept.origin, kept.until - now});
    }
    return out;
}

namespace {

/// What the answers of several entries say together.
class merged_names
{
public:
    void add(const names_seen &seen)
    {
        m_names.insert(seen.names.begin(), seen.names.end());
        m_throughout = m_throughout || seen.throughout;
        m_informed += seen.names.empty() ? 0 : 1;
    }

    [[nodiscard]] std::optional<std::string> only() const
    {
        return m_throughout && m_names.size() == 1 ? std::optional(*m_names.begin()) : std::nullopt;
    }

    [[nodiscard]] bool ambiguous() const noexcept { return m_names.size() > 1; }

    /// \returns the number of entries that know any name.
    [[nodiscard]] std::size_t informed() const noexcept { return m_informed; }

private:
    std::set<std::string> m_names;
    bool m_throughout = false;
    std::size_t m_informed = 0;
};

} // namespace

std::optional<std::string> names_seen::only() const
{
    return throughout && names.size() == 1 ? std::optional(names.front()) : std::nullopt;
}

std::optional<stream_origin>
decideOrigin(std::string_view pool, std::span<const origin_answer> answers, std::size_t othersAsked)
{
    merged_names pools;
    merged_names versions;
    for (const origin_answer &answer : answers) {
        if (answer.origin)
            return answer.origin;
        pools.add(answer.seen.pools);
        versions.add(answer.seen.versions);
    }
    // another entry's list may be newer than that of an entry that has seen one version only
    const bool confirmed = versions.informed() > 1 || othersAsked == 0;
    if (!confirmed || pools.only() != pool || !versions.only())
        return std::nullopt;
    return stream_origin{std::string(pool), *versions.only()};
}

bool contradictory(std::span<const origin_answer> answers)
{
    merged_names pools;
    merged_names versions;
    for (const origin_answer &answer : answers) {
        pools.add(answer.seen.pools);
        versions.add(answer.seen.versions);
    }
    return pools.ambiguous() || versions.ambiguous();
}

/// Rendezvous hashing: each entry ranks the links alike, and a change of one link moves only the
/// streams that it keeps.
std::vector<std::string> keepersOf(std::string_view requestId, std::span<const std::string> links,
                                   std::size_t count)
{
    const std::string key = keyOf(requestId);
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    std::vector<std::pair<std::uint64_t, std::size_t>> ranks;
    ranks.reserve(links.size());
    for (std::size_t index = 0; index < links.size(); ++index) {
        const std::string &link = links[index];
        ranks.emplace_back(XXH3_64bits_withSeed(link.data(), link.size(), seed), index);
    }
    const auto end = ranks.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranks.size()));
    std::partial_sort(ranks.begin(), end, ranks.end());
    std::vector<std::string> keepers;
    for (auto rank = ranks.begin(); rank != end; ++rank)
        keepers.push_back(links[rank->second]);
    return keepers;
}

void name_history::update(instant now, std::vector<std::string> names)
{
    std::ranges::sort(names);
    names.erase(std::unique(names.begin(), names.end()), names.end());
    for (const std::string &name : m_current)
        m_goneAt[name] = now;
    for (const std::string &name : names)
        m_goneAt.erase(name);
    m_current = std::move(names);
}

void name_history::add(const std::string &name, instant goneAt)
{
    if (std::ranges::find(m_current, name) != m_current.end())
        return;
    const auto [known, isNew] = m_goneAt.try_emplace(name, goneAt);
    if (!isNew)
        known->second = std::max(known->second, goneAt);
}

void name_history::forget(instant oldest)
{
    std::erase_if(m_goneAt, [&](const auto &former) { return former.second < oldest; });
}

std::vector<std::string> name_history::names(instant now, nanoseconds lookback) const
{
    std::vector<std::string> out = m_current;
    for (const auto &[name, goneAt] : m_goneAt) {
        if (now - goneAt < lookback)
            out.push_back(name);
    }
    return out;
}

} // namespace yuccascale::kernel::requests

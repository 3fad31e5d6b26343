#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief The prompt-prefix cache of an engine stand-in, with its events.

namespace yuccascale::fakes {

/// \brief A block that was added to the cache or evicted from it.
struct cache_event
{
    std::uint64_t sequence = 0;
    std::int64_t atMs = 0;
    std::string prefix; ///< hash of the prompt up to the block's end
    std::int64_t tokens = 0;
    bool added = true;
};

/// \brief Blocks of prompt prefixes with least-recently-used eviction. Not thread-safe.
class prefix_cache
{
public:
    static constexpr std::int64_t blockTokens = 64;

    explicit prefix_cache(std::int64_t capacityTokens)
        : m_capacityBlocks(static_cast<std::size_t>(capacityTokens / blockTokens))
    { }

    /// \returns the number of tokens cached from the prompt's start; marks their blocks as used.
    [[nodiscard]] std::int64_t lookUp(std::string_view prompt);

    /// \brief Adds every full block of \a prompt and evicts the least recently used blocks above
    ///        the capacity.
    void store(std::string_view prompt, std::int64_t nowMs);

    /// \returns the events with sequence \a firstSequence or later that are at least \a lagMs old.
    [[nodiscard]] std::vector<cache_event> events(std::uint64_t firstSequence, std::int64_t nowMs,
                                                  std::int64_t lagMs) const;

private:
    struct block
    {
        std::list<std::string>::iterator position;
        std::int64_t tokens;
    };

    [[nodiscard]] static std::vector<std::string> prefixes(std::string_view prompt);
    void addEvent(const std::string &prefix, std::int64_t tokens, bool added, std::int64_t nowMs);

    std::size_t m_capacityBlocks;
    std::list<std::string> m_recency; ///< most recent first
    std::map<std::string, block> m_blocks;
    std::deque<cache_event> m_events;
    std::uint64_t m_nextSequence = 1;
};

} // namespace yuccascale::fakes

#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

/// \file
/// \brief Estimates which prompt prefixes the engines have in their caches.

namespace yuccascale::kernel::policy {

/// \brief A prefix added to or evicted from an engine's cache.
struct cache_event
{
    std::uint64_t sequence = 0; ///< increases by one with each event of an engine
    std::uint64_t prefix = 0;   ///< hash of the prefix
    std::int64_t tokens = 0;
    bool added = true;
};

/// \brief Tracks cache events that may arrive late or get lost. Bounded size; its owner serialises
/// calls.
///
/// Prefixes expire when no event or request confirms them for some time, because the event of their
/// eviction may have been lost. They expire sooner after a gap in the engine's events.
class prefix_index
{
public:
    /// \brief Applies an engine's event; ignores one that was already applied.
    void apply(instant now, std::string_view endpoint, const cache_event &event);

    /// \brief Records that a request found the prefix cached or caused it to be cached.
    /// \param now time from which it is cached; in the future while the prefix is still prefilled
    void confirm(instant now, std::string_view endpoint, std::uint64_t prefix, std::int64_t tokens);

    /// \brief Removes the prefixes of an engine that restarted, changed role or left.
    void removeEngine(std::string_view endpoint);

    /// \returns the tokens of the prefix estimated to be cached at the engine; 0 when unknown or
    /// expired.
    [[nodiscard]] std::int64_t tokensAt(instant now, std::string_view endpoint,
                                        std::uint64_t prefix) const noexcept;

    /// \returns the number of recorded prefixes of all engines, for measurements.
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct cached_prefix
    {
        std::int64_t tokens = 0;
        instant confirmedAt{};
    };
    struct engine_cache
    {
        std::uint64_t lastSequence = 0;
        instant lastGap{};
        std::unordered_map<std::uint64_t, cached_prefix> prefixes;
    };
    struct name_hash
    {
        using is_transparent = void;
        [[nodiscard]] std::size_t operator()(std::string_view name) const noexcept
        {
            return std::hash<std::string_view>{}(name);
        }
    };

    static void store(engine_cache &cache, std::uint64_t prefix, cached_prefix cachedPrefix);

    std::unordered_map<std::string, engine_cache, name_hash, std::equal_to<>> m_engines;
};

} // namespace yuccascale::kernel::policy

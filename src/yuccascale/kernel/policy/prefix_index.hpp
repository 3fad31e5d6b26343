#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

/// \file
/// \brief Which prompt prefixes the engines are believed to hold in their caches.

namespace yuccascale::kernel::policy {

/// \brief A prefix added to or evicted from an engine's cache.
struct cache_event
{
    std::uint64_t sequence = 0; ///< rises by one with each event of an engine
    std::uint64_t prefix = 0;   ///< hash
    std::int64_t tokens = 0;
    bool added = true;
};

/// \brief Follows cache events that arrive late and with gaps. Bounded; its owner serialises calls.
///
/// An eviction lost in a gap is made up for by time: what no event or use confirmed for a while is
/// forgotten, sooner for an engine with a gap.
class prefix_index
{
public:
    /// \brief Takes in an engine's event; one already seen is ignored.
    void apply(instant now, std::string_view endpoint, const cache_event &event);

    /// \brief Notes that a finished request showed the prefix cached, or left it there.
    /// \param now may lie ahead when the prefix is still being read
    void confirm(instant now, std::string_view endpoint, std::uint64_t prefix, std::int64_t tokens);

    /// \brief Forgets an engine that restarted, changed role or left.
    void removeEngine(std::string_view endpoint);

    /// \returns tokens of the prefix believed cached at the engine; 0 when unknown or too old.
    [[nodiscard]] std::int64_t tokensAt(instant now, std::string_view endpoint,
                                        std::uint64_t prefix) const noexcept;

    /// \returns entries held, for measurements.
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

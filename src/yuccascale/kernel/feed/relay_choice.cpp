#include "yuccascale/kernel/feed/relay_choice.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace yuccascale::kernel::feed {

namespace {

/// A poll of a node that is cut off from this one only lasts until its timeout, so such a node is
/// not tried again soon.
constexpr seconds unreachableTime{30};
/// An outdated node answers at once, and is up to date again soon after a leader is known.
constexpr seconds outdatedTime{5};

} // namespace

std::vector<std::string> relay_choice::order(std::span<const node_report> nodes,
                                             std::span<const std::string> seeds) const
{
    std::vector<std::string> sameZone;
    std::vector<std::string> otherZones;
    for (const node_report &node : nodes) {
        if (node.control && node.link != m_self.link)
            (node.zone == m_self.zone ? sameZone : otherZones).push_back(node.link);
    }
    spread(sameZone);
    spread(otherZones);
    std::vector<std::string> unlisted(seeds.begin(), seeds.end());
    spread(unlisted);
    std::vector<std::string> ordered = std::move(sameZone);
    ordered.insert(ordered.end(), otherZones.begin(), otherZones.end());
    for (const std::string &seed : unlisted) {
        if (seed != m_self.link && std::ranges::find(ordered, seed) == ordered.end())
            ordered.push_back(seed);
    }
    return ordered;
}

std::string relay_choice::choose(instant now, std::span<const std::string> ordered) const
{
    const auto rankOf = [&](const std::string &relay) {
        const auto found = m_avoided.find(relay);
        const bool avoided = found != m_avoided.end() && now < found->second.until;
        return avoided ? std::pair(found->second.why, found->second.until)
                       : std::pair(reason::None, instant{});
    };
    const auto best = std::ranges::min_element(ordered, {}, rankOf);
    return best == ordered.end() ? std::string() : *best;
}

void relay_choice::unreachable(instant now, const std::string &relay)
{
    avoid(now, relay, reason::Unreachable, unreachableTime);
}

void relay_choice::outdated(instant now, const std::string &relay)
{
    avoid(now, relay, reason::Outdated, outdatedTime);
}

void relay_choice::avoid(instant now, const std::string &relay, reason why, nanoseconds time)
{
    std::erase_if(m_avoided, [&](const auto &entry) { return entry.second.until <= now; });
    m_avoided[relay] = {why, now + time};
}

/// Sorts by a hash of both nodes: each polling node has its own order, which changes little when
/// control nodes come and go.
void relay_choice::spread(std::span<std::string> group) const
{
    const std::uint64_t seed = XXH64(m_self.link.data(), m_self.link.size(), 0);
    std::ranges::sort(group, {}, [&](const std::string &relay) {
        return std::pair(XXH64(relay.data(), relay.size(), seed), relay);
    });
}

} // namespace yuccascale::kernel::feed

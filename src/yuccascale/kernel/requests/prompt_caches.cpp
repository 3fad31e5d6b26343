#include "yuccascale/kernel/requests/prompt_caches.hpp"

#include "yuccascale/kernel/policy/prefix_homes.hpp"

#include <algorithm>

namespace yuccascale::kernel::requests {

namespace {

using policy::endpoint_view;

/// Shortest shared prefix, in tokens, that has a home engine; prefilling a shorter one again is
/// cheap.
constexpr std::int64_t minHomeTokens = 1'024;
/// Smallest number of tokens worth fetching; fetching fewer takes longer than prefilling them.
constexpr std::int64_t minFetchTokens = 1'024;

/// Prefill engines keep no parts: each prompt replaces the contents of their cache.
[[nodiscard]] bool keepsParts(const endpoint_view &view) noexcept
{
    return view.row->role != state::engine_role::Prefill;
}

[[nodiscard]] bool isLeaving(const endpoint_view &view) noexcept
{
    return view.unusableReason == "leaving" || view.unusableReason == "draining";
}

[[nodiscard]] bool isHealthy(const endpoint_view &view) noexcept
{
    return view.unusableReason != "sick";
}

[[nodiscard]] std::int64_t tokensOf(std::span<const prompt_part> parts)
{
    std::int64_t tokens = 0;
    for (const prompt_part &part : parts)
        tokens += part.tokens;
    return tokens;
}

[[nodiscard]] std::optional<std::size_t> homeOf(std::uint64_t part,
                                                std::span<const endpoint_view> views)
{
    std::optional<std::size_t> home;
    double best = 0;
    for (std::size_t index = 0; index < views.size(); ++index) {
        const endpoint_view &view = views[index];
        if (!keepsParts(view) || isLeaving(view))
            continue;
        const double score = policy::homeScore(part, view.row->name, 1.0);
        if (score <= best)
            continue;
        best = score;
        home = index;
    }
    return home;
}

/// Sets the engine from which each engine can fetch parts of the prompt.
/// \param home used as the source when no engine is known to have more tokens cached; its own cache
/// may then be unknown
void addFetches(std::span<endpoint_view> views, std::size_t home)
{
    std::size_t source = home;
    for (std::size_t index = 0; index < views.size(); ++index) {
        const bool canServe = isHealthy(views[index]) && keepsParts(views[index]);
        if (canServe && views[index].cachedPromptTokens > views[source].cachedPromptTokens)
            source = index;
    }
    for (std::size_t index = 0; index < views.size(); ++index) {
        endpoint_view &view = views[index];
        const std::int64_t extraTokens = views[source].cachedPromptTokens - view.cachedPromptTokens;
        const bool nothingKnown = views[source].cachedPromptTokens == 0;
        if (index == source || (!nothingKnown && extraTokens < minFetchTokens))
            continue;
        view.fetchFrom = source;
        view.fetchableTokens = extraTokens;
    }
}

} // namespace

void prompt_caches::estimate(instant now, std::span<const prompt_part> parts,
                             std::span<endpoint_view> views) const
{
    if (parts.empty() || views.empty())
        return;
    for (endpoint_view &view : views) {
        for (const prompt_part &part : parts) {
            const std::int64_t held = m_prefixIndex.tokensAt(now, view.row->name, part.id);
            view.cachedPromptTokens += std::min(held, part.tokens);
            if (held < part.tokens)
                break;
        }
    }
    const std::span<const prompt_part> shared = parts.first(parts.size() - 1);
    if (shared.empty() || tokensOf(shared) < minHomeTokens)
        return;
    // requests that share the last shared part share those before it too
    const std::optional<std::size_t> home = homeOf(shared.back().id, views);
    if (!home)
        return;
    views[*home].home = true;
    addFetches(views, *home);
}

void prompt_caches::confirm(instant now, const std::string &endpoint,
                            std::span<const prompt_part> parts)
{
    for (const prompt_part &part : parts)
        m_prefixIndex.confirm(now, endpoint, part.id, part.tokens);
}

void prompt_caches::removeEngine(std::string_view endpoint)
{
    m_prefixIndex.removeEngine(endpoint);
}

} // namespace yuccascale::kernel::requests

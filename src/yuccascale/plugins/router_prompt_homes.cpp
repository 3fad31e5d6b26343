#include "yuccascale/kernel/policy/engine_backlog.hpp"

#include <algorithm>
#include <random>

/// \file
/// \brief Chooses for prompts that share long parts, before engines that fill prompts for others.
///
/// Load: a few long parts make up most of the prompt work and fit into the engines' caches once or
/// a few times. A request goes where its first token is soonest, with what is cached there counted;
/// a long rest of the prompt is filled by a prefill engine, so that it does not hold up the tokens
/// of others, unless those engines are the busier ones.

namespace yuccascale::plugins {

namespace {

using namespace kernel::policy;
using kernel::instant;
using kernel::nanoseconds;
using kernel::state::engine_role;

/// A shorter rest of a prompt is filled where it is generated.
constexpr std::int64_t leastApartTokens = 1'024;
/// One more call and the transfer of the cache.
constexpr double transferBaseSeconds = 0.02;
constexpr double transferSecondsPerToken = 2e-6;
/// A prompt whose shared part is cached is filled where it is if its first token comes within this.
constexpr double homeSeconds = 0.4;
/// A longer rest of a prompt waits for a prefill engine.
constexpr std::int64_t leastAwaitedTokens = 4'096;
/// A prompt that is fetched elsewhere pushes other parts out of that engine's cache.
constexpr double awaySeconds = 0.3;
/// Prompt tokens a second of an engine that only fills prompts, and of one that also generates and
/// fills in small pieces between its tokens.
constexpr double fillRate = 50'000;
constexpr double wholeRate = 16'000;
/// A full batch makes tokens come this much later than an empty one.
constexpr double crowdSeconds = 0.4;
/// A request beyond the slots waits for one.
constexpr double slotWaitSeconds = 0.5;
constexpr double tieFraction = 0.03; ///< choices closer than this share of the best are equal
constexpr double tieSeconds = 0.004;

struct candidate
{
    std::size_t index = 0;
    double seconds = 0; ///< to the first token
};

[[nodiscard]] nanoseconds toDuration(double time)
{
    return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(time));
}

[[nodiscard]] double crowd(const endpoint_view &view, const engine_backlog &backlog) noexcept
{
    const double slots = std::max(view.row->slots, 1);
    const double over = std::max(backlog.running + 1 - slots, 0.0);
    return crowdSeconds * backlog.running / slots + slotWaitSeconds * over;
}

class prompt_homes_router final : public router
{
public:
    explicit prompt_homes_router(std::uint64_t seed)
        : m_random(seed)
    { }

    [[nodiscard]] std::optional<routing_choice>
    choose(instant now, const routing_request &request,
           std::span<const endpoint_view> views) override
    {
        weigh(now, request, views);
        const std::optional<candidate> whole = pick(m_whole);
        if (!whole)
            return std::nullopt;
        const std::int64_t rest = request.promptTokens - views[whole->index].cachedPromptTokens;
        if (rest >= leastApartTokens && m_fillsApart) {
            const bool soonAtHome = views[whole->index].cachedPromptTokens >= leastApartTokens
                    && whole->seconds <= homeSeconds;
            const std::optional<candidate> fill = pick(m_fill);
            const std::optional<candidate> generate = pick(m_generate);
            if (!soonAtHome && fill && generate) {
                const double apart = fill->seconds + generate->seconds + transferBaseSeconds
                        + transferSecondsPerToken * static_cast<double>(request.promptTokens);
                return routing_choice{generate->index, fill->index, toDuration(apart),
                                      toDuration(apart), "prompt filled apart"};
            }
            if (!soonAtHome && rest >= leastAwaitedTokens)
                return std::nullopt; // it would hold up the tokens of all others there
        }
        return routing_choice{whole->index, std::nullopt, toDuration(whole->seconds),
                              toDuration(whole->seconds), "soonest first token"};
    }

    void observe(instant, const routing_outcome &outcome) override
    {
        m_estimates.observe(outcome);
        m_backlogs.observe(outcome);
    }

private:
    void weigh(instant now, const routing_request &request, std::span<const endpoint_view> views)
    {
        m_indexes.clear();
        for (std::size_t index = 0; index < views.size(); ++index) {
            if (views[index].usable)
                m_indexes.push_back(index);
        }
        const auto backlogs
                = m_backlogs.estimate(now, views, m_indexes, request.entries, m_estimates);
        m_fillsApart = std::ranges::any_of(views, [](const endpoint_view &view) {
            return view.row->role == engine_role::Prefill;
        });
        m_whole.clear();
        m_fill.clear();
        m_generate.clear();
        for (std::size_t at = 0; at < m_indexes.size(); ++at) {
            const endpoint_view &view = views[m_indexes[at]];
            const engine_backlog &backlog = backlogs[at];
            const double rest = static_cast<double>(
                    std::max<std::int64_t>(request.promptTokens - view.cachedPromptTokens, 0));
            if (view.row->role == engine_role::Prefill) {
                // the other entries' prompts are not seen; they are as many as this entry's
                const double ahead = backlog.prefillTokens * request.fleetEntries;
                m_fill.push_back({m_indexes[at], (ahead + rest) / fillRate});
                continue;
            }
            const double rate = wholeRate;
            const double filled = (backlog.prefillTokens + rest) / rate;
            const double generated = crowd(view, backlog);
            m_whole.push_back({m_indexes[at], filled + generated});
            // a fetched prompt stays in the cache, so it is fetched to where its parts belong
            const double away = view.home ? 0.0 : awaySeconds;
            m_generate.push_back({m_indexes[at], generated + backlog.prefillTokens / rate + away});
        }
    }

    /// Picks at random among those nearly as good as the best, so that entries with the same
    /// reports don't all choose one engine.
    [[nodiscard]] std::optional<candidate> pick(std::vector<candidate> &candidates)
    {
        if (candidates.empty())
            return std::nullopt;
        const double least = std::ranges::min(candidates, {}, &candidate::seconds).seconds;
        const double bound = least * (1.0 + tieFraction) + tieSeconds;
        std::erase_if(candidates, [bound](const candidate &each) { return each.seconds > bound; });
        std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
        return candidates[any(m_random)];
    }

    std::mt19937_64 m_random;
    engine_estimates m_estimates;
    backlog_estimator m_backlogs;
    std::vector<std::size_t> m_indexes;
    bool m_fillsApart = false;         ///< the pool has engines that only fill prompts
    std::vector<candidate> m_whole;    ///< engines that would fill the prompt and generate
    std::vector<candidate> m_fill;     ///< engines that would only fill the prompt
    std::vector<candidate> m_generate; ///< engines that would only generate
};

const router_registry::registration addPromptHomes{
        "prompt_homes",
        [](std::uint64_t seed) { return std::make_unique<prompt_homes_router>(seed); }};

} // namespace

} // namespace yuccascale::plugins

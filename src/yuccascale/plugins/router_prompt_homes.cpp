#include "yuccascale/kernel/policy/engine_backlog.hpp"

#include <algorithm>
#include <random>

/// \file
/// \brief Chooses for prompts that share long parts, before engines that fill prompts for others.
///
/// Load: a few long parts make up most of the prompt work and fit into the engines' caches once or
/// a few times. A request goes where its first token is soonest, with what is cached there or can
/// be fetched from another engine counted; a long rest of the prompt is filled by a prefill engine
/// when that is sooner than between the tokens of others.

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
constexpr double otherZoneFactor = 2; ///< a transfer between zones takes so much longer
/// A prompt that is fetched pushes other parts out of that engine's cache, and its transfer is
/// paid.
constexpr double awaySeconds = 0.1;
/// Prompt tokens a second of an engine that only fills prompts, and of one that also generates and
/// fills in small pieces between its tokens.
constexpr double fillRate = 50'000;
constexpr double wholeRate = 16'000;
/// A full batch makes tokens come this much later than an empty one.
constexpr double crowdSeconds = 0.4;
/// A request beyond the slots waits for one.
constexpr double slotWaitSeconds = 0.5;
/// Reading a long rest where it is generated holds up the others there by this part of its time.
constexpr double holdUpFactor = 1.0;
constexpr double tieFraction = 0.03; ///< choices closer than this share of the best are equal
constexpr double tieSeconds = 0.004;

[[nodiscard]] double transferSeconds(std::int64_t tokens, bool otherZone) noexcept
{
    const double factor = otherZone ? otherZoneFactor : 1.0;
    return transferBaseSeconds + factor * transferSecondsPerToken * static_cast<double>(tokens);
}

[[nodiscard]] double fetchSeconds(const endpoint_view &view, std::span<const endpoint_view> views)
{
    if (!view.fetchFrom || view.fetchableTokens == 0)
        return 0;
    const bool otherZone = views[*view.fetchFrom].row->zone != view.row->zone;
    return transferSeconds(view.fetchableTokens, otherZone) + awaySeconds;
}

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
        const endpoint_view &home = views[whole->index];
        routing_choice choice{whole->index,
                              std::nullopt,
                              toDuration(whole->seconds),
                              toDuration(whole->seconds),
                              "soonest first token",
                              home.fetchFrom};
        if (request.promptTokens >= leastApartTokens && request.mayDisaggregatePrefill)
            considerApart(request, views, choice);
        return choice;
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
        m_whole.clear();
        m_fill.clear();
        m_generate.clear();
        for (std::size_t at = 0; at < m_indexes.size(); ++at) {
            const endpoint_view &view = views[m_indexes[at]];
            const engine_backlog &backlog = backlogs[at];
            const double rest = static_cast<double>(std::max<std::int64_t>(
                    request.promptTokens - view.cachedPromptTokens - view.fetchableTokens, 0));
            const double fetched = fetchSeconds(view, views);
            // the others' short prompts are not told of; they are as many as this entry's
            const double ahead = backlog.prefillTokens
                    + static_cast<double>(view.prefillTokensElsewhere)
                    + static_cast<double>(view.unannouncedTokensHere) * (request.fleetEntries - 1);
            if (view.row->role == engine_role::Prefill) {
                m_fill.push_back({m_indexes[at], fetched + (ahead + rest) / fillRate});
                continue;
            }
            const double rate = wholeRate;
            const double filled = (ahead + rest) / rate;
            const double generated = crowd(view, backlog);
            const double heldUp = rest < leastApartTokens ? 0.0 : holdUpFactor * rest / rate;
            m_whole.push_back({m_indexes[at], fetched + filled + generated + heldUp});
            // a fetched prompt stays in the cache, so it is fetched to where its parts belong
            const double away = view.home ? 0.0 : awaySeconds;
            m_generate.push_back({m_indexes[at], generated + ahead / rate + away});
        }
    }

    /// Takes another engine to fill the prompt when that is sooner.
    void considerApart(const routing_request &request, std::span<const endpoint_view> views,
                       routing_choice &choice)
    {
        const std::optional<candidate> fill = pick(m_fill);
        const std::optional<candidate> generate = pick(m_generate);
        if (!fill || !generate)
            return;
        const nanoseconds apart = toDuration(fill->seconds + generate->seconds
                                             + transferSeconds(request.promptTokens, false));
        if (apart >= choice.predictedFirstToken)
            return;
        choice = {generate->index, fill->index,           apart,
                  apart,           "prompt filled apart", views[fill->index].fetchFrom};
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
    std::vector<candidate> m_whole;    ///< engines that would fill the prompt and generate
    std::vector<candidate> m_fill;     ///< engines that would only fill the prompt
    std::vector<candidate> m_generate; ///< engines that would only generate
};

const router_registry::registration addPromptHomes{
        "prompt_homes",
        [](std::uint64_t seed) { return std::make_unique<prompt_homes_router>(seed); }};

} // namespace

} // namespace yuccascale::plugins

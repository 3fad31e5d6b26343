#include "yuccascale/kernel/policy/engine_backlog.hpp"
#include "yuccascale/kernel/policy/prefill_rates.hpp"

#include <algorithm>
#include <random>

/// \file
/// \brief Router for prompts that share long parts, in pools with engines that prefill for others.
///
/// Assumes that a few long parts make up most of the prefill work and fit into the engines' KV
/// caches once or a few times. A request goes to the engine with the earliest predicted first
/// token, taking into account what is cached there or can be fetched from another engine. When a
/// long part of the prompt remains, a prefill engine computes it if that is faster than on an
/// engine that also decodes.

namespace yuccascale::plugins {

namespace {

using namespace kernel::policy;
using kernel::instant;
using kernel::nanoseconds;
using kernel::state::engine_role;

/// When fewer prompt tokens than this remain, one engine does both prefill and decode.
constexpr std::int64_t minSplitPrefillTokens = 1'024;
/// Cost of one more call and the transfer of the KV cache.
constexpr double transferBaseSeconds = 0.02;
/// Time to transfer the KV cache of a token when the pool does not state its size and its link.
constexpr double defaultKvSecondsPerToken = 2e-6;
constexpr double otherZoneFactor = 2; ///< a transfer between zones takes this many times as long
/// Penalty for each fetch to an engine that keeps it, and for decoding off the prompt's home: a
/// fetched prompt evicts other parts from the engine's cache.
constexpr double nonHomePenaltySeconds = 0.1;
/// Added delay of the tokens in a full batch over an empty one.
constexpr double fullBatchDelaySeconds = 0.4;
/// Predicted wait for each request beyond the slots.
constexpr double slotWaitSeconds = 0.5;
/// A long prefill on an engine that also decodes delays the other requests there by this share of
/// its time.
constexpr double decodeStallFactor = 1.0;
constexpr double tieFraction = 0.03; ///< candidates within this share of the best count as equal
constexpr double tieSeconds = 0.004;

[[nodiscard]] double transferSeconds(const routing_request &request, std::int64_t tokens,
                                     bool otherZone) noexcept
{
    const double secondsPerToken
            = request.kvSecondsPerToken > 0 ? request.kvSecondsPerToken : defaultKvSecondsPerToken;
    const double factor = otherZone ? otherZoneFactor : 1.0;
    return transferBaseSeconds + factor * secondsPerToken * static_cast<double>(tokens);
}

[[nodiscard]] double fetchSeconds(const routing_request &request, const endpoint_view &view,
                                  std::span<const endpoint_view> views)
{
    if (!view.fetchFrom || view.fetchableTokens == 0)
        return 0;
    const bool otherZone = views[*view.fetchFrom].row->zone != view.row->zone;
    const double penalty = view.row->role == engine_role::Prefill ? 0.0 : nonHomePenaltySeconds;
    return transferSeconds(request, view.fetchableTokens, otherZone) + penalty;
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

[[nodiscard]] double batchDelay(const endpoint_view &view, const engine_backlog &backlog) noexcept
{
    const double slots = std::max(view.row->slots, 1);
    const double overflow = std::max(backlog.running + 1 - slots, 0.0);
    return fullBatchDelaySeconds * backlog.running / slots + slotWaitSeconds * overflow;
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
        scoreCandidates(now, request, views);
        const std::optional<candidate> unsplit = pick(m_unsplit);
        if (!unsplit)
            return std::nullopt;
        const endpoint_view &home = views[unsplit->index];
        routing_choice choice{unsplit->index,
                              std::nullopt,
                              toDuration(unsplit->seconds),
                              toDuration(unsplit->seconds),
                              "earliest first token",
                              home.fetchFrom};
        if (request.promptTokens >= minSplitPrefillTokens && request.mayDisaggregatePrefill)
            considerSplitPrefill(request, views, choice);
        return choice;
    }

    void observe(instant, const routing_outcome &outcome) override
    {
        m_estimates.observe(outcome);
        m_backlogs.observe(outcome);
        if (outcome.answered)
            m_rates.observe(outcome.prefillOnly, outcome.promptTokens - outcome.cachedTokens,
                            outcome.tokensAhead, outcome.timeToFirstToken);
    }

private:
    void scoreCandidates(instant now, const routing_request &request,
                         std::span<const endpoint_view> views)
    {
        m_indexes.clear();
        for (std::size_t index = 0; index < views.size(); ++index) {
            if (views[index].usable)
                m_indexes.push_back(index);
        }
        const auto backlogs
                = m_backlogs.estimate(now, views, m_indexes, request.entries, m_estimates);
        m_unsplit.clear();
        m_prefill.clear();
        m_decode.clear();
        for (std::size_t position = 0; position < m_indexes.size(); ++position) {
            const endpoint_view &view = views[m_indexes[position]];
            const engine_backlog &backlog = backlogs[position];
            const double remainingTokens = static_cast<double>(std::max<std::int64_t>(
                    request.promptTokens - view.cachedPromptTokens - view.fetchableTokens, 0));
            const double fetchDelay = fetchSeconds(request, view, views);
            // other entries do not report their short prompts; each is assumed to have as many as
            // this entry
            const double queuedPrefillTokens = backlog.prefillTokens
                    + static_cast<double>(view.remotePrefillTokens)
                    + static_cast<double>(view.ownUnannouncedTokens) * (request.fleetEntries - 1);
            const bool prefillOnly = view.row->role == engine_role::Prefill;
            const double tokensPerSecond = m_rates.tokensPerSecond(prefillOnly);
            const double prefillSeconds = (queuedPrefillTokens + remainingTokens) / tokensPerSecond;
            if (prefillOnly) {
                m_prefill.push_back({m_indexes[position], fetchDelay + prefillSeconds});
                continue;
            }
            const double decodeDelay = batchDelay(view, backlog);
            const double decodeStall = remainingTokens < minSplitPrefillTokens
                    ? 0.0
                    : decodeStallFactor * remainingTokens / tokensPerSecond;
            m_unsplit.push_back(
                    {m_indexes[position], fetchDelay + prefillSeconds + decodeDelay + decodeStall});
            // a fetched prompt stays in the cache, so it should be fetched to one of its homes
            const double nonHomePenalty = view.home ? 0.0 : nonHomePenaltySeconds;
            m_decode.push_back(
                    {m_indexes[position],
                     decodeDelay + queuedPrefillTokens / tokensPerSecond + nonHomePenalty});
        }
    }

    /// Uses a separate prefill engine when its predicted first token is earlier.
    void considerSplitPrefill(const routing_request &request, std::span<const endpoint_view> views,
                              routing_choice &choice)
    {
        const std::optional<candidate> prefill = pick(m_prefill);
        const std::optional<candidate> decode = pick(m_decode);
        if (!prefill || !decode)
            return;
        const nanoseconds splitFirstToken
                = toDuration(prefill->seconds + decode->seconds
                             + transferSeconds(request, request.promptTokens, false));
        if (splitFirstToken >= choice.predictedFirstToken)
            return;
        choice = {decode->index,
                  prefill->index,
                  splitFirstToken,
                  splitFirstToken,
                  "separate prefill: earliest first token",
                  views[prefill->index].fetchFrom};
    }

    /// Picks at random among the candidates close to the best, so that entries with the same
    /// reports do not all choose one engine.
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
    prefill_rates m_rates;
    std::vector<std::size_t> m_indexes;
    std::vector<candidate> m_unsplit; ///< engines that would prefill and decode
    std::vector<candidate> m_prefill; ///< engines that would only prefill
    std::vector<candidate> m_decode;  ///< engines that would only decode
};

const router_registry::registration addPromptHomes{
        "prompt_homes",
        [](std::uint64_t seed) { return std::make_unique<prompt_homes_router>(seed); }};

} // namespace

} // namespace yuccascale::plugins

#include "yuccascale/kernel/policy/endpoint_occupancy.hpp"
#include "yuccascale/kernel/policy/engine_backlog.hpp"
#include "yuccascale/kernel/policy/prefill_rates.hpp"
#include "yuccascale/kernel/policy/request_rate.hpp"
#include "yuccascale/kernel/policy/spread_choice.hpp"

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
///
/// In pools whose endpoints report a pace, each endpoint is predicted from its own rate, pace and
/// requests, and drawn by spread_choice.

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
    return transferSeconds(request, view.fetchableTokens, otherZone);
}

/// \returns the penalty for a fetch to an engine that keeps what it fetches.
[[nodiscard]] double fetchPenalty(const endpoint_view &view) noexcept
{
    const bool keeps = view.row->role != engine_role::Prefill;
    return keeps && view.fetchFrom && view.fetchableTokens > 0 ? nonHomePenaltySeconds : 0.0;
}

struct candidate
{
    std::size_t index = 0;
    double seconds = 0;           ///< to the first token
    double cost = 0;              ///< those and the penalties, in seconds; the least is chosen
    double requestsPerSecond = 0; ///< that the endpoint works off; set where it reports a pace
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

/// \returns the requests a second that an endpoint can work off.
/// \param tokensPerSecond of its prefill
[[nodiscard]] double workRate(instant now, const endpoint_view &view,
                              double tokensPerSecond) noexcept
{
    const endpoint_speed &speed = *view.speed;
    const double slotRate = speed.slots / answerSecondsAt(now, view);
    if (speed.plainService || speed.promptTokens <= 0)
        return slotRate;
    return std::min(slotRate, tokensPerSecond / speed.promptTokens);
}

class prompt_homes_router final : public router
{
public:
    /// \param usesPace whether endpoints that report a pace are predicted by their own rates
    prompt_homes_router(std::uint64_t seed, bool usesPace)
        : m_usesPace(usesPace)
        , m_random(seed)
    { }

    [[nodiscard]] bool usesPace() const noexcept override { return m_usesPace; }

    [[nodiscard]] std::optional<routing_choice>
    choose(instant now, const routing_request &request,
           std::span<const endpoint_view> views) override
    {
        scoreCandidates(now, request, views);
        const std::optional<candidate> unsplit = m_paced
                ? drawByPace(m_unsplit, unseenRequests(now, request, views))
                : pick(m_unsplit);
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
            considerSplitPrefill(request, views, *unsplit, choice);
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
        m_unsplit.clear();
        m_prefill.clear();
        m_decode.clear();
        m_paced = !m_indexes.empty() && views[m_indexes.front()].speed;
        if (m_paced)
            return scoreByPace(now, request, views);
        const auto backlogs
                = m_backlogs.estimate(now, views, m_indexes, request.entries, m_estimates);
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
                const double seconds = fetchDelay + prefillSeconds;
                m_prefill.push_back({m_indexes[position], seconds, seconds});
                continue;
            }
            const double decodeDelay = batchDelay(view, backlog);
            const double decodeStall = remainingTokens < minSplitPrefillTokens
                    ? 0.0
                    : decodeStallFactor * remainingTokens / tokensPerSecond;
            const double seconds = fetchDelay + prefillSeconds + decodeDelay;
            m_unsplit.push_back(
                    {m_indexes[position], seconds, seconds + fetchPenalty(view) + decodeStall});
            // a fetched prompt stays in the cache, so it should be fetched to one of its homes
            const double nonHomePenalty = view.home ? 0.0 : nonHomePenaltySeconds;
            const double decodeSeconds = decodeDelay + queuedPrefillTokens / tokensPerSecond;
            m_decode.push_back(
                    {m_indexes[position], decodeSeconds, decodeSeconds + nonHomePenalty});
        }
    }

    void scoreByPace(instant now, const routing_request &request,
                     std::span<const endpoint_view> views)
    {
        const auto requests = m_occupancy.estimate(now, views, m_indexes);
        for (std::size_t position = 0; position < m_indexes.size(); ++position) {
            const std::size_t index = m_indexes[position];
            const endpoint_view &view = views[index];
            if (view.speed->plainService)
                m_unsplit.push_back(scoreService(now, view, index, requests[position]));
            else
                scoreEngine(now, request, views, index, requests[position]);
        }
    }

    [[nodiscard]] static candidate scoreService(instant now, const endpoint_view &view,
                                                std::size_t index, double requests)
    {
        const double seconds = answerSecondsAt(now, view) + slotWaitAt(now, view, requests);
        return {index, seconds, seconds, workRate(now, view, 0)};
    }

    void scoreEngine(instant now, const routing_request &request,
                     std::span<const endpoint_view> views, std::size_t index, double requests)
    {
        const endpoint_view &view = views[index];
        const double remainingTokens = static_cast<double>(std::max<std::int64_t>(
                request.promptTokens - view.cachedPromptTokens - view.fetchableTokens, 0));
        const double queuedTokens = view.speed->queuedTokens;
        const bool prefillOnly = view.row->role == engine_role::Prefill;
        const double tokensPerSecond = prefillRateAt(now, view, queuedTokens + remainingTokens,
                                                     m_rates.tokensPerSecond(prefillOnly));
        const double fetchDelay = fetchSeconds(request, view, views);
        const double prefillSeconds = (queuedTokens + remainingTokens) / tokensPerSecond;
        const double rate = workRate(now, view, tokensPerSecond);
        if (prefillOnly) {
            const double seconds = fetchDelay + prefillSeconds;
            m_prefill.push_back({index, seconds, seconds, rate});
            return;
        }
        const endpoint_speed &speed = *view.speed;
        const double step = speed.tokenSeconds * speed.slowdown * speed.pace.expected(now, 0);
        const double decodeDelay = requests * speed.promptTokens / tokensPerSecond
                + slotWaitAt(now, view, requests) + step;
        const double decodeStall = remainingTokens < minSplitPrefillTokens
                ? 0.0
                : decodeStallFactor * remainingTokens / tokensPerSecond;
        const double seconds = fetchDelay + prefillSeconds + decodeDelay;
        m_unsplit.push_back({index, seconds, seconds + fetchPenalty(view) + decodeStall, rate});
        const double nonHomePenalty = view.home ? 0.0 : nonHomePenaltySeconds;
        const double decodeSeconds = decodeDelay + queuedTokens / tokensPerSecond;
        m_decode.push_back({index, decodeSeconds, decodeSeconds + nonHomePenalty, rate});
    }

    /// Long prompts are announced at once, so that none of them is unseen for long.
    /// \returns the requests of other entries like this one that no report shows.
    [[nodiscard]] double unseenRequests(instant now, const routing_request &request,
                                        std::span<const endpoint_view> views)
    {
        if (request.promptTokens >= minSplitPrefillTokens || m_unsplit.empty())
            return 0;
        m_requestRate.add(now);
        double seconds = 0;
        for (const candidate &each : m_unsplit)
            seconds += unseenSecondsAt(now, views[each.index]);
        const double others = std::max(request.fleetEntries - 1, 0);
        return others * m_requestRate.perSecond(now) * seconds
                / static_cast<double>(m_unsplit.size());
    }

    [[nodiscard]] std::optional<candidate> drawByPace(const std::vector<candidate> &candidates,
                                                      double unseen)
    {
        if (candidates.empty())
            return std::nullopt;
        m_spread.clear();
        for (const candidate &each : candidates)
            m_spread.push_back({each.index, each.cost, each.requestsPerSecond});
        const double least = std::ranges::min(candidates, {}, &candidate::cost).cost;
        const auto drawn = drawSpread(m_spread, unseen, least * tieFraction + tieSeconds, m_random);
        return *std::ranges::find(candidates, drawn->index, &candidate::index);
    }

    /// Uses a separate prefill engine when that costs less than \a unsplit.
    void considerSplitPrefill(const routing_request &request, std::span<const endpoint_view> views,
                              const candidate &unsplit, routing_choice &choice)
    {
        const auto prefill = m_paced ? drawByPace(m_prefill, 0) : pick(m_prefill);
        const auto decode = m_paced ? drawByPace(m_decode, 0) : pick(m_decode);
        if (!prefill || !decode)
            return;
        const double transfer = transferSeconds(request, request.promptTokens, false);
        if (prefill->cost + decode->cost + transfer >= unsplit.cost)
            return;
        const nanoseconds splitFirstToken
                = toDuration(prefill->seconds + decode->seconds + transfer);
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
        const double least = std::ranges::min(candidates, {}, &candidate::cost).cost;
        const double bound = least * (1.0 + tieFraction) + tieSeconds;
        std::erase_if(candidates, [bound](const candidate &each) { return each.cost > bound; });
        std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
        return candidates[any(m_random)];
    }

    const bool m_usesPace;
    std::mt19937_64 m_random;
    engine_estimates m_estimates;
    backlog_estimator m_backlogs;
    prefill_rates m_rates;
    occupancy_estimator m_occupancy;
    request_rate m_requestRate; ///< of short prompts and of requests without one
    bool m_paced = false;       ///< the pool's endpoints report a pace
    std::vector<spread_candidate> m_spread;
    std::vector<std::size_t> m_indexes;
    std::vector<candidate> m_unsplit; ///< engines that would prefill and decode
    std::vector<candidate> m_prefill; ///< engines that would only prefill
    std::vector<candidate> m_decode;  ///< engines that would only decode
};

const router_registry::registration addPromptHomes{
        "prompt_homes",
        [](std::uint64_t seed) { return std::make_unique<prompt_homes_router>(seed, false); }};
const router_registry::registration addPacedPromptHomes{
        "prompt_homes_paced",
        [](std::uint64_t seed) { return std::make_unique<prompt_homes_router>(seed, true); }};

} // namespace

} // namespace yuccascale::plugins

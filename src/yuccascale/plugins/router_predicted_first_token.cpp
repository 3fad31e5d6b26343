#include "yuccascale/kernel/policy/engine_backlog.hpp"

#include <algorithm>
#include <cmath>
#include <random>

/// \file
/// \brief Router that chooses by the predicted times of the first token and of the complete answer.

namespace yuccascale::plugins {

namespace {

using namespace kernel::policy;
using kernel::instant;
using kernel::nanoseconds;
using kernel::state::engine_role;

constexpr double transferBaseSeconds = 0.02;
constexpr double transferSecondsPerToken = 5e-6;
constexpr double tieFraction = 0.03; ///< candidates within this share of the best count as equal
constexpr double tieSeconds = 0.01;
constexpr double decodeWeight = 0.05; ///< weight in the score of the time after the first token
constexpr double deviationBase = 1.0; ///< requests
/// Multiplied by the square root of the unseen requests.
constexpr double unseenDeviationFactor = 0.5;

/// Expected number of requests beyond the slots when the number of running requests is uncertain.
double expectedOverflow(double excess, double unseen)
{
    const double deviation = deviationBase + unseenDeviationFactor * std::sqrt(unseen);
    return deviation * std::log1p(std::exp(std::min(excess / deviation, 30.0)));
}

/// \brief How many usable endpoints are compared in one decision.
struct scan_options
{
    std::size_t fullScanUpTo = 64; ///< in pools up to this size all endpoints are compared
    std::size_t sample = 8;        ///< endpoints drawn at random from a larger pool
};

/// \brief An endpoint and its predicted times for the request, in seconds from now.
struct candidate
{
    std::size_t index = 0;
    double firstToken = 0;
    double decode = 0; ///< from the first token to the complete answer

    [[nodiscard]] double completion() const noexcept { return firstToken + decode; }
    [[nodiscard]] double score() const noexcept { return firstToken + decodeWeight * decode; }
};

nanoseconds toDuration(double secondsFromNow)
{
    return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(secondsFromNow));
}

class predicted_first_token_router final : public router
{
public:
    predicted_first_token_router(std::uint64_t seed, scan_options options)
        : m_random(seed)
        , m_options(options)
    { }

    [[nodiscard]] std::optional<routing_choice>
    choose(instant now, const routing_request &request,
           std::span<const endpoint_view> views) override
    {
        drawCandidates(views, request.avoidZones);
        if (m_indexes.empty())
            return std::nullopt;
        const auto backlogs
                = m_backlogs.estimate(now, views, m_indexes, request.entries, m_estimates);
        m_unsplit.clear();
        m_prefill.clear();
        m_decode.clear();
        for (std::size_t position = 0; position < m_indexes.size(); ++position)
            predict(request, views, m_indexes[position], backlogs[position]);
        const bool prefillOnlyPool = std::ranges::all_of(views, [](const endpoint_view &view) {
            return view.report.role == engine_role::Prefill;
        });
        return chooseBest(request, prefillOnlyPool);
    }

    void observe(instant, const routing_outcome &outcome) override
    {
        m_estimates.observe(outcome);
        m_backlogs.observe(outcome);
    }

private:
    /// Collects the usable endpoints outside the zones to avoid, or all usable ones if there are
    /// none, and draws a sample of them in large pools.
    void drawCandidates(std::span<const endpoint_view> views,
                        std::span<const std::string> avoidZones)
    {
        m_indexes.clear();
        std::size_t preferredCount = 0;
        for (std::size_t index = 0; index < views.size(); ++index) {
            if (!views[index].usable)
                continue;
            m_indexes.push_back(index);
            const bool avoided
                    = std::ranges::find(avoidZones, views[index].row->zone) != avoidZones.end();
            if (!avoided)
                std::swap(m_indexes[preferredCount++], m_indexes.back());
        }
        if (preferredCount > 0)
            m_indexes.resize(preferredCount);
        if (m_indexes.size() <= m_options.fullScanUpTo)
            return;
        const std::size_t drawn = std::min(m_options.sample, m_indexes.size());
        for (std::size_t draw = 0; draw < drawn; ++draw) {
            std::uniform_int_distribution<std::size_t> pick(draw, m_indexes.size() - 1);
            std::swap(m_indexes[draw], m_indexes[pick(m_random)]);
        }
        m_indexes.resize(drawn);
    }

    void predict(const routing_request &request, std::span<const endpoint_view> views,
                 std::size_t index, const engine_backlog &backlog)
    {
        const endpoint_view &view = views[index];
        const engine_estimate &estimate = m_estimates.estimateOf(view.row->name);
        const double uncached = static_cast<double>(
                std::max<std::int64_t>(request.promptTokens - view.cachedPromptTokens, 1));
        const double prefill = (backlog.prefillTokens + uncached) / estimate.prefillTokensPerSecond;
        const double step = estimate.stepSeconds(backlog.running + 1);
        const double slots = std::max(view.row->slots, 1);
        const double overflow = expectedOverflow(backlog.running + 1 - slots, backlog.unreported);
        const double slotWait = overflow * step * averageOutput(request) / slots;
        const double decode = step * static_cast<double>(request.outputTokens);
        if (view.report.role != engine_role::Prefill)
            m_unsplit.push_back({index, prefill + slotWait, decode});
        if (view.report.role == engine_role::Prefill)
            m_prefill.push_back({index, prefill, 0});
        if (view.report.role == engine_role::Decode)
            m_decode.push_back({index, slotWait, decode});
    }

    [[nodiscard]] static double averageOutput(const routing_request &request)
    {
        return static_cast<double>(std::max<std::int64_t>(request.outputTokens, 1));
    }

    /// Picks at random among the candidates close to the best, so that entries with the same
    /// reports do not all choose one engine.
    [[nodiscard]] std::optional<candidate> pick(std::vector<candidate> &candidates)
    {
        if (candidates.empty())
            return std::nullopt;
        const double least = std::ranges::min(candidates, {}, &candidate::score).score();
        const double bound = least * (1.0 + tieFraction) + tieSeconds;
        std::erase_if(candidates, [bound](const candidate &each) { return each.score() > bound; });
        std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
        return candidates[any(m_random)];
    }

    [[nodiscard]] std::optional<routing_choice> chooseBest(const routing_request &request,
                                                           bool prefillOnlyPool)
    {
        const std::optional<candidate> unsplit = pick(m_unsplit);
        const std::optional<candidate> prefill = pick(m_prefill);
        const std::optional<candidate> decode = pick(m_decode);
        const double transfer = transferBaseSeconds
                + transferSecondsPerToken * static_cast<double>(request.promptTokens);
        if (prefill && decode) {
            const double firstToken = std::max(prefill->firstToken + transfer, decode->firstToken);
            if (!unsplit || firstToken + decode->decode < unsplit->completion())
                return routing_choice{decode->index, prefill->index, toDuration(firstToken),
                                      toDuration(firstToken + decode->decode),
                                      "separate prefill: earliest completion"};
        }
        if (unsplit)
            return routing_choice{unsplit->index, std::nullopt, toDuration(unsplit->firstToken),
                                  toDuration(unsplit->completion()), "earliest completion"};
        if (prefill && prefillOnlyPool)
            return routing_choice{prefill->index, std::nullopt, toDuration(prefill->firstToken),
                                  toDuration(prefill->firstToken),
                                  "the pool has prefill engines only"};
        return std::nullopt;
    }

    std::mt19937_64 m_random;
    scan_options m_options;
    engine_estimates m_estimates;
    backlog_estimator m_backlogs;
    std::vector<std::size_t> m_indexes;
    std::vector<candidate> m_unsplit; ///< engines that would prefill and decode
    std::vector<candidate> m_prefill; ///< engines that would only prefill
    std::vector<candidate> m_decode;  ///< engines that would only decode
};

std::unique_ptr<router> makeRouter(std::uint64_t seed, scan_options options)
{
    return std::make_unique<predicted_first_token_router>(seed, options);
}

const router_registry::registration addPredicted{"predicted_first_token", [](std::uint64_t seed) {
                                                     return makeRouter(seed, scan_options{});
                                                 }};
const router_registry::registration addPredictedOfTwo{
        "predicted_of_two", [](std::uint64_t seed) {
            return makeRouter(seed, scan_options{0, 2});
        }};
const router_registry::registration addPredictedOfSix{
        "predicted_of_six", [](std::uint64_t seed) {
            return makeRouter(seed, scan_options{0, 6});
        }};

const router_registry::registration addPredictedFullScan{
        "predicted_full_scan", [](std::uint64_t seed) {
            return makeRouter(seed, scan_options{100'000, 0});
        }};

} // namespace

} // namespace yuccascale::plugins

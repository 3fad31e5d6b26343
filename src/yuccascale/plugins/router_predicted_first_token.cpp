#include "yuccascale/kernel/policy/engine_backlog.hpp"

#include <algorithm>
#include <cmath>
#include <random>

/// \file
/// \brief Chooses by the predicted times of the first token and of the whole answer.

namespace yuccascale::plugins {

namespace {

using namespace kernel::policy;
using kernel::instant;
using kernel::nanoseconds;
using kernel::state::engine_role;

constexpr double transferBaseSeconds = 0.02;
constexpr double transferSecondsPerToken = 5e-6;
constexpr double tieFraction = 0.03; ///< choices closer than this share of the best are equal
constexpr double tieSeconds = 0.01;
constexpr double decodeWeight = 0.05;   ///< of the time after the first token
constexpr double deviationBase = 1.0;   ///< requests
constexpr double deviationUnseen = 0.5; ///< times the root of the requests not seen

/// Expected excess over the slots when the number of running requests is uncertain.
double expectedOver(double excess, double unseen)
{
    const double deviation = deviationBase + deviationUnseen * std::sqrt(unseen);
    return deviation * std::log1p(std::exp(std::min(excess / deviation, 30.0)));
}

/// \brief How many usable endpoints are compared for one choice.
struct scan_options
{
    std::size_t fullScanUpTo = 64; ///< pools up to this size are scanned whole
    std::size_t sample = 8;        ///< endpoints drawn from a larger pool
};

/// \brief An endpoint and what it would take for the request, in seconds from now.
struct candidate
{
    std::size_t index = 0;
    double firstToken = 0;
    double decode = 0; ///< from the first token to the whole answer

    [[nodiscard]] double whole() const noexcept { return firstToken + decode; }
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
        m_whole.clear();
        m_prefill.clear();
        m_decode.clear();
        for (std::size_t at = 0; at < m_indexes.size(); ++at)
            predict(request, views, m_indexes[at], backlogs[at]);
        const bool onlyPrefill = std::ranges::all_of(views, [](const endpoint_view &view) {
            return view.report.role == engine_role::Prefill;
        });
        return best(request, onlyPrefill);
    }

    void observe(instant, const routing_outcome &outcome) override
    {
        m_estimates.observe(outcome);
        m_backlogs.observe(outcome);
    }

private:
    /// Takes the usable endpoints outside the zones to avoid, or all usable ones if there are none.
    void drawCandidates(std::span<const endpoint_view> views,
                        std::span<const std::string> avoidZones)
    {
        m_indexes.clear();
        std::size_t outside = 0;
        for (std::size_t index = 0; index < views.size(); ++index) {
            if (!views[index].usable)
                continue;
            m_indexes.push_back(index);
            const bool avoided
                    = std::ranges::find(avoidZones, views[index].row->zone) != avoidZones.end();
            if (!avoided)
                std::swap(m_indexes[outside++], m_indexes.back());
        }
        if (outside > 0)
            m_indexes.resize(outside);
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
        const double over = expectedOver(backlog.running + 1 - slots, backlog.unreported);
        const double slotWait = over * step * averageOutput(request) / slots;
        const double decode = step * static_cast<double>(request.outputTokens);
        if (view.report.role != engine_role::Prefill)
            m_whole.push_back({index, prefill + slotWait, decode});
        if (view.report.role == engine_role::Prefill)
            m_prefill.push_back({index, prefill, 0});
        if (view.report.role == engine_role::Decode)
            m_decode.push_back({index, slotWait, decode});
    }

    [[nodiscard]] static double averageOutput(const routing_request &request)
    {
        return static_cast<double>(std::max<std::int64_t>(request.outputTokens, 1));
    }

    /// Picks at random among those nearly as good as the best, so that entries with the same
    /// reports don't all choose one engine.
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

    [[nodiscard]] std::optional<routing_choice> best(const routing_request &request,
                                                     bool onlyPrefill)
    {
        const std::optional<candidate> together = pick(m_whole);
        const std::optional<candidate> prefill = pick(m_prefill);
        const std::optional<candidate> decode = pick(m_decode);
        const double transfer = transferBaseSeconds
                + transferSecondsPerToken * static_cast<double>(request.promptTokens);
        if (prefill && decode) {
            const double firstToken = std::max(prefill->firstToken + transfer, decode->firstToken);
            if (!together || firstToken + decode->decode < together->whole())
                return routing_choice{decode->index, prefill->index, toDuration(firstToken),
                                      toDuration(firstToken + decode->decode),
                                      "prefill apart: sooner whole"};
        }
        if (together)
            return routing_choice{together->index, std::nullopt, toDuration(together->firstToken),
                                  toDuration(together->whole()), "soonest whole"};
        if (prefill && onlyPrefill)
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
    std::vector<candidate> m_whole;   ///< engines that would do it all
    std::vector<candidate> m_prefill; ///< engines that would only fill the prompt
    std::vector<candidate> m_decode;  ///< engines that would only generate
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

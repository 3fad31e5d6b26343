#include "yuccascale/kernel/policy/engine_estimates.hpp"

#include <algorithm>
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
        drawCandidates(views);
        if (m_indexes.empty())
            return std::nullopt;
        const unseen_work unseen = unseenWork(views, request.entries);
        m_whole.clear();
        m_prefill.clear();
        m_decode.clear();
        for (const std::size_t index : m_indexes)
            predict(now, request, views, index, unseen);
        return best(request);
    }

    void observe(instant, const routing_outcome &outcome) override { m_estimates.observe(outcome); }

private:
    void drawCandidates(std::span<const endpoint_view> views)
    {
        m_indexes.clear();
        for (std::size_t index = 0; index < views.size(); ++index) {
            if (views[index].usable)
                m_indexes.push_back(index);
        }
        if (m_indexes.size() <= m_options.fullScanUpTo)
            return;
        const std::size_t drawn = std::min(m_options.sample, m_indexes.size());
        for (std::size_t draw = 0; draw < drawn; ++draw) {
            std::uniform_int_distribution<std::size_t> pick(draw, m_indexes.size() - 1);
            std::swap(m_indexes[draw], m_indexes[pick(m_random)]);
        }
        m_indexes.resize(drawn);
    }

    void predict(instant now, const routing_request &request, std::span<const endpoint_view> views,
                 std::size_t index, const unseen_work &unseen)
    {
        const endpoint_view &view = views[index];
        const engine_estimate &estimate = m_estimates.of(view.row->name);
        const engine_backlog backlog = backlogOf(now, view, unseen, estimate);
        const double uncached = static_cast<double>(
                std::max<std::int64_t>(request.promptTokens - view.cachedPromptTokens, 1));
        const double prefill = (backlog.prefillTokens + uncached) / estimate.prefillTokensPerSecond;
        const double step = estimate.stepSeconds(backlog.running + 1);
        const double slots = std::max(view.row->slots, 1);
        const double over = std::max(backlog.running + 1 - slots, 0.0);
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
        const double least = std::ranges::min(candidates, {}, &candidate::whole).whole();
        const double bound = least * (1.0 + tieFraction) + tieSeconds;
        std::erase_if(candidates, [bound](const candidate &each) { return each.whole() > bound; });
        std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
        return candidates[any(m_random)];
    }

    [[nodiscard]] std::optional<routing_choice> best(const routing_request &request)
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
        if (prefill)
            return routing_choice{prefill->index, std::nullopt, toDuration(prefill->firstToken),
                                  toDuration(prefill->firstToken), "only prefill engines left"};
        return std::nullopt;
    }

    std::mt19937_64 m_random;
    scan_options m_options;
    engine_estimates m_estimates;
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

} // namespace

} // namespace yuccascale::plugins

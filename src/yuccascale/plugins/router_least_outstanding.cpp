#include "yuccascale/kernel/policy/routing.hpp"

#include <algorithm>
#include <random>

/// \file
/// \brief Baseline routers by request count: the endpoint with the fewest outstanding requests of
/// all, or of two drawn at random.

namespace yuccascale::plugins {

namespace {

using namespace kernel::policy;

double outstanding(const endpoint_view &view)
{
    const int reported = view.report.running + view.report.queued + view.sentSinceReport;
    return std::max(reported, view.ownOutstandingRequests);
}

class outstanding_router final : public router
{
public:
    /// \param sampleSize number of endpoints compared; 0 for all
    outstanding_router(std::uint64_t seed, std::size_t sampleSize)
        : m_random(seed)
        , m_sampleSize(sampleSize)
    { }

    [[nodiscard]] std::optional<routing_choice>
    choose(kernel::instant, const routing_request &, std::span<const endpoint_view> views) override
    {
        m_usable.clear();
        for (std::size_t index = 0; index < views.size(); ++index) {
            if (views[index].usable)
                m_usable.push_back(index);
        }
        if (m_usable.empty())
            return std::nullopt;
        // shuffling breaks ties at random, so that entries do not all choose the first endpoint
        const std::size_t compared
                = m_sampleSize == 0 ? m_usable.size() : std::min(m_sampleSize, m_usable.size());
        for (std::size_t draw = 0; draw < compared; ++draw) {
            std::uniform_int_distribution<std::size_t> pick(draw, m_usable.size() - 1);
            std::swap(m_usable[draw], m_usable[pick(m_random)]);
        }
        const auto best = std::min_element(
                m_usable.begin(), m_usable.begin() + static_cast<std::ptrdiff_t>(compared),
                [&](std::size_t left, std::size_t right) {
                    return outstanding(views[left]) < outstanding(views[right]);
                });
        return routing_choice{*best, std::nullopt, {}, {}, "fewest outstanding requests"};
    }

    void observe(kernel::instant, const routing_outcome &) override { }

private:
    std::mt19937_64 m_random;
    std::size_t m_sampleSize;
    std::vector<std::size_t> m_usable;
};

const router_registry::registration addLeastOutstanding{
        "least_outstanding",
        [](std::uint64_t seed) { return std::make_unique<outstanding_router>(seed, 0); }};
const router_registry::registration addTwoChoices{
        "two_choices",
        [](std::uint64_t seed) { return std::make_unique<outstanding_router>(seed, 2); }};

} // namespace

} // namespace yuccascale::plugins

#include "yuccascale/kernel/policy/routing.hpp"

/// \file
/// \brief Baseline router: endpoints in turn, regardless of their load.

namespace yuccascale::plugins {

namespace {

using namespace kernel::policy;

class round_robin_router final : public router
{
public:
    explicit round_robin_router(std::uint64_t seed)
        : m_next(seed)
    { }

    [[nodiscard]] std::optional<routing_choice>
    choose(kernel::instant, const routing_request &, std::span<const endpoint_view> views) override
    {
        for (std::size_t tried = 0; tried < views.size(); ++tried) {
            const std::size_t index = m_next++ % views.size();
            if (views[index].usable)
                return routing_choice{index, std::nullopt, {}, {}, "next in turn"};
        }
        return std::nullopt;
    }

    void observe(kernel::instant, const routing_outcome &) override { }

private:
    std::size_t m_next;
};

const router_registry::registration addRoundRobin{
        "round_robin",
        [](std::uint64_t seed) { return std::make_unique<round_robin_router>(seed); }};

} // namespace

} // namespace yuccascale::plugins

#include "yuccascale/kernel/policy/fleet_load.hpp"

#include <algorithm>

/// \file
/// \brief Baseline role policies: roles as the operators configured them, and a rule with two
/// utilisation thresholds.

namespace yuccascale::plugins {

namespace {

using namespace kernel::policy;
using kernel::instant;
using kernel::state::engine_role;

class fixed_roles final : public role_policy
{
public:
    [[nodiscard]] std::vector<role_change> decide(instant, const pool_demand &,
                                                  const engine_rates &,
                                                  std::span<const engine_view>) override
    {
        return {};
    }
};

constexpr double busyThreshold = 0.9;
constexpr double slackThreshold = 0.75;
constexpr kernel::nanoseconds minChangeInterval = kernel::seconds(10);

/// Changes the role of one engine when prefill or decode is above the busy threshold and the other
/// is below the slack threshold.
class threshold_roles final : public role_policy
{
public:
    [[nodiscard]] std::vector<role_change> decide(instant now, const pool_demand &demand,
                                                  const engine_rates &rates,
                                                  std::span<const engine_view> engines) override
    {
        const fleet_load load = fleetLoad(demand, rates);
        const double prefill = load.prefillEngines / std::max(countOf(engines, true), 1.0);
        const double decode = load.decodeEngines / std::max(countOf(engines, false), 1.0);
        if (now - m_lastChangeAt < minChangeInterval)
            return {};
        if (prefill > busyThreshold && decode < slackThreshold)
            return change(now, engines, engine_role::Prefill);
        if (decode > busyThreshold && prefill < slackThreshold)
            return change(now, engines, engine_role::Decode);
        return {};
    }

private:
    [[nodiscard]] static double countOf(std::span<const engine_view> engines, bool prefill)
    {
        return static_cast<double>(std::ranges::count_if(engines, [prefill](const auto &engine) {
            return (engine.role == engine_role::Prefill) == prefill;
        }));
    }

    std::vector<role_change> change(instant now, std::span<const engine_view> engines,
                                    engine_role newRole)
    {
        for (const engine_view &engine : engines) {
            if (engine.role == newRole || engine.changing || engine.leaving)
                continue;
            if (newRole == engine_role::Decode && engine.role == engine_role::Mixed)
                continue;
            m_lastChangeAt = now;
            return {{engine.row->name, newRole,
                     "utilisation of prefill or decode passed the threshold"}};
        }
        return {};
    }

    instant m_lastChangeAt{};
};

const role_policy_registry::registration addFixed{"fixed",
                                                  [] { return std::make_unique<fixed_roles>(); }};
const role_policy_registry::registration addThreshold{
        "threshold", [] { return std::make_unique<threshold_roles>(); }};

} // namespace

} // namespace yuccascale::plugins

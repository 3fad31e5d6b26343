#include "script.hpp"

#include <algorithm>

namespace yuccascale::measure {

namespace {

constexpr double fleetEngines = 18;

std::function<double(double)> constant(double value)
{
    return [value](double) { return value; };
}

/// Rises from 10% to 60% in two minutes and falls back.
double swingingPrefillShare(double at)
{
    constexpr double low = 0.1;
    constexpr double high = 0.6;
    constexpr double ramp = 120;
    constexpr double start = 30;
    constexpr double hold = 30;
    const double rise = std::clamp((at - start) / ramp, 0.0, 1.0);
    const double fall = std::clamp((at - start - ramp - hold) / ramp, 0.0, 1.0);
    return low + (high - low) * (rise - fall);
}

/// Load for placement: rises from 8 to 17 engines and falls back.
double compressedDayLoad(double at)
{
    const double rise = std::clamp((at - 60) / 180, 0.0, 1.0);
    const double fall = std::clamp((at - 480) / 180, 0.0, 1.0);
    return 8 + 9 * (rise - fall);
}

std::vector<strategy_set> fixedFleetStrategies()
{
    return {
            {"yuccascale", "predicted_first_token", "deadline", "fair_share", "mix_following", "",
             0},
            {"yuccascale, Mehta's settings", "predicted_first_token", "deadline_early",
             "fair_share", "mix_following", "", 0},
            {"round robin", "round_robin", "always", "first_come_first_served", "fixed", "", 0},
            {"two choices", "two_choices", "always", "first_come_first_served", "fixed", "", 0},
            {"least outstanding", "least_outstanding", "always", "first_come_first_served", "fixed",
             "", 0},
            {"two choices, queue limit", "two_choices", "queue_limit", "first_come_first_served",
             "fixed", "", 0},
            {"fixed split", "least_outstanding", "always", "first_come_first_served", "fixed", "",
             4},
            {"threshold roles", "least_outstanding", "queue_limit", "first_come_first_served",
             "threshold", "", 4},
            {"yuccascale, split at start", "predicted_first_token", "deadline", "fair_share",
             "mix_following", "", 4},
            {"ours, threshold roles", "predicted_first_token", "deadline", "fair_share",
             "threshold", "", 4},
            {"ours, fixed roles", "predicted_first_token", "deadline", "fair_share", "fixed", "",
             0},
    };
}

std::vector<strategy_set> placementStrategies()
{
    return {
            {"yuccascale", "predicted_first_token", "deadline", "fair_share", "mix_following",
             "steady_and_cheap", 0},
            {"yuccascale, Mehta's settings", "predicted_first_token", "deadline_early",
             "fair_share", "mix_following", "steady_and_cheap", 0},
            {"least outstanding, all steady", "least_outstanding", "always",
             "first_come_first_served", "fixed", "all_steady", 0},
            {"two choices, limit, all steady", "two_choices", "queue_limit",
             "first_come_first_served", "fixed", "all_steady", 0},
            {"ours, all steady", "predicted_first_token", "deadline", "fair_share", "mix_following",
             "all_steady", 0},
    };
}

} // namespace

std::vector<load_scenario> allScenarios()
{
    using kind = disturbance::kind;
    std::vector<load_scenario> scenarios;
    scenarios.push_back({"steady", "Steady mix, 21% prefill, 95% load", 180,
                         constant(0.95 * fleetEngines), constant(0.21)});
    scenarios.push_back({"swing", "Mix from 10% to 60% prefill in two minutes and back, 110% load",
                         330, constant(1.1 * fleetEngines), swingingPrefillShare});
    scenarios.push_back({"swing_overload", "The same swing at 160% load", 330,
                         constant(1.6 * fleetEngines), swingingPrefillShare});
    scenarios.push_back({"flood", "Two large organisations flood six", 180,
                         constant(2.9 * fleetEngines), constant(0.21), 10});
    scenarios.push_back({"lag", "Load reports 5 s late, 95% load", 180,
                         constant(0.95 * fleetEngines), constant(0.21), 1, 5.0});
    scenarios.push_back({"withdrawn",
                         "An engine withdrawn, another draining, during a swing",
                         330,
                         constant(1.0 * fleetEngines),
                         swingingPrefillShare,
                         1,
                         0.3,
                         {{90, kind::Withdraw}, {100, kind::Drain}}});
    for (load_scenario &scenario : scenarios)
        scenario.strategies = fixedFleetStrategies();
    scenarios.push_back({"cheap_zone",
                         "A cheap zone lost at the peak",
                         720,
                         compressedDayLoad,
                         constant(0.21),
                         1,
                         0.3,
                         {{360, kind::LoseCheapZone}},
                         true,
                         3,
                         0.05,
                         placementStrategies()});
    scenarios.push_back({"slow_store",
                         "Weight store at a tenth of its rate",
                         720,
                         compressedDayLoad,
                         constant(0.21),
                         1,
                         0.3,
                         {},
                         true,
                         30,
                         0.05,
                         placementStrategies()});
    return scenarios;
}

} // namespace yuccascale::measure

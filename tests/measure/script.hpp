#pragma once

#include <functional>
#include <string>
#include <vector>

/// \file
/// \brief The load scenarios of the measurement and the strategy sets that they compare.

namespace yuccascale::measure {

/// Names of the strategies used in one run.
struct strategy_set
{
    std::string label;
    std::string routing;
    std::string admission;
    std::string fairness;
    std::string roles;
    std::string placement;  ///< empty: no endpoints are started or stopped
    int prefillEngines = 0; ///< of the 18 engines at the start; the others decode. 0: all mixed

    /// \returns whether the set contains none of the strategies under test.
    [[nodiscard]] bool isBaseline() const { return !admission.starts_with("deadline"); }
};

/// An event that affects endpoints in a scenario; its time in seconds.
struct disturbance
{
    enum class kind { Withdraw, Drain, LoseCheapZone };
    double at;
    kind type;
};

struct load_scenario
{
    std::string name;
    std::string title;
    double duration = 240;
    std::function<double(double)> load;         ///< offered load in engines, by time
    std::function<double(double)> prefillShare; ///< share of prefill in the work, by time
    double floodFactor = 1;        ///< load of organisations 0 and 1 relative to their share
    double reportLagSeconds = 0.3; ///< age of the load reports that the entries see
    std::vector<disturbance> disturbances = {};
    bool placement = false;
    double weightLoadSeconds = 3; ///< for one endpoint's start; the store serves one at a time
    double nonIdempotentShare = 0;
    std::vector<strategy_set> strategies = {};
};

/// \returns the fixed scenarios.
[[nodiscard]] std::vector<load_scenario> allScenarios();

} // namespace yuccascale::measure

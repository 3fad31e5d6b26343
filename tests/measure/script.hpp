#pragma once

#include <functional>
#include <string>
#include <vector>

/// \file
/// \brief The scripts of the measurement and the sets of strategies they compare.

namespace yuccascale::measure {

/// Names of the strategies of one run.
struct strategy_set
{
    std::string label;
    std::string routing;
    std::string admission;
    std::string fairness;
    std::string roles;
    std::string placement;  ///< empty: the endpoints stay as they are
    int prefillEngines = 0; ///< of 18 at the start; the rest then decode. 0: all mixed

    /// Whether none of the strategies under test is in it.
    [[nodiscard]] bool isBaseline() const { return !admission.starts_with("deadline"); }
};

/// Something that happens to endpoints in a script.
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
    std::function<double(double)> load;         ///< offered, in engines, at a time
    std::function<double(double)> prefillShare; ///< of the work, at a time
    double floodFactor = 1;                     ///< of organisations 0 and 1 over their share
    double reportLagSeconds = 0.3;              ///< seconds
    std::vector<disturbance> disturbances = {};
    bool placement = false;
    double weightLoadSeconds = 3; ///< of the store, for one endpoint's start; one at a time
    double nonIdempotentShare = 0;
    std::vector<strategy_set> strategies = {};
};

/// \returns the fixed scripts.
[[nodiscard]] std::vector<load_scenario> allScenarios();

} // namespace yuccascale::measure

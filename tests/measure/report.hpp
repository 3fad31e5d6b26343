#pragma once

#include "figures.hpp"
#include "script.hpp"

#include <string>
#include <vector>

/// \file
/// \brief The measurement as tables in Markdown and plots in SVG.

namespace yuccascale::measure {

/// A scenario with the mean figures of each of its strategy sets.
struct case_result
{
    const load_scenario *scenario;
    std::vector<figures> means; ///< one for each strategy set of the scenario
};

/// \returns the Markdown table of a case.
[[nodiscard]] std::string tableOf(const case_result &result);

/// \returns an SVG plot of the in-time answers per second, one line for each strategy set.
[[nodiscard]] std::string plotOf(const case_result &result);

/// \returns the Markdown table of the scores, weighted for each of the two deployments.
[[nodiscard]] std::string deploymentLines(const std::vector<case_result> &results);

/// \brief Writes policy.md and a plot of each case to \a folder.
void writeReport(const std::string &folder, const std::vector<case_result> &results);

} // namespace yuccascale::measure

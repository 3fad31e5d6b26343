#pragma once

#include "fleet_run.hpp"

#include <string>
#include <vector>

/// \file
/// \brief The measurement as tables in Markdown and plots in SVG.

namespace yuccascale::measure {

/// A script with the mean figures of each of its strategy sets.
struct case_result
{
    const load_scenario *scenario;
    std::vector<figures> means; ///< as many as the script has strategy sets
};

/// \returns the table of a case.
[[nodiscard]] std::string tableOf(const case_result &result);

/// \returns answers in time per second over the case, a line for each strategy set.
[[nodiscard]] std::string plotOf(const case_result &result);

/// \returns the lines of the two deployments: each figure weighed as it weighs them.
[[nodiscard]] std::string deploymentLines(const std::vector<case_result> &results);

/// \brief Writes policy.md and a plot for each case into a folder.
void writeReport(const std::string &folder, const std::vector<case_result> &results);

} // namespace yuccascale::measure

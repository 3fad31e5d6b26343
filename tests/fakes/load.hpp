#pragma once

#include "fakes/load_plan.hpp"

#include <string>

/// \file
/// \brief Runs a load plan and summarises its results.

namespace yuccascale::fakes {

/// \brief Sends the whole plan, writes a line for each request to \a resultsFile and prints a
///        summary as one JSON object.
/// \returns the exit status: 1 when an answer was wrong, otherwise 0.
[[nodiscard]] int runLoad(const load_plan &plan, const std::string &resultsFile);

} // namespace yuccascale::fakes

#pragma once

#include "fakes/load_plan.hpp"

#include <string>

/// \file
/// \brief Runs a load plan and reports how it went.

namespace yuccascale::fakes {

/// \brief Sends the whole plan, writes a line for each request to \a resultsFile and prints a
///        summary as one JSON object.
/// \returns 0 unless an answer was wrong.
[[nodiscard]] int runLoad(const load_plan &plan, const std::string &resultsFile);

} // namespace yuccascale::fakes

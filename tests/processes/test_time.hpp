#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <string>

/// \file
/// \brief The clock of the test process.

namespace yuccascale::processes {

using kernel::milliseconds;
using test_clock = std::chrono::steady_clock;
using test_time = test_clock::time_point;

/// \returns "123 ms"; fractions are cut off.
[[nodiscard]] inline std::string inMs(test_clock::duration time)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count()) + " ms";
}

} // namespace yuccascale::processes

#pragma once

#include <cstdlib>
#include <string>

/// \file
/// \brief The program under test.

namespace yuccascale::processes {

/// \returns YUCCASCALE_PROGRAM, the path of a program of another build; the one built with the
///          tests if that is unset.
[[nodiscard]] inline std::string programUnderTest()
{
    const char *other = std::getenv("YUCCASCALE_PROGRAM"); // NOLINT(concurrency-mt-unsafe)
    return other == nullptr ? std::string(YUCCASCALE_BINARY_DIR) + "/yuccascale" : other;
}

/// \returns whether settings may name the bound of tables; programs before 5080f23 refuse that. Set
///          YUCCASCALE_PROGRAM_LACKS_TABLE_BOUND for those.
[[nodiscard]] inline bool knowsTableBound()
{
    return std::getenv("YUCCASCALE_PROGRAM_LACKS_TABLE_BOUND") // NOLINT(concurrency-mt-unsafe)
            == nullptr;
}

/// \returns whether the program under test has the setting promises.drain_notice; builds up to
///          5080f23 refuse it, so set YUCCASCALE_PROGRAM_LACKS_LIST_BOUND for those.
[[nodiscard]] inline bool knowsListBound()
{
    return std::getenv("YUCCASCALE_PROGRAM_LACKS_LIST_BOUND") // NOLINT(concurrency-mt-unsafe)
            == nullptr;
}

/// \returns whether the program under test has the setting http.memory; builds up to 2b4a8bc refuse
///          it, so set YUCCASCALE_PROGRAM_LACKS_MEMORY_BUDGET for those.
[[nodiscard]] inline bool knowsMemoryBudget()
{
    return std::getenv("YUCCASCALE_PROGRAM_LACKS_MEMORY_BUDGET") // NOLINT(concurrency-mt-unsafe)
            == nullptr;
}

} // namespace yuccascale::processes

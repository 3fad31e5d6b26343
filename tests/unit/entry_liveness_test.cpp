#include "yuccascale/runtime/entry_liveness.hpp"

#include <gtest/gtest.h>

#include <array>

namespace yuccascale::runtime {

TEST(entry_liveness, reportsReplacedAndSilentEntriesOnly)
{
    const std::vector<std::string> entries{"a#5", "b#5", "c#5", "d#5", "odd"};
    const std::array<kernel::feed::node_report, 3> reports{
            kernel::feed::node_report{"a", 5, 1, 100, false},
            kernel::feed::node_report{"b", 6, 1, 100, false},
            kernel::feed::node_report{"c", 5, 1, 61'000, false}};
    EXPECT_EQ(deadEntries(entries, reports, std::chrono::seconds(1)),
              (std::vector<std::string>{"b#5", "c#5"}));
    EXPECT_EQ(deadEntries(entries, reports, std::chrono::seconds(61)),
              (std::vector<std::string>{"b#5", "c#5", "d#5"}));
}

} // namespace yuccascale::runtime

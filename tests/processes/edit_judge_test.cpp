#include "processes/edit_judge.hpp"

#include <gtest/gtest.h>

namespace yuccascale::processes {

namespace {

constexpr edit_bounds bounds{};
const test_time start{std::chrono::seconds(1'000)};

} // namespace

TEST(edit_judge, asksForAKeyOnlyOnceThePromisesBind)
{
    edit_judge judge(bounds);
    judge.keyAcknowledged("one", start);
    EXPECT_FALSE(judge.keyInForce(start + bounds.propagation - milliseconds(1)));
    EXPECT_EQ(judge.keyInForce(start + bounds.propagation), "one");
    judge.disturbed(start);
    EXPECT_FALSE(judge.keyInForce(start + bounds.contact - milliseconds(1)));
    EXPECT_EQ(judge.keyInForce(start + bounds.contact), "one");
}

TEST(edit_judge, findsARefusedKeyALateRequestAndASlowRecovery)
{
    edit_judge judge(bounds);
    judge.answered("n1", 200, start);
    judge.answered("n1", 503, start);
    judge.reachedDraining("e1", start, start + bounds.drain);
    judge.recovered("n1", bounds.recovery);
    EXPECT_TRUE(judge.violations().empty());
    judge.answered("n1", 401, start);
    judge.reachedDraining("e1", start, start + bounds.drain + milliseconds(1));
    judge.recovered("n1", bounds.recovery + milliseconds(1));
    EXPECT_EQ(judge.violations().size(), 3U);
    EXPECT_EQ(judge.judged(), (std::pair{3, 1}));
}

} // namespace yuccascale::processes

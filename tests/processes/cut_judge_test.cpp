#include "processes/cut_judge.hpp"

#include <gtest/gtest.h>

namespace yuccascale::processes {

namespace {

constexpr std::int64_t beganMs = 100'000;

/// \a count requests at a node, the first \a served of them with a whole answer.
void addAttempts(std::vector<request_record> &records, std::size_t node, int count, int served)
{
    for (int each = 0; each < count; ++each) {
        request_record record;
        record.node = node;
        record.startedMs = beganMs + 4'000;
        record.answeredMs = record.startedMs + 100;
        record.complete = true;
        record.status = each < served ? 200 : 503;
        records.push_back(record);
    }
}

cut_findings judgeAttempts(int tried, int served)
{
    std::vector<request_record> records;
    addAttempts(records, 4, tried, served);
    addAttempts(records, 5, 100, 96);
    const endpoint_cut cut{{4}, endpoint_fault::Hang, beganMs, beganMs + 6'000};
    return judgeCut(records, cut, {});
}

} // namespace

TEST(cut_judge, cutEntriesMustServeTwoThirdsAsOftenAsOthersOrFailSeldom)
{
    EXPECT_TRUE(judgeAttempts(60, 38).servedWorse());
    EXPECT_FALSE(judgeAttempts(60, 39).servedWorse());
    EXPECT_FALSE(judgeAttempts(11, 1).servedWorse());
    EXPECT_TRUE(judgeAttempts(11, 0).servedWorse());
}

TEST(cut_judge, theFirstSecondsOfACutAndStoppedEntriesAreLeftOut)
{
    std::vector<request_record> records;
    addAttempts(records, 4, 20, 0);
    const endpoint_cut late{{4}, endpoint_fault::Hang, beganMs + 1'001, beganMs + 9'000};
    EXPECT_EQ(judgeCut(records, late, {}).triedAtCut, 0);
    const endpoint_cut cut{{4}, endpoint_fault::Hang, beganMs, beganMs + 9'000};
    EXPECT_EQ(judgeCut(records, cut, {}).triedAtCut, 20);
    const std::vector<node_stop> stops{{4, beganMs}};
    EXPECT_EQ(judgeCut(records, cut, stops).triedAtCut, 0);
}

} // namespace yuccascale::processes

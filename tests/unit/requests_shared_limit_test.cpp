#include "yuccascale/kernel/requests/shared_limit.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace yuccascale::kernel::requests {

namespace {

constexpr instant start{seconds(100)};
constexpr milliseconds stepTime{10};
constexpr int stepsPerWindow = 400; ///< of 4 s

/// Entries that send whenever they may.
std::vector<shared_limit> entriesOf(int entries, double requestsPerSecond)
{
    std::vector<shared_limit> out;
    out.reserve(static_cast<std::size_t>(entries));
    for (int rank = 0; rank < entries; ++rank)
        out.emplace_back(start, requestsPerSecond, limit_position{rank, entries});
    return out;
}

int sendAll(std::vector<shared_limit> &entries, instant now)
{
    int sent = 0;
    for (shared_limit &one : entries) {
        for (; one.allows(now); ++sent)
            one.sent(now);
    }
    return sent;
}

/// \returns the most requests in any window.
int mostInWindow(const std::vector<int> &sent)
{
    int sum = 0;
    int most = 0;
    for (std::size_t step = 0; step < sent.size(); ++step) {
        sum += sent[step] - (step >= stepsPerWindow ? sent[step - stepsPerWindow] : 0);
        most = std::max(most, sum);
    }
    return most;
}

double toleratedAt(double requestsPerSecond)
{
    return 1.5 * requestsPerSecond * 4 + 5;
}

} // namespace

TEST(shared_limit, allEntriesTogetherStayBelowTheToleranceWithAnyNumberOfThem)
{
    for (const int count : {1, 2, 7, 30, 300}) {
        for (const double rate : {0.0, 0.1, 0.5, 1.7, 6.0, 40.0, 1'000.0}) {
            std::vector<shared_limit> entries = entriesOf(count, rate);
            std::vector<int> sent;
            for (int step = 1; step <= 10 * stepsPerWindow; ++step)
                sent.push_back(sendAll(entries, start + step * stepTime));
            EXPECT_LE(mostInWindow(sent), toleratedAt(rate)) << count << " entries, " << rate;
            int total = 0;
            for (const int one : sent)
                total += one;
            EXPECT_GE(total, 0.9 * 40 * rate) << count << " entries, " << rate;
        }
    }
}

TEST(shared_limit, staysBelowTheToleranceWhileTheNumberOfEntriesChangesEverySecond)
{
    for (const double rate : {0.5, 1.7, 6.0, 40.0}) {
        std::vector<shared_limit> entries = entriesOf(8, rate);
        std::vector<int> sent;
        for (int step = 1; step <= 10 * stepsPerWindow; ++step) {
            const instant now = start + step * stepTime;
            const int count = step / 100 % 2 == 0 ? 8 : 5;
            for (int rank = 0; rank < 8; ++rank)
                entries[rank].setPosition(now, {(rank + step / 100) % count, count});
            std::vector<shared_limit> running(entries.begin(), entries.begin() + count);
            sent.push_back(sendAll(running, now));
            std::copy(running.begin(), running.end(), entries.begin());
        }
        EXPECT_LE(mostInWindow(sent), toleratedAt(rate)) << rate;
    }
}

TEST(shared_limit, entriesThatHeardNothingForLongAskAgainOneAfterTheOther)
{
    std::vector<shared_limit> entries = entriesOf(300, 2);
    std::vector<shared_limit> silent(entries.begin() + 4, entries.end());
    std::vector<int> sent;
    for (int step = 1; step <= 20 * stepsPerWindow; ++step)
        sent.push_back(sendAll(silent, start + step * stepTime));
    EXPECT_EQ(std::count(sent.begin(), sent.begin() + 1'000, 0), 1'000) << "for the first 10 s";
    EXPECT_LE(mostInWindow(sent), 3) << "a quarter of the limit";
    EXPECT_GE(std::count(sent.begin(), sent.end(), 1), 30);
}

TEST(shared_limit, anEntryThatMayNotSendHasNoTimeAtWhichItMay)
{
    const shared_limit sender(start, 1.7, {0, 300});
    const shared_limit other(start, 1.7, {299, 300});
    EXPECT_TRUE(sender.timeUntilAllowed(start));
    EXPECT_LE(*sender.timeUntilAllowed(start), seconds(3));
    EXPECT_FALSE(other.timeUntilAllowed(start));
    EXPECT_EQ(other.ownRate(), 0);
}

} // namespace yuccascale::kernel::requests

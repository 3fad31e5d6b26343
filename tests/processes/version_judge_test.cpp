#include "processes/version_judge.hpp"

#include <gtest/gtest.h>

namespace yuccascale::processes {

namespace {

constexpr version_bounds bounds{};
constexpr milliseconds answerTime{10};
const test_time start{std::chrono::seconds(1'000)};

[[nodiscard]] test_time at(int ms)
{
    return start + milliseconds(ms);
}

/// Versions 1 to 4: the route moves from "a" to "b" and back to "a"; it is dropped with the key.
/// Each is sent a second after the one before and acknowledged 100 ms later.
[[nodiscard]] std::vector<sent_document> documents()
{
    return {{1, at(0), at(100), {{"r", "a"}}, {"k"}},
            {2, at(1'000), at(1'100), {{"r", "b"}}, {"k"}},
            {3, at(2'000), at(2'100), {{"r", "a"}}, {"k"}},
            {4, at(3'000), at(3'100), {}, {}}};
}

[[nodiscard]] handled_request request(int sentMs, const std::string &handling)
{
    return {"id", 0, 0, at(sentMs), at(sentMs) + answerTime, "r", "k", handling};
}

[[nodiscard]] version_findings judged(
        const std::vector<handled_request> &requests,
        const std::vector<sent_document> &sent = documents(),
        const version_judge::allowance &allowed
        = [](std::size_t, test_time, test_time) { return milliseconds(0); })
{
    return version_judge(sent, bounds, allowed).judge(requests);
}

} // namespace

TEST(version_judge, allowsAnyVersionUntilANewerOneIsInForce)
{
    const version_findings found
            = judged({request(50, "a"), request(2'500, "b"), request(4'099, "b"),
                      request(5'099, "a"), request(5'100, "404"), request(3'000, "404")});
    EXPECT_TRUE(found.late.empty());
    EXPECT_TRUE(found.unexplained.empty());
}

TEST(version_judge, findsARequestThatAnOlderVersionDecided)
{
    const version_findings found = judged({request(4'100, "b"), request(5'120, "a")});
    ASSERT_EQ(found.late.size(), 2U);
    EXPECT_EQ(found.late.front().shown, 2U);
    EXPECT_EQ(found.late.front().required, 3U);
    EXPECT_EQ(found.late.back().shown, 3U);
    EXPECT_EQ(found.late.back().late, milliseconds(20));
}

TEST(version_judge, aRouteThatCameBackExplainsItsFirstService)
{
    EXPECT_TRUE(judged({request(4'200, "a")}).late.empty());
}

TEST(version_judge, findsRefusalsOfWhatIsThere)
{
    std::vector<sent_document> sent = documents();
    sent.pop_back();
    const version_findings found
            = judged({request(500, "404"), request(500, "401"), request(500, "403")}, sent);
    EXPECT_EQ(found.unexplained.size(), 3U);
}

TEST(version_judge, aRefusalByTheVersionBeforeARouteWasAddedIsLate)
{
    const std::vector<sent_document> sent{{1, at(0), at(100), {}, {"k"}},
                                          {2, at(1'000), at(1'100), {{"r", "a"}}, {"k"}}};
    EXPECT_TRUE(judged({request(3'099, "404")}, sent).late.empty());
    EXPECT_EQ(judged({request(3'100, "404")}, sent).late.size(), 1U);
}

TEST(version_judge, whatWasNeverAcknowledgedBindsNobodyAndMayDecide)
{
    std::vector<sent_document> sent = documents();
    sent.back().acknowledgedAt.reset();
    EXPECT_TRUE(judged({request(9'000, "a"), request(9'000, "404")}, sent).late.empty());
}

TEST(version_judge, findsAnEntryThatGoesBack)
{
    const version_findings found
            = judged({request(1'200, "b"), request(1'459, "a"), request(1'461, "a")});
    ASSERT_EQ(found.regressed.size(), 1U);
    EXPECT_EQ(found.regressed.front().request.sentAt, at(1'461));
    EXPECT_EQ(found.regressed.front().required, 2U);
    EXPECT_EQ(found.regressed.front().shown, 1U);
}

TEST(version_judge, anotherProcessMayShowAnOlderVersion)
{
    handled_request restarted = request(1'500, "a");
    restarted.process = 1;
    EXPECT_TRUE(judged({request(1'200, "b"), restarted}).regressed.empty());
}

TEST(version_judge, findsARunWithAKeyThatWasWithdrawnLongAgo)
{
    EXPECT_TRUE(judged({request(8'099, "a")}).revoked.empty());
    EXPECT_EQ(judged({request(8'100, "a")}).revoked.size(), 1U);
    EXPECT_TRUE(judged({request(8'100, "404")}).revoked.empty());
}

TEST(version_judge, countsApartWhatTheFaultsOfTheTestExcuse)
{
    const auto none
            = [](std::size_t, test_time, test_time) { return std::optional<milliseconds>(); };
    const auto stretched
            = [](std::size_t, test_time, test_time) { return std::optional(milliseconds(1'000)); };
    EXPECT_FALSE(judged({request(4'100, "b")}, documents(), none).late.at(0).inTouch);
    EXPECT_FALSE(judged({request(5'099, "b")}, documents(), stretched).late.at(0).inTouch);
    EXPECT_TRUE(judged({request(5'100, "b")}, documents(), stretched).late.at(0).inTouch);
}

} // namespace yuccascale::processes

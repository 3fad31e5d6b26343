#include "fakes/quota_entries.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

/// \file
/// \brief Guards against an organisation that runs more than its quota over all entries, and
/// against refusals of what is within it.

namespace yuccascale::kernel::requests {

namespace {

using fakes::quota_entries;
using fakes::quota_world_settings;

constexpr int entryCount = 84;
constexpr double rate = 545'473;
constexpr double belowQuota = 0.8;
constexpr double farBeyondQuota = 5;

/// \returns demand of \a times the quota, spread evenly over all entries.
[[nodiscard]] quota_entries::demand everywhere(double times, double quotaRate = rate,
                                               int entries = entryCount)
{
    return [=](int, nanoseconds) { return times * quotaRate / entries; };
}

[[nodiscard]] quota_entries::demand atEntries(double times, const std::set<int> &entries)
{
    return [=](int entry, nanoseconds) {
        return entries.contains(entry) ? times * rate / static_cast<double>(entries.size()) : 0.0;
    };
}

/// Three entries at a time, others after each \a interval.
[[nodiscard]] quota_entries::demand moving(double times, nanoseconds interval)
{
    return [=](int entry, nanoseconds since) {
        const bool there = entry / 3 == since / interval % (entryCount / 3);
        return there ? times * rate / 3 : 0.0;
    };
}

[[nodiscard]] quota_entries::demand nothing()
{
    return [](int, nanoseconds) { return 0.0; };
}

/// Long enough that the entries have heard of each other and saved up the burst.
constexpr seconds settlingTime{5};
constexpr seconds playTime{30};

struct quota_world : quota_entries
{
    explicit quota_world(unsigned seed = 1)
        : quota_world(settingsWith(seed))
    { }

    explicit quota_world(const quota_world_settings &settings)
        : quota_entries(settings)
    {
        play(settlingTime, nothing());
    }

    static quota_world_settings settingsWith(unsigned seed)
    {
        quota_world_settings settings;
        settings.seed = seed;
        return settings;
    }

    void expectBoundKept() const { EXPECT_LE(greatestWindow(), bound()); }

    /// The quota is used, not only kept: the sum over \a time is near rate times time.
    void expectUsed(instant from) const
    {
        const double ofRate = rate * std::chrono::duration<double>(now() - from).count();
        EXPECT_GE(admitted(from), 0.9 * ofRate);
    }
};

} // namespace

class quota_seeds : public testing::TestWithParam<unsigned>
{ };

TEST_P(quota_seeds, demandBelowTheQuotaIsNeverRefused)
{
    for (const auto &demand :
         {everywhere(belowQuota), atEntries(belowQuota, {3, 4, 5}), atEntries(belowQuota, {7})}) {
        quota_world world(GetParam());
        world.play(playTime, demand);
        EXPECT_EQ(world.refusedRequests(), 0);
        EXPECT_GT(world.admitted(), 0);
    }
}

/// Guards against shares that stay at the entries where the callers were before.
TEST_P(quota_seeds, demandBelowTheQuotaThatMovesBetweenEntriesIsNotRefused)
{
    quota_world world(GetParam());
    world.play(playTime, moving(0.7, seconds(2)));
    EXPECT_EQ(world.refusedRequests(), 0);
}

TEST_P(quota_seeds, aSurgeAtAllEntriesAtOnceKeepsTheBound)
{
    for (const double before : {0.0, belowQuota}) {
        quota_world world(GetParam());
        world.play(seconds(15), everywhere(before));
        const instant from = world.now();
        world.play(playTime, everywhere(farBeyondQuota));
        world.expectBoundKept();
        world.expectUsed(from);
    }
}

TEST_P(quota_seeds, aSurgeOfThirtyTimesTheQuotaKeepsTheBound)
{
    quota_world world(GetParam());
    world.play(seconds(15), everywhere(30));
    world.expectBoundKept();
}

TEST_P(quota_seeds, aSurgeAtOneEntryKeepsTheBound)
{
    quota_world world(GetParam());
    world.play(seconds(15), atEntries(belowQuota, {1, 2, 3}));
    const instant from = world.now();
    world.play(playTime, atEntries(farBeyondQuota, {40}));
    world.expectBoundKept();
    world.expectUsed(from);
}

TEST_P(quota_seeds, aSurgeThatMovesBetweenEntriesKeepsTheBound)
{
    quota_world world(GetParam());
    const instant from = world.now();
    world.play(playTime, moving(farBeyondQuota, seconds(1)));
    world.expectBoundKept();
    world.expectUsed(from);
}

TEST_P(quota_seeds, surgesThatComeAndGoKeepTheBound)
{
    quota_world world(GetParam());
    world.play(playTime, [](int, nanoseconds since) {
        return (since % seconds(6) < seconds(3) ? farBeyondQuota : 0.3) * rate / entryCount;
    });
    world.expectBoundKept();
}

/// Guards against each group using the whole quota.
TEST_P(quota_seeds, entriesThatDoNotHearEachOtherKeepTheBoundTogether)
{
    for (const int groups : {2, 3, entryCount}) {
        quota_world world(GetParam());
        world.setGroups([=](int entry) { return entry % groups; });
        world.play(seconds(3), nothing());
        const instant from = world.now();
        world.play(playTime, everywhere(farBeyondQuota));
        world.expectBoundKept();
        world.expectUsed(from);
    }
}

TEST_P(quota_seeds, aCutDuringASurgeKeepsTheBound)
{
    for (const int groups : {2, entryCount}) {
        quota_world world(GetParam());
        world.play(seconds(15), everywhere(farBeyondQuota));
        world.setGroups([=](int entry) { return entry % groups; });
        world.play(seconds(15), everywhere(farBeyondQuota));
        world.setGroups([](int) { return 0; });
        world.play(seconds(15), everywhere(farBeyondQuota));
        world.expectBoundKept();
    }
}

/// Guards against groups that go on with what they last heard of each other.
TEST_P(quota_seeds, aCutInTheSameSecondAsASurgeKeepsTheBound)
{
    for (const int groups : {2, entryCount}) {
        quota_world world(GetParam());
        world.play(seconds(15), everywhere(belowQuota));
        world.setGroups([=](int entry) { return entry % groups; });
        world.play(seconds(15), everywhere(farBeyondQuota));
        world.expectBoundKept();
    }
}

/// Guards against a saved burst at each entry that starts.
TEST_P(quota_seeds, entriesThatRestartDuringASurgeKeepTheBound)
{
    quota_world world(GetParam());
    for (int round = 0; round < 15; ++round) {
        world.play(seconds(1), everywhere(farBeyondQuota));
        for (int index = 0; index < 5; ++index)
            world.restart((round * 5 + index) % entryCount);
    }
    world.expectBoundKept();
}

TEST_P(quota_seeds, allEntriesThatRestartAtOnceKeepTheBound)
{
    quota_world world(GetParam());
    world.play(seconds(10), everywhere(farBeyondQuota));
    for (int index = 0; index < entryCount; ++index)
        world.restart(index);
    world.play(seconds(15), everywhere(farBeyondQuota));
    world.expectBoundKept();
}

/// Guards against a share that is lost with an entry once the feed has dropped it.
TEST_P(quota_seeds, entriesThatEndLeaveTheirShareToTheOthers)
{
    quota_world world(GetParam());
    world.play(seconds(10), everywhere(farBeyondQuota));
    constexpr int ended = entryCount / 3;
    for (int index = 0; index < ended; ++index)
        world.end(index);
    world.setListed(entryCount - ended);
    world.play(seconds(3), everywhere(farBeyondQuota));
    const instant from = world.now();
    world.play(playTime, everywhere(farBeyondQuota));
    world.expectBoundKept();
    world.expectUsed(from);
}

TEST_P(quota_seeds, aLowerQuotaBindsOneWindowAfterItReachedAllEntries)
{
    quota_world world(GetParam());
    world.play(seconds(15), everywhere(farBeyondQuota));
    const state::token_quota lower{rate / 4, rate / 4, true, 200};
    for (int index = 0; index < entryCount; ++index) {
        world.setQuota(index, lower);
        world.play(milliseconds(10), everywhere(farBeyondQuota));
    }
    const instant from = world.now();
    world.play(playTime, everywhere(farBeyondQuota));
    EXPECT_LE(world.greatestWindow(from), world.bound(lower));
}

/// A quota of about one long request in 3 s, and few and many entries.
TEST_P(quota_seeds, smallQuotasAndOtherFleetsKeepTheBound)
{
    for (const auto &[quotaRate, entries] :
         {std::pair(5'000.0, entryCount), std::pair(50'000.0, entryCount), std::pair(rate, 8)}) {
        quota_world_settings settings = quota_world::settingsWith(GetParam());
        settings.quota.ratePerSecond = settings.quota.burst = quotaRate;
        settings.entries = entries;
        quota_world world(settings);
        world.play(seconds(15), everywhere(farBeyondQuota, quotaRate, entries));
        world.expectBoundKept();
    }
}

TEST_P(quota_seeds, messagesOfWhichHalfAreLateKeepTheBound)
{
    quota_world_settings settings = quota_world::settingsWith(GetParam());
    settings.lateShare = 0.5;
    settings.lostShare = 0.1;
    quota_world world(settings);
    world.play(seconds(15), everywhere(belowQuota));
    world.play(playTime, everywhere(farBeyondQuota));
    world.expectBoundKept();
}

INSTANTIATE_TEST_SUITE_P(seeds, quota_seeds, testing::Values(1U, 2U, 3U));

namespace {

constexpr quota_tolerance tolerance{seconds(8), 0.1, 100};

[[nodiscard]] std::map<std::string, state::organisation> organisationsWith(state::token_quota quota)
{
    state::organisation row;
    row.name = "t1";
    row.quota = {quota};
    state::organisation free;
    free.name = "t2";
    return {{"t1", row}, {"t2", free}};
}

[[nodiscard]] request requestOf(const std::string &organisation,
                                std::optional<std::int64_t> statedTokens)
{
    request out;
    out.organisation = organisation;
    out.statedTokens = statedTokens;
    return out;
}

/// One entry alone with a quota of 1,000 tokens a second.
class quota_of_one_entry : public testing::Test
{
protected:
    quota_of_one_entry()
    {
        m_book.setOrganisations(m_now, organisationsWith({1'000, 1'000, true, 200}));
        m_now += seconds(10);
    }

    /// \returns how many requests of 100 tokens are admitted at once.
    int admittedAtOnce()
    {
        int count = 0;
        for (int number = 0; number < 1'000; ++number)
            count += m_book.ask(m_now, "t1", 100).admitted ? 1 : 0;
        return count;
    }

    quota_book m_book{tolerance, 7};
    instant m_now{seconds(100)};
};

} // namespace

TEST_F(quota_of_one_entry, countsTheStatedTokensOrThePlainOnesOrRequests)
{
    EXPECT_EQ(m_book.tokensOf(requestOf("t1", 386)), 386);
    EXPECT_EQ(m_book.tokensOf(requestOf("t1", std::nullopt)), 200);
    EXPECT_EQ(m_book.tokensOf(requestOf("t2", 386)), 0) << "it has no quota";
    m_book.setOrganisations(m_now, organisationsWith({10, 10, false, 200}));
    EXPECT_EQ(m_book.tokensOf(requestOf("t1", 386)), 1) << "each request counts as one";
}

/// Guards against tokens that stay counted for requests that no endpoint ran.
TEST_F(quota_of_one_entry, whatWasReturnedMayBeUsedAgain)
{
    const int first = admittedAtOnce();
    EXPECT_GE(first, 10) << "the burst";
    EXPECT_LT(first, 30);
    EXPECT_EQ(admittedAtOnce(), 0);
    for (int number = 0; number < first; ++number)
        m_book.giveBack(m_now, "t1", 100);
    EXPECT_GE(admittedAtOnce(), 10);
    EXPECT_NEAR(m_book.totals().at("t1").asked, 300'000, 1);
}

/// Guards against callers that return together, and against waits longer than the quota needs.
TEST_F(quota_of_one_entry, retriesAreSpreadOverTheTimeThatTheQuotaNeeds)
{
    std::vector<milliseconds> waits;
    for (int step = 0; step < 400; ++step) {
        m_now += milliseconds(10);
        for (int number = 0; number < 5; ++number) {
            const quota_decision decision = m_book.ask(m_now, "t1", 10);
            if (!decision.admitted && step > 200)
                waits.push_back(std::chrono::duration_cast<milliseconds>(decision.retryAfter));
        }
    }
    ASSERT_GT(waits.size(), 100U);
    const auto [least, most] = std::ranges::minmax(waits);
    EXPECT_LT(least, milliseconds(600));
    EXPECT_GT(most, milliseconds(3'500)) << "five times the quota needs about five seconds";
    EXPECT_LE(most, milliseconds(7'000));
    const auto early = std::ranges::count_if(
            waits, [](milliseconds wait) { return wait < milliseconds(1'000); });
    EXPECT_LT(early, static_cast<std::ptrdiff_t>(waits.size()) * 2 / 5);
}

TEST_F(quota_of_one_entry, reportsOnlyOrganisationsThatWereAskedForAndRepeatsThemOnce)
{
    EXPECT_TRUE(m_book.takeReports(m_now).empty());
    static_cast<void>(m_book.ask(m_now, "t1", 100));
    for (int message = 0; message < 2; ++message) {
        const auto reports = m_book.takeReports(m_now);
        ASSERT_EQ(reports.size(), 1U);
        EXPECT_EQ(reports.front().organisation, "t1");
        EXPECT_EQ(reports.front().admittedTotal, 100);
    }
    EXPECT_TRUE(m_book.takeReports(m_now).empty());
}

TEST_F(quota_of_one_entry, withoutAWindowNothingIsCounted)
{
    quota_book book{{}, 7};
    book.setOrganisations(m_now, organisationsWith({1, 1, true, 200}));
    EXPECT_FALSE(book.inForce());
    EXPECT_EQ(book.tokensOf(requestOf("t1", 386)), 0);
}

/// Guards against a message that grows with the number of organisations.
TEST(quota_reports, aMessageHoldsTheLargestReportsAndTheOthersFollow)
{
    std::map<std::string, state::organisation> organisations;
    for (int number = 0; number < 100; ++number) {
        state::organisation row;
        row.name = "t" + std::to_string(number);
        row.quota = {{1e6, 1e6, true, 200}};
        organisations[row.name] = row;
    }
    instant now{seconds(100)};
    quota_book book{tolerance, 7};
    book.setOrganisations(now, organisations);
    now += seconds(10);
    for (int number = 0; number < 100; ++number)
        static_cast<void>(book.ask(now, "t" + std::to_string(number), 100 + number));
    std::set<std::string> reported;
    for (int message = 0; message < 2; ++message) {
        const auto reports = book.takeReports(now);
        EXPECT_EQ(reports.size(), 64U);
        for (const quota_report &report : reports)
            reported.insert(report.organisation);
    }
    EXPECT_EQ(reported.size(), 100U);
}

} // namespace yuccascale::kernel::requests

#include "yuccascale/kernel/feed/table_leases.hpp"

#include <gtest/gtest.h>

namespace yuccascale::kernel::feed {

namespace {

constexpr milliseconds wait{2'700};
constexpr instant start{seconds(100)};

state::table_set tablesAt(std::uint64_t revision, std::uint64_t document = 0)
{
    state::table_set tables;
    tables.revision = revision;
    tables.documentVersion = document;
    return tables;
}

node_report reportOf(const std::string &node, std::uint64_t revision, std::uint64_t incarnation = 1)
{
    node_report report;
    report.node = node;
    report.incarnation = incarnation;
    report.revision = revision;
    return report;
}

} // namespace

TEST(table_leases, aLeaderKnowsWhoUsesOlderTables)
{
    table_leases leases(wait);
    leases.installed(start, tablesAt(7));
    leases.reported(reportOf("entry", 6), start);
    EXPECT_EQ(leases.settled(start, instant{}), 6U);
    EXPECT_EQ(leases.slowest()->report.node, "entry");
    leases.reported(reportOf("entry", 7), start + milliseconds(20));
    EXPECT_EQ(leases.settled(start + milliseconds(20), instant{}), 7U);
}

TEST(table_leases, aNodeThatIsSilentMattersUntilItsLeaseIsAsShortAsThePromise)
{
    table_leases leases(wait);
    leases.reported(reportOf("entry", 6), start);
    leases.installed(start + seconds(1), tablesAt(7));
    EXPECT_EQ(leases.settled(start + wait - milliseconds(1), instant{}), 6U);
    EXPECT_EQ(leases.settled(start + wait, instant{}), 7U);
}

/// Guards against a new leader that does not know whom the former one answered.
TEST(table_leases, aNewLeaderWaitsForTheLeasesOfTheFormerOne)
{
    table_leases leases(wait);
    const instant elected = start + seconds(1);
    leases.installed(elected, tablesAt(7));
    EXPECT_EQ(leases.settled(elected + wait - milliseconds(1), elected), 0U);
    EXPECT_EQ(leases.settled(elected + wait, elected), 7U);
}

/// Guards against edits that are never answered while requests of a node arrive and replies do not.
TEST(table_leases, aNodeThatAsksAgainAndAgainPutsAnEditOffForTheLongestWaitOnly)
{
    table_leases leases(wait);
    leases.installed(start, tablesAt(7));
    for (milliseconds passed{0}; passed < wait; passed += milliseconds(100)) {
        leases.reported(reportOf("entry", 6), start + passed);
        EXPECT_EQ(leases.settled(start + passed, instant{}), 6U);
    }
    EXPECT_EQ(leases.settled(start + wait, instant{}), 7U);
}

TEST(table_leases, aRevisionThatHasBeenInForceForLongIsSettledWhoeverLeads)
{
    table_leases leases(wait);
    leases.installed(start, tablesAt(7));
    leases.installed(start + seconds(1), tablesAt(9));
    EXPECT_EQ(leases.settled(start + wait, std::nullopt), 7U);
    EXPECT_EQ(leases.settled(start + seconds(1) + wait, std::nullopt), 9U);
}

/// Guards against a relay that restarts and speaks for the entries that the former process
/// answered.
TEST(table_leases, aProcessThatWasReplacedMattersAsLongAsOneThatIsSilent)
{
    table_leases leases(wait);
    leases.installed(start, tablesAt(7));
    leases.reported(reportOf("relay", 6, 1), start);
    leases.reported(reportOf("relay", 7, 2), start + milliseconds(50));
    EXPECT_EQ(leases.settled(start + milliseconds(50), instant{}), 6U);
    EXPECT_EQ(leases.settled(start + wait, instant{}), 7U);
}

TEST(table_leases, anOlderReportThatArrivesLateTakesNothingBack)
{
    table_leases leases(wait);
    leases.installed(start, tablesAt(7));
    leases.reported(reportOf("entry", 7), start + milliseconds(50));
    EXPECT_FALSE(leases.reported(reportOf("entry", 6), start));
    EXPECT_EQ(leases.settled(start + milliseconds(50), instant{}), 7U);
}

/// Guards against a document that is never acknowledged since later ones follow without end.
TEST(table_leases, aDocumentThatIsSentAgainRestsOnTheRevisionThatBroughtIt)
{
    table_leases leases(wait);
    leases.installed(start, tablesAt(7, 3));
    leases.installed(start + seconds(1), tablesAt(8, 4));
    leases.installed(start + seconds(2), tablesAt(9, 5));
    EXPECT_EQ(leases.revisionOf(4), 8U);
    EXPECT_EQ(leases.revisionOf(6), std::nullopt);
    static_cast<void>(leases.settled(start + seconds(1) + wait, std::nullopt));
    EXPECT_EQ(leases.revisionOf(3), 8U) << "what is settled is not kept apart";
}

/// Guards against an acknowledgement that rests on the tables before, when a document replaces one
/// that a former build had stored under a higher version than it names.
TEST(table_leases, aDocumentRestsOnNoRevisionBeforeALowerVersion)
{
    table_leases leases(wait);
    leases.installed(start, tablesAt(7, 3));
    leases.installed(start + milliseconds(100), tablesAt(8, std::uint64_t(-1)));
    leases.installed(start + milliseconds(200), tablesAt(9, 4));
    leases.installed(start + milliseconds(300), tablesAt(10, 5));
    EXPECT_EQ(leases.revisionOf(4), 9U);
    EXPECT_EQ(leases.revisionOf(5), 10U);
    EXPECT_EQ(leases.revisionOf(3), 9U) << "what is in force has no version between";
    EXPECT_EQ(leases.revisionOf(6), std::nullopt);
}

TEST(table_leases, withoutABoundNothingWaits)
{
    EXPECT_EQ(leaseWait(milliseconds(4'700), milliseconds(0)), nanoseconds::zero());
    EXPECT_EQ(leaseWait(milliseconds(2'400), seconds(6)), nanoseconds::zero());
    EXPECT_EQ(leaseWait(milliseconds(4'700), seconds(2)), wait);
    table_leases leases(nanoseconds::zero());
    leases.reported(reportOf("entry", 6), start);
    leases.installed(start, tablesAt(7));
    EXPECT_EQ(leases.settled(start, std::nullopt), 7U);
}

} // namespace yuccascale::kernel::feed

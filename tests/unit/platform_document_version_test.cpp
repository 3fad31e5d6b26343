#include "platform_document_reading.hpp"
#include "yuccascale/kernel/feed/table_history.hpp"
#include "yuccascale/kernel/feed/table_leases.hpp"

#include <gtest/gtest.h>

/// \file
/// \brief Documents of version 0 are stored like any other, though 0 also stands for none.

namespace yuccascale::platform {

namespace {

using kernel::seconds;
using kernel::state::command_result;
using kernel::state::machine;
using kernel::state::put_document;

/// A state machine and the document commands that it applied, as a log holds them.
class applied_documents
{
public:
    /// \param replaces the revision that the document may replace whatever its version
    command_result put(const json &text, std::optional<std::uint64_t> replaces = std::nullopt)
    {
        put_document document = *readDocument(text.dump()).document;
        if (replaces)
            document.replacesRevision = {*replaces};
        const kernel::state::command command{"d" + std::to_string(m_log.size()), document};
        m_log.push_back(kernel::toCbor(command));
        return m_machine.apply(m_log.size(), command);
    }

    /// \returns a machine that applied the same log from its bytes.
    [[nodiscard]] std::unique_ptr<machine> replayed() const
    {
        auto copy = std::make_unique<machine>();
        std::uint64_t index = 0;
        for (const std::string &bytes : m_log) {
            const auto command = kernel::fromCbor<kernel::state::command>(bytes, "test");
            EXPECT_TRUE(copy->apply(++index, command.value()).accepted);
        }
        return copy;
    }

    [[nodiscard]] bool holds(const json &text) const
    {
        return *m_machine.document() == text.dump();
    }
    [[nodiscard]] const machine &state() const noexcept { return m_machine; }
    [[nodiscard]] std::uint64_t revision() const { return m_machine.tables()->revision; }

private:
    machine m_machine;
    std::vector<std::string> m_log;
};

bool changed(const command_result &answer)
{
    return answer.accepted && answer.detail.at("changed").get<bool>();
}

json documentOfService(std::uint64_t version, const std::string &service)
{
    json document = sampleDocument(version);
    document["services"][0]["name"] = service;
    document["routes"][0]["service"] = service;
    return document;
}

} // namespace

/// Guards against a first document of version 0 that is acknowledged and never stored.
TEST(platform_document_version, zeroIsStoredAsTheFirst)
{
    applied_documents log;
    const json first = sampleDocument(0);
    EXPECT_TRUE(changed(log.put(first, 0)));
    EXPECT_TRUE(log.holds(first));
    EXPECT_EQ(log.state().tables()->routes.size(), 1U);
    EXPECT_EQ(log.revision(), 1U);
}

/// Guards against a replay of the log, or a snapshot, that drops it again.
TEST(platform_document_version, zeroSurvivesARestartFromTheLogAndFromASnapshot)
{
    applied_documents log;
    const json first = sampleDocument(0);
    EXPECT_TRUE(changed(log.put(first, 0)));
    EXPECT_EQ(*log.replayed()->document(), first.dump());
    machine restored;
    ASSERT_TRUE(restored.restore(log.state().snapshot()));
    EXPECT_EQ(*restored.document(), first.dump());
    EXPECT_EQ(*restored.tables(), *log.state().tables());
}

/// Guards against other content under the version held.
TEST(platform_document_version, zeroIsNotReplacedByOtherContentUnderZero)
{
    applied_documents log;
    const json first = documentOfService(0, "s1");
    EXPECT_TRUE(changed(log.put(first, 0)));
    EXPECT_FALSE(changed(log.put(first, 0))) << "sent again by a node that had not seen it";
    EXPECT_FALSE(changed(log.put(documentOfService(0, "s2"), 0))) << "of a second operator";
    EXPECT_FALSE(changed(log.put(documentOfService(0, "s3"))));
    EXPECT_TRUE(log.holds(first));
    const json next = documentOfService(1, "s2");
    EXPECT_TRUE(changed(log.put(next)));
    EXPECT_TRUE(log.holds(next));
}

/// Guards against version 0 that replaces version 1 when two operators send both at once.
TEST(platform_document_version, zeroDoesNotReplaceOne)
{
    applied_documents log;
    const json one = documentOfService(1, "s1");
    EXPECT_TRUE(changed(log.put(one)));
    EXPECT_FALSE(changed(log.put(documentOfService(0, "s2"), 0)));
    EXPECT_TRUE(log.holds(one));
}

/// Guards against a log of a former build, which stored no version 0, that is applied anew in
/// another way; and against a command that a former build would read in another way.
TEST(platform_document_version, zeroInALogOfAFormerBuildChangesNothingAsBefore)
{
    applied_documents log;
    EXPECT_FALSE(changed(log.put(sampleDocument(0))));
    EXPECT_EQ(log.revision(), 0U);
    EXPECT_TRUE(log.state().document()->empty());
    put_document plain = *readDocument(sampleDocument(0).dump()).document;
    EXPECT_EQ(kernel::state::commandFormat({"d", plain}), 0U);
    plain.replacesRevision = {0};
    EXPECT_EQ(kernel::state::commandFormat({"d", plain}), kernel::state::newestCommandFormat);
}

/// Guards against entries that are not sent a first document of version 0.
TEST(platform_document_version, zeroReachesEntriesAsTablesAndAsChanges)
{
    applied_documents log;
    const kernel::state::table_set none = *log.state().tables();
    EXPECT_TRUE(changed(log.put(sampleDocument(0), 0)));
    kernel::feed::table_history history;
    EXPECT_TRUE(history.advance(std::make_shared<kernel::state::table_set>(none)));
    EXPECT_TRUE(history.advance(log.state().tables()));
    EXPECT_EQ(history.editsSince(none.revision)->size(), 1U);
    kernel::state::table_set atEntry = none;
    kernel::feed::applyRows(atEntry, kernel::feed::difference(none, *log.state().tables()),
                            log.revision());
    EXPECT_EQ(atEntry.routes, log.state().tables()->routes);
    EXPECT_EQ(atEntry.pools, log.state().tables()->pools);
    EXPECT_EQ(atEntry.keys, log.state().tables()->keys);
    EXPECT_EQ(atEntry.limits, log.state().tables()->limits);
}

/// Guards against an edit of single rows before the first document, after which 0 isn't stored.
TEST(platform_document_version, zeroIsStoredAfterEditsOfSingleRows)
{
    applied_documents log;
    EXPECT_FALSE(changed(log.put(sampleDocument(0), 5))) << "not the tables that it may replace";
    EXPECT_TRUE(log.state().document()->empty());
    EXPECT_TRUE(changed(log.put(sampleDocument(0), 0)));
}

/// Guards against entries and followers that keep the version of a document which one of a lower
/// version has replaced.
TEST(platform_document_version, thatIsLowerThanAWrongOneReachesEntries)
{
    kernel::state::table_set before;
    before.revision = 5;
    before.documentVersion = std::uint64_t(-1);
    kernel::state::table_set after = before;
    after.revision = 6;
    after.documentVersion = 8;
    kernel::state::table_set atEntry = before;
    kernel::feed::applyRows(atEntry, kernel::feed::difference(before, after), after.revision);
    EXPECT_EQ(atEntry.documentVersion, 8U);
    kernel::state::edit_tables ofFormerBuild;
    kernel::feed::applyRows(atEntry, ofFormerBuild, 7);
    EXPECT_EQ(atEntry.documentVersion, 8U) << "an edit that names none";
}

} // namespace yuccascale::platform

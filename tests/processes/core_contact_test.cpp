#include "processes/core_contact.hpp"

#include <gtest/gtest.h>

namespace yuccascale::processes {

namespace {

constexpr contact_bounds bounds{};
constexpr milliseconds instantly{1};
const test_time start{std::chrono::seconds(1'000)};
const test_time calm = start + bounds.contact;

} // namespace

TEST(core_contact, bindsOnceNothingWasDoneForTheContactTimeThoughALinkStaysCut)
{
    core_contact contact(3, 1, bounds);
    EXPECT_EQ(contact.allowance(0, start, start), milliseconds(0));
    contact.setCut(0, 1, true, start);
    EXPECT_EQ(contact.allowance(0, start, calm - instantly), bounds.stretch);
    EXPECT_EQ(contact.allowance(0, start, calm), milliseconds(0));
}

TEST(core_contact, bindsNobodyWhileNoMajorityIsConnected)
{
    core_contact contact(3, 1, bounds);
    contact.setRunning(0, false, start);
    EXPECT_EQ(contact.allowance(0, start, calm), milliseconds(0));
    contact.setCut(1, 2, true, calm);
    EXPECT_FALSE(contact.allowance(0, start, calm + bounds.contact));
    contact.setCut(1, 2, false, calm + bounds.contact);
    const test_time joined = calm + bounds.contact;
    EXPECT_FALSE(contact.allowance(0, start, joined + instantly));
    EXPECT_EQ(contact.allowance(0, joined, joined + instantly), bounds.stretch);
    EXPECT_EQ(contact.allowance(0, start, joined + bounds.contact), milliseconds(0));
}

TEST(core_contact, excusesOnlyTheEntryThatIsCut)
{
    core_contact contact(3, 2, bounds);
    contact.setEntryCut(0, 2, true, start);
    EXPECT_FALSE(contact.allowance(0, start, calm));
    EXPECT_EQ(contact.allowance(1, start, calm), milliseconds(0));
    contact.setEntryCut(0, 2, false, calm);
    EXPECT_FALSE(contact.allowance(0, start, calm + bounds.contact - instantly));
    EXPECT_EQ(contact.allowance(0, start, calm + bounds.contact), milliseconds(0));
}

} // namespace yuccascale::processes

#include "yuccascale/wire/feed_codec.hpp"

#include <gtest/gtest.h>

#include <random>

namespace yuccascale::wire {

namespace {

kernel::feed::feed_reply sampleReply()
{
    kernel::feed::feed_reply reply;
    reply.confirmed = true;
    reply.leader = "perth-a-1";
    reply.freshForMs = 1'900;
    reply.revision = 7;
    kernel::state::edit_tables edit;
    edit.putOrganisations.push_back({"north", 2.0});
    reply.edits.push_back(kernel::makeEncoded(edit));
    kernel::state::table_set tables;
    tables.revision = 7;
    reply.fullTables.push_back(kernel::makeEncoded(tables));
    reply.bansVersion = 3;
    reply.bans = {"fingerprint"};
    reply.nodes = {{"perth-b-1", 5, 7, 20, false, "10.2.0.1:7600", "10.2.0.1:7500", "perth-b", true,
                    1'700'000'000'000, "10.2.0.1:8407"}};
    reply.endpoints.push_back(
            kernel::makeEncoded(kernel::feed::endpoint_list{9, {{"engines", {}}}}));
    reply.clusterWallMs = 1'700'000'000'001;
    reply.settledRevision = 6;
    return reply;
}

bool decodes(std::string_view bytes, kernel::feed::feed_reply &out)
{
    kernel::error problem;
    return kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_ASSIGN(out, decodeFeedReply(bytes));
                return {};
            },
            problem);
}

} // namespace

TEST(feed_codec_test, keepsEveryFieldOfAReply)
{
    kernel::feed::feed_reply copy;
    ASSERT_TRUE(decodes(encodeFeedReply(sampleReply()), copy));
    EXPECT_EQ(encodeFeedReply(copy), encodeFeedReply(sampleReply()));
    EXPECT_EQ(copy.edits.front()->value().putOrganisations.front().weight, 2.0);
    EXPECT_EQ(kernel::json(copy.nodes), kernel::json(sampleReply().nodes));
    EXPECT_EQ(copy.endpoints.front()->value().version, 9U);
    EXPECT_EQ(copy.clusterWallMs, sampleReply().clusterWallMs);
    EXPECT_EQ(copy.settledRevision, 6U);
}

TEST(feed_codec_test, keepsTheOrderOfMoreEditsThanAShortArrayHolds)
{
    for (const std::uint64_t count : {23U, 24U, 300U}) {
        kernel::feed::feed_reply reply;
        for (std::uint64_t number = 0; number < count; ++number) {
            kernel::state::edit_tables edit;
            edit.fromRevision = number;
            reply.edits.push_back(kernel::makeEncoded(edit));
        }
        kernel::feed::feed_reply copy;
        ASSERT_TRUE(decodes(encodeFeedReply(reply), copy));
        ASSERT_EQ(copy.edits.size(), count);
        EXPECT_EQ(copy.edits.back()->value().fromRevision, count - 1);
    }
}

TEST(feed_codec_test, keepsEveryFieldOfARequest)
{
    kernel::feed::feed_request request{7, true, 3, {{"perth-a-1", 5, 7, 20, true}}, 4};
    kernel::feed::feed_request copy;
    kernel::error problem;
    ASSERT_TRUE(kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_ASSIGN(copy, decodeFeedRequest(encodeFeedRequest(request)));
                return {};
            },
            problem));
    EXPECT_EQ(encodeFeedRequest(copy), encodeFeedRequest(request));
    EXPECT_TRUE(copy.haveTables && copy.reports.front().leaving);
}

TEST(feed_codec_test, corruptedRepliesAreDecodedOrRejected)
{
    std::mt19937 random(20261203);
    const std::string validReply = encodeFeedReply(sampleReply());
    int refused = 0;
    for (int round = 0; round < 5'000; ++round) {
        std::string bytes = validReply;
        for (int change = 0; change < 3; ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        kernel::feed::feed_reply copy;
        refused += decodes(bytes, copy) ? 0 : 1;
    }
    EXPECT_GT(refused, 0);
}

} // namespace yuccascale::wire

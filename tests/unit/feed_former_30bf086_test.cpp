#include "fakes/feed_of_30bf086_generated.h"
#include "yuccascale/wire/feed_codec.hpp"

#include <gtest/gtest.h>

/// \file
/// \brief Messages of the feed between this build and 30bf086, whose schema is
/// fakes/feed_of_30bf086.fbs.

namespace yuccascale::wire {

namespace {

namespace former = former_30bf086::fb;

using kernel::milliseconds;

[[nodiscard]] std::string bytesOf(const flatbuffers::FlatBufferBuilder &builder)
{
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

template<typename Table>
[[nodiscard]] const Table *readAsFormer(const std::string &bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                   bytes.size());
    return verifier.VerifyBuffer<Table>(nullptr) ? flatbuffers::GetRoot<Table>(bytes.data())
                                                 : nullptr;
}

} // namespace

/// Guards against changes sent to a build that cannot apply them.
TEST(feed_of_30bf086, aRequestOfItAsksForWholeLists)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(former::CreateFeedRequest(builder, 7, true, 3, 0, 9, true, true, 77, 400));
    const auto request = decodeFeedRequest(bytesOf(builder)).value();
    EXPECT_EQ(request.haveEndpointsDigest, 77U);
    EXPECT_EQ(request.endpointsAge, milliseconds(400));
    EXPECT_FALSE(request.takesEndpointChanges);
    EXPECT_EQ(request.nodesDigest, 0U);
}

TEST(feed_of_30bf086, aReplyOfItHasWholeLists)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto leader = builder.CreateString("10.0.0.1:7660");
    const std::vector<flatbuffers::Offset<former::NodeReport>> rows{
            former::CreateNodeReport(builder, builder.CreateString("a"), 3)};
    const auto nodes = builder.CreateVector(rows);
    builder.Finish(former::CreateFeedReply(builder, true, leader, 1'200, 7, 0, 0, 0, 0, nodes, 0, 0,
                                           0, 0, 77, 400, 3));
    const auto reply = decodeFeedReply(bytesOf(builder)).value();
    ASSERT_EQ(reply.nodes.size(), 1U);
    EXPECT_EQ(reply.nodes.front().node, "a");
    EXPECT_EQ(reply.nodesDigest, 0U);
    EXPECT_EQ(reply.endpointsDigest, 77U);
    EXPECT_TRUE(reply.endpointChanges.empty());
    EXPECT_TRUE(reply.nodeChanges.empty());
}

TEST(feed_of_30bf086, itReadsTheMessagesOfThisBuild)
{
    kernel::feed::feed_request request;
    request.haveEndpointsDigest = 77;
    request.takesEndpointChanges = true;
    request.nodesDigest = 5;
    const std::string requestBytes = encodeFeedRequest(request);
    const auto *formerRequest = readAsFormer<former::FeedRequest>(requestBytes);
    ASSERT_NE(formerRequest, nullptr);
    EXPECT_EQ(formerRequest->endpoints_digest(), 77U);

    kernel::feed::feed_reply reply;
    reply.confirmed = true;
    reply.endpointsDigest = 77;
    reply.endpointsAge = milliseconds(400);
    reply.endpoints.push_back(kernel::makeEncoded(kernel::feed::endpoint_list{9, {}}));
    reply.nodes = {{"a", 3}};
    const std::string replyBytes = encodeFeedReply(reply);
    const auto *formerReply = readAsFormer<former::FeedReply>(replyBytes);
    ASSERT_NE(formerReply, nullptr);
    EXPECT_EQ(formerReply->nodes()->Get(0)->node()->str(), "a");
    EXPECT_NE(formerReply->endpoints(), nullptr);
    EXPECT_EQ(formerReply->endpoints_digest(), 77U);
}

TEST(feed_of_30bf086, changesAreDecodedAsTheyWereEncoded)
{
    kernel::feed::feed_reply reply;
    kernel::feed::endpoint_change change{5, 6, 9, {1, 3}, {2}, {{"engines", {}}}};
    change.put.front().row.name = "a";
    reply.endpointChanges.push_back(kernel::makeEncoded(change));
    reply.nodesDigest = 8;
    kernel::feed::node_change nodeChange{7, 8, {{"a", 3}}, {"b"}};
    reply.nodeChanges.push_back(
            std::make_shared<const kernel::feed::node_change>(std::move(nodeChange)));
    const auto copy = decodeFeedReply(encodeFeedReply(reply)).value();
    ASSERT_EQ(copy.endpointChanges.size(), 1U);
    EXPECT_EQ(kernel::json(copy.endpointChanges.front()->value()), kernel::json(change));
    EXPECT_EQ(copy.nodesDigest, 8U);
    ASSERT_EQ(copy.nodeChanges.size(), 1U);
    EXPECT_EQ(copy.nodeChanges.front()->from, 7U);
    EXPECT_EQ(copy.nodeChanges.front()->to, 8U);
    EXPECT_EQ(copy.nodeChanges.front()->put.front().node, "a");
    EXPECT_EQ(copy.nodeChanges.front()->removed, std::vector<std::string>{"b"});
    kernel::feed::feed_request request;
    request.takesEndpointChanges = true;
    request.nodesDigest = 8;
    const auto requestCopy = decodeFeedRequest(encodeFeedRequest(request)).value();
    EXPECT_TRUE(requestCopy.takesEndpointChanges);
    EXPECT_EQ(requestCopy.nodesDigest, 8U);
}

} // namespace yuccascale::wire

#include "fakes/feed_of_5080f23_generated.h"
#include "fakes/former_consensus_generated.h"
#include "fakes/former_feed_generated.h"
#include "fakes/former_streams_generated.h"
#include "yuccascale/wire/consensus_codec.hpp"
#include "yuccascale/wire/feed_codec.hpp"
#include "yuccascale/wire/stream_codec.hpp"

#include <gtest/gtest.h>

/// \file
/// \brief Messages between this build and c7396eb, whose schemas are fakes/former_*.fbs, and
/// 5080f23, whose feed is fakes/feed_of_5080f23.fbs.

namespace yuccascale::wire {

namespace {

namespace feed_5080f23 = former_5080f23::fb;

using kernel::milliseconds;
using kernel::seconds;

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

/// Guards against taking what a former build does not say for knowledge that nothing was there.
TEST(former_messages, aFeedReplyOfAFormerBuildSaysNothingOfThePast)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto leader = builder.CreateString("10.0.0.1:7660");
    builder.Finish(former::fb::CreateFeedReply(builder, true, leader, 1'200, 7));
    const auto reply = decodeFeedReply(bytesOf(builder)).value();
    EXPECT_TRUE(reply.confirmed);
    EXPECT_EQ(reply.leader, "10.0.0.1:7660");
    EXPECT_EQ(reply.freshForMs, 1'200);
    EXPECT_EQ(reply.revision, 7U);
    EXPECT_EQ(reply.origins, kernel::feed::origin_report());
    EXPECT_EQ(reply.settledRevision, 0U) << "nothing is settled by its word";
}

TEST(former_messages, aFeedRequestOfAFormerBuildWantsNothingNew)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(former::fb::CreateFeedRequest(builder, 7, true, 3, 0, 9));
    const auto request = decodeFeedRequest(bytesOf(builder)).value();
    EXPECT_EQ(request.haveRevision, 7U);
    EXPECT_EQ(request.haveEndpointsVersion, 9U);
    EXPECT_FALSE(request.wantOrigins);
    EXPECT_FALSE(request.confirmNow);
}

TEST(former_messages, aFormerBuildReadsTheFeedOfThisOne)
{
    kernel::feed::feed_request request;
    request.haveRevision = 7;
    request.haveEndpointsVersion = 9;
    request.wantOrigins = true;
    request.confirmNow = true;
    const std::string requestBytes = encodeFeedRequest(request);
    const auto *formerRequest = readAsFormer<former::fb::FeedRequest>(requestBytes);
    ASSERT_NE(formerRequest, nullptr);
    EXPECT_EQ(formerRequest->have_revision(), 7U);
    EXPECT_EQ(formerRequest->have_endpoints(), 9U);

    kernel::feed::feed_reply reply;
    reply.confirmed = true;
    reply.leader = "10.0.0.1:7660";
    reply.freshForMs = 1'200;
    reply.clusterWallMs = 5;
    reply.settledRevision = 6;
    reply.origins.tables = {seconds(9), true};
    reply.origins.deadlines = {{"briefing", seconds(8), milliseconds(20)}};
    const std::string replyBytes = encodeFeedReply(reply);
    const auto *formerReply = readAsFormer<former::fb::FeedReply>(replyBytes);
    ASSERT_NE(formerReply, nullptr);
    EXPECT_TRUE(formerReply->confirmed());
    EXPECT_EQ(formerReply->leader()->str(), "10.0.0.1:7660");
    EXPECT_EQ(formerReply->fresh_for_ms(), 1'200U);
    EXPECT_EQ(formerReply->cluster_wall_ms(), 5);
}

/// 5080f23 names no leader to a replica that asks to join.
TEST(former_messages, aJoinReplyOfAFormerBuildNamesNoLeader)
{
    namespace fb = former::consensus::fb;
    flatbuffers::FlatBufferBuilder builder;
    const auto from = fb::CreateMember(builder, builder.CreateString("a"), 1);
    const auto to = fb::CreateMember(builder, builder.CreateString("b"), 2);
    const auto body = fb::CreateJoinReply(builder, true).Union();
    builder.Finish(
            fb::CreateConsensusMessage(builder, from, to, 4, fb::ConsensusBody::JoinReply, body));
    const auto read = decodeConsensus(bytesOf(builder)).value();
    const auto &reply = std::get<kernel::consensus::join_reply>(read.body);
    EXPECT_TRUE(reply.empty);
    EXPECT_EQ(reply.leader, "");
    EXPECT_FALSE(reply.mayNotStart) << "a former build with the lowest name may start the log";
}

TEST(former_messages, aFormerBuildReadsAJoinReplyOfThisOne)
{
    namespace fb = former::consensus::fb;
    const std::string bytes
            = encodeConsensus({{"a", 1}, {"b", 2}, 4, kernel::consensus::join_reply{true, "c"}});
    const auto *message = readAsFormer<fb::ConsensusMessage>(bytes);
    ASSERT_NE(message, nullptr);
    EXPECT_TRUE(message->body_as_JoinReply()->empty());
    const auto read = decodeConsensus(bytes).value();
    EXPECT_EQ(std::get<kernel::consensus::join_reply>(read.body).leader, "c");
}

/// Guards against taking a replica of a former build for one that applies newer commands.
TEST(former_messages, anAppendReplyOfAFormerBuildNamesNoCommandFormat)
{
    namespace fb = former::consensus::fb;
    flatbuffers::FlatBufferBuilder builder;
    const auto from = fb::CreateMember(builder, builder.CreateString("a"), 1);
    const auto to = fb::CreateMember(builder, builder.CreateString("b"), 2);
    const auto body = fb::CreateAppendReply(builder, true, 8, 7, 9).Union();
    builder.Finish(
            fb::CreateConsensusMessage(builder, from, to, 4, fb::ConsensusBody::AppendReply, body));
    const auto read = decodeConsensus(bytesOf(builder)).value();
    const auto &reply = std::get<kernel::consensus::append_reply>(read.body);
    EXPECT_EQ(reply.matched, 8U);
    EXPECT_EQ(reply.commandFormat, 0U);
}

TEST(former_messages, aFormerBuildReadsAnAppendReplyOfThisOne)
{
    namespace fb = former::consensus::fb;
    const kernel::consensus::append_reply reply{true, 8, 7, kernel::instant(seconds(1)), 1};
    const std::string bytes = encodeConsensus({{"a", 1}, {"b", 2}, 4, reply});
    const auto *message = readAsFormer<fb::ConsensusMessage>(bytes);
    ASSERT_NE(message, nullptr);
    EXPECT_TRUE(message->body_as_AppendReply()->accepted());
    EXPECT_EQ(message->body_as_AppendReply()->matched(), 8U);
    const auto read = decodeConsensus(bytes).value();
    EXPECT_EQ(std::get<kernel::consensus::append_reply>(read.body).commandFormat, 1U);
}

/// Guards against an age of zero read from an answer that says none.
TEST(former_messages, theListOf5080f23HasNoKnownAge)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto leader = builder.CreateString("10.0.0.1:7660");
    builder.Finish(feed_5080f23::CreateFeedReply(builder, true, leader, 1'200, 7));
    const auto reply = decodeFeedReply(bytesOf(builder)).value();
    EXPECT_FALSE(reply.endpointsAge);
    EXPECT_EQ(reply.endpointsDigest, 0U);

    builder.Clear();
    builder.Finish(feed_5080f23::CreateFeedRequest(builder, 7, true, 3, 0, 9, true, true));
    const auto request = decodeFeedRequest(bytesOf(builder)).value();
    EXPECT_EQ(request.haveEndpointsVersion, 9U);
    EXPECT_FALSE(request.endpointsAge);
    EXPECT_EQ(request.haveEndpointsDigest, 0U);
}

TEST(former_messages, node5080f23ReadsTheFeedOfThisBuild)
{
    kernel::feed::feed_request request;
    request.haveEndpointsVersion = 9;
    request.haveEndpointsDigest = 77;
    request.endpointsAge = milliseconds(400);
    request.confirmNow = true;
    const std::string requestBytes = encodeFeedRequest(request);
    const auto *formerRequest = readAsFormer<feed_5080f23::FeedRequest>(requestBytes);
    ASSERT_NE(formerRequest, nullptr);
    EXPECT_EQ(formerRequest->have_endpoints(), 9U);
    EXPECT_TRUE(formerRequest->confirm_now());

    kernel::feed::feed_reply reply;
    reply.confirmed = true;
    reply.freshForMs = 1'200;
    reply.endpointsDigest = 77;
    reply.endpointsAge = milliseconds(400);
    reply.endpointsAgeSpread = milliseconds(3);
    reply.endpoints.push_back(kernel::makeEncoded(kernel::feed::endpoint_list{9, {}}));
    const std::string replyBytes = encodeFeedReply(reply);
    const auto *formerReply = readAsFormer<feed_5080f23::FeedReply>(replyBytes);
    ASSERT_NE(formerReply, nullptr);
    EXPECT_EQ(formerReply->fresh_for_ms(), 1'200U);
    EXPECT_NE(formerReply->endpoints(), nullptr);
}

TEST(former_messages, theAgeOfAListIsDecodedAsItWasEncoded)
{
    kernel::feed::feed_reply reply;
    reply.endpointsDigest = 77;
    reply.endpointsAge = milliseconds(400);
    reply.endpointsAgeSpread = milliseconds(3);
    const auto decodedReply = decodeFeedReply(encodeFeedReply(reply)).value();
    EXPECT_EQ(decodedReply.endpointsDigest, 77U);
    EXPECT_EQ(decodedReply.endpointsAge, reply.endpointsAge);
    EXPECT_EQ(decodedReply.endpointsAgeSpread, reply.endpointsAgeSpread);
    kernel::feed::feed_request request;
    EXPECT_FALSE(decodeFeedRequest(encodeFeedRequest(request)).value().endpointsAge);
    request.haveEndpointsDigest = 77;
    request.endpointsAge = milliseconds(0);
    const auto decodedRequest = decodeFeedRequest(encodeFeedRequest(request)).value();
    EXPECT_EQ(decodedRequest.haveEndpointsDigest, 77U);
    EXPECT_EQ(decodedRequest.endpointsAge, request.endpointsAge);
}

/// Guards against an entry of a former build that looks back for less time than it is asked to.
TEST(former_messages, aFormerBuildReadsTheQuestionsAndRecordsOfThisOne)
{
    const std::string bytes
            = encodeStreamMessage({{{"a", {"engines", "v1"}, seconds(16)}},
                                   stream_query{"b", "briefing", "engines", seconds(20)}});
    const auto *message = readAsFormer<former::fb::StreamMessage>(bytes);
    ASSERT_NE(message, nullptr);
    EXPECT_EQ(message->records()->Get(0)->request_id()->str(), "a");
    EXPECT_EQ(message->records()->Get(0)->kept_ms(), 16'000U);
    EXPECT_EQ(message->query()->request_id()->str(), "b");
    EXPECT_EQ(message->query()->lookback_ms(), 20'000U);
}

TEST(former_messages, anAnswerOfAFormerEntryIsRead)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto names = builder.CreateVectorOfStrings({"v1"});
    const auto versions = former::fb::CreateNamesSeen(builder, names, true);
    const auto pools = former::fb::CreateNamesSeen(builder, names, false);
    builder.Finish(former::fb::CreateStreamAnswer(builder, 0, versions, pools));
    const auto answer = decodeStreamAnswer(bytesOf(builder));
    ASSERT_TRUE(answer);
    EXPECT_TRUE(answer->seen.versions.throughout);
    EXPECT_FALSE(answer->seen.pools.throughout);
}

TEST(former_messages, whatANodeHasWatchedIsDecodedAsItWasEncoded)
{
    kernel::feed::feed_reply reply;
    reply.origins.tables = {seconds(9), true};
    reply.origins.endpoints = {seconds(4), false};
    reply.origins.versions = {{"engines", "v1", milliseconds(30)}, {"engines", "", seconds(2)}};
    reply.origins.pools = {{"briefing", "others", milliseconds(40)}};
    reply.origins.deadlines = {{"briefing", seconds(8), milliseconds(20)}};
    EXPECT_EQ(decodeFeedReply(encodeFeedReply(reply)).value().origins, reply.origins);
    kernel::feed::feed_request request;
    request.wantOrigins = true;
    request.confirmNow = true;
    const auto decoded = decodeFeedRequest(encodeFeedRequest(request)).value();
    EXPECT_TRUE(decoded.wantOrigins);
    EXPECT_TRUE(decoded.confirmNow);
}

} // namespace yuccascale::wire

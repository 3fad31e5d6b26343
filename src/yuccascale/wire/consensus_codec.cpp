#include "yuccascale/wire/consensus_codec.hpp"

#include "yuccascale/wire/consensus_tables.hpp"

namespace yuccascale::wire {

using namespace kernel::consensus;
using kernel::instant;

namespace {

using body_offset = flatbuffers::Offset<void>;
using buffer_builder = flatbuffers::FlatBufferBuilder;

std::int64_t toNanoseconds(instant time) noexcept
{
    return time.time_since_epoch().count();
}

instant fromNanoseconds(std::int64_t count) noexcept
{
    return instant(kernel::nanoseconds(count));
}

body_offset pack(buffer_builder &builder, const vote_request &body)
{
    return fb::CreateVoteRequest(builder, body.preVote, body.candidateTerm, body.lastIndex,
                                 body.lastTerm, body.bootId)
            .Union();
}

body_offset pack(buffer_builder &builder, const vote_reply &body)
{
    return fb::CreateVoteReply(builder, body.preVote, body.granted, body.candidateTerm, body.bootId)
            .Union();
}

body_offset pack(buffer_builder &builder, const append_request &body)
{
    const auto entries = packEntries(builder, body.entries);
    return fb::CreateAppendRequest(builder, body.previousIndex, body.previousTerm, body.commit,
                                   toNanoseconds(body.sentAt), entries)
            .Union();
}

body_offset pack(buffer_builder &builder, const append_reply &body)
{
    return fb::CreateAppendReply(builder, body.accepted, body.matched, body.previousIndex,
                                 toNanoseconds(body.sentAt), body.commandFormat)
            .Union();
}

body_offset pack(buffer_builder &builder, const snapshot_chunk &body)
{
    const auto members = packMembership(builder, body.members);
    const auto bytes = packBytes(builder, body.bytes);
    return fb::CreateSnapshotChunk(builder, body.index, body.snapshotTerm, members, body.offset,
                                   body.total, toNanoseconds(body.sentAt), bytes)
            .Union();
}

body_offset pack(buffer_builder &builder, const snapshot_reply &body)
{
    return fb::CreateSnapshotReply(builder, body.index, body.received, body.installed,
                                   toNanoseconds(body.sentAt))
            .Union();
}

body_offset pack(buffer_builder &builder, const join_request &)
{
    return fb::CreateJoinRequest(builder).Union();
}

body_offset pack(buffer_builder &builder, const join_reply &body)
{
    const auto leader = builder.CreateString(body.leader);
    return fb::CreateJoinReply(builder, body.empty, leader, body.mayNotStart).Union();
}

/// The alternatives of message_body are in the order of fb::ConsensusBody, which starts with NONE.
fb::ConsensusBody bodyType(const message_body &body) noexcept
{
    return static_cast<fb::ConsensusBody>(body.index() + 1);
}

message_body unpack(const fb::VoteRequest &table)
{
    return vote_request{table.pre_vote(), table.candidate_term(), table.last_index(),
                        table.last_term(), table.boot_id()};
}

message_body unpack(const fb::VoteReply &table)
{
    return vote_reply{table.pre_vote(), table.granted(), table.candidate_term(), table.boot_id()};
}

message_body unpack(const fb::AppendRequest &table)
{
    return append_request{table.previous_index(), table.previous_term(), table.commit(),
                          fromNanoseconds(table.sent_at()), unpackEntries(table.entries())};
}

message_body unpack(const fb::AppendReply &table)
{
    return append_reply{table.accepted(), table.matched(), table.previous_index(),
                        fromNanoseconds(table.sent_at()), table.command_format()};
}

message_body unpack(const fb::SnapshotChunk &table)
{
    return snapshot_chunk{table.index(),
                          table.term(),
                          unpackMembership(table.members()),
                          table.offset(),
                          table.total(),
                          fromNanoseconds(table.sent_at()),
                          unpackBytes(table.bytes())};
}

message_body unpack(const fb::SnapshotReply &table)
{
    return snapshot_reply{table.index(), table.received(), table.installed(),
                          fromNanoseconds(table.sent_at())};
}

message_body unpack(const fb::JoinReply &table)
{
    return join_reply{table.empty(), table.leader() ? table.leader()->str() : std::string(),
                      table.may_not_start()};
}

std::optional<message_body> unpackBody(const fb::ConsensusMessage &table)
{
    switch (table.body_type()) {
    case fb::ConsensusBody::VoteRequest:
        return unpack(*table.body_as_VoteRequest());
    case fb::ConsensusBody::VoteReply:
        return unpack(*table.body_as_VoteReply());
    case fb::ConsensusBody::AppendRequest:
        return unpack(*table.body_as_AppendRequest());
    case fb::ConsensusBody::AppendReply:
        return unpack(*table.body_as_AppendReply());
    case fb::ConsensusBody::SnapshotChunk:
        return unpack(*table.body_as_SnapshotChunk());
    case fb::ConsensusBody::SnapshotReply:
        return unpack(*table.body_as_SnapshotReply());
    case fb::ConsensusBody::JoinRequest:
        return join_request{};
    case fb::ConsensusBody::JoinReply:
        return unpack(*table.body_as_JoinReply());
    case fb::ConsensusBody::NONE:
        break;
    }
    return std::nullopt;
}

/// The replica requires the entries to have consecutive indexes after previousIndex.
bool isContiguous(const append_request &request) noexcept
{
    log_index expected = request.previousIndex + 1;
    for (const log_entry &entry : request.entries) {
        if (entry.index != expected++)
            return false;
    }
    return true;
}

} // namespace

std::string encodeConsensus(const message &message)
{
    buffer_builder builder;
    const auto from = packMember(builder, message.from);
    const auto to = packMember(builder, message.to);
    const body_offset body = std::visit(
            [&](const auto &alternative) { return pack(builder, alternative); }, message.body);
    builder.Finish(fb::CreateConsensusMessage(builder, from, to, message.term,
                                              bodyType(message.body), body));
    return finishedBytes(builder);
}

std::optional<message> decodeConsensus(std::string_view bytes)
{
    const auto *table = verifiedRoot<fb::ConsensusMessage>(bytes);
    if (!table || (table->body_type() != fb::ConsensusBody::NONE && !table->body()))
        return std::nullopt;
    std::optional<message_body> body = unpackBody(*table);
    if (!body)
        return std::nullopt;
    const auto *append = std::get_if<append_request>(&*body);
    if (append && !isContiguous(*append))
        return std::nullopt;
    return message{unpackMember(table->from()), unpackMember(table->to()), table->term(),
                   std::move(*body)};
}

} // namespace yuccascale::wire

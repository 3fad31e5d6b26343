#include "yuccascale/wire/consensus_tables.hpp"

namespace yuccascale::wire {

using kernel::consensus::entry_kind;
using kernel::consensus::log_entry;
using kernel::consensus::member_id;
using kernel::consensus::membership;

namespace {

using member_offsets = std::vector<flatbuffers::Offset<fb::Member>>;

member_offsets packMembers(flatbuffers::FlatBufferBuilder &builder,
                           const std::vector<member_id> &members)
{
    member_offsets offsets;
    for (const member_id &member : members)
        offsets.push_back(packMember(builder, member));
    return offsets;
}

std::vector<member_id>
unpackMembers(const flatbuffers::Vector<flatbuffers::Offset<fb::Member>> *table)
{
    std::vector<member_id> members;
    if (!table)
        return members;
    for (const fb::Member *member : *table)
        members.push_back(unpackMember(member));
    return members;
}

/// An unknown kind, from a newer version, is read as a no-op, which every consumer skips.
entry_kind entryKind(std::uint8_t number) noexcept
{
    constexpr auto lastKnown = static_cast<std::uint8_t>(entry_kind::Membership);
    return number <= lastKnown ? static_cast<entry_kind>(number) : entry_kind::Noop;
}

} // namespace

flatbuffers::Offset<fb::Member> packMember(flatbuffers::FlatBufferBuilder &builder,
                                           const member_id &member)
{
    return fb::CreateMember(builder, builder.CreateString(member.name), member.incarnation);
}

flatbuffers::Offset<fb::Membership> packMembership(flatbuffers::FlatBufferBuilder &builder,
                                                   const membership &members)
{
    const auto voters = builder.CreateVector(packMembers(builder, members.voters));
    const auto learners = builder.CreateVector(packMembers(builder, members.learners));
    return fb::CreateMembership(builder, voters, learners);
}

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::Entry>>>
packEntries(flatbuffers::FlatBufferBuilder &builder, std::span<const log_entry> entries)
{
    std::vector<flatbuffers::Offset<fb::Entry>> offsets;
    offsets.reserve(entries.size());
    for (const log_entry &entry : entries) {
        const auto payload = packBytes(builder, entry.payload);
        offsets.push_back(fb::CreateEntry(builder, entry.term, entry.index,
                                          static_cast<std::uint8_t>(entry.kind), payload));
    }
    return builder.CreateVector(offsets);
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>
packBytes(flatbuffers::FlatBufferBuilder &builder, std::string_view bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

member_id unpackMember(const fb::Member *table)
{
    if (!table)
        return {};
    return {table->name() ? table->name()->str() : std::string(), table->incarnation()};
}

membership unpackMembership(const fb::Membership *table)
{
    if (!table)
        return {};
    return {unpackMembers(table->voters()), unpackMembers(table->learners())};
}

std::vector<log_entry>
unpackEntries(const flatbuffers::Vector<flatbuffers::Offset<fb::Entry>> *table)
{
    std::vector<log_entry> entries;
    if (!table)
        return entries;
    entries.reserve(table->size());
    for (const fb::Entry *entry : *table) {
        entries.push_back({entry->term(), entry->index(), entryKind(entry->kind()),
                           unpackBytes(entry->payload())});
    }
    return entries;
}

std::string unpackBytes(const flatbuffers::Vector<std::uint8_t> *table)
{
    if (!table)
        return {};
    return {reinterpret_cast<const char *>(table->data()), table->size()};
}

std::string finishedBytes(const flatbuffers::FlatBufferBuilder &builder)
{
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

} // namespace yuccascale::wire

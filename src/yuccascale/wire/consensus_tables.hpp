#pragma once

#include "yuccascale/kernel/consensus/types.hpp"
#include "yuccascale/wire/consensus_generated.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Encoding of members and entries, shared by messages and stores.

namespace yuccascale::wire {

[[nodiscard]] flatbuffers::Offset<fb::Member>
packMember(flatbuffers::FlatBufferBuilder &builder, const kernel::consensus::member_id &member);

[[nodiscard]] flatbuffers::Offset<fb::Membership>
packMembership(flatbuffers::FlatBufferBuilder &builder,
               const kernel::consensus::membership &members);

[[nodiscard]] flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::Entry>>>
packEntries(flatbuffers::FlatBufferBuilder &builder,
            std::span<const kernel::consensus::log_entry> entries);

[[nodiscard]] flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>
packBytes(flatbuffers::FlatBufferBuilder &builder, std::string_view bytes);

[[nodiscard]] kernel::consensus::member_id unpackMember(const fb::Member *table);

[[nodiscard]] kernel::consensus::membership unpackMembership(const fb::Membership *table);

[[nodiscard]] std::vector<kernel::consensus::log_entry>
unpackEntries(const flatbuffers::Vector<flatbuffers::Offset<fb::Entry>> *table);

[[nodiscard]] std::string unpackBytes(const flatbuffers::Vector<std::uint8_t> *table);

/// \returns the bytes of the finished buffer.
[[nodiscard]] std::string finishedBytes(const flatbuffers::FlatBufferBuilder &builder);

/// \returns the verified root table, or null when \a bytes are not a valid one.
template<typename Table>
[[nodiscard]] const Table *verifiedRoot(std::string_view bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                   bytes.size());
    if (!verifier.VerifyBuffer<Table>(nullptr))
        return nullptr;
    return flatbuffers::GetRoot<Table>(bytes.data());
}

} // namespace yuccascale::wire

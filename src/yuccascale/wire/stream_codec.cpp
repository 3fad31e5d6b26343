#include "yuccascale/wire/stream_codec.hpp"

#include "yuccascale/wire/streams_generated.h"

#include <algorithm>

namespace yuccascale::wire {

using namespace kernel::requests;

namespace {

using builder_type = flatbuffers::FlatBufferBuilder;

/// Longer times are invalid.
constexpr std::uint32_t maxTimeMs = 24 * 3'600'000;

[[nodiscard]] std::uint32_t inMilliseconds(kernel::nanoseconds time)
{
    const auto count = std::chrono::ceil<kernel::milliseconds>(time).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, maxTimeMs));
}

[[nodiscard]] flatbuffers::Offset<fb::StreamRecord> write(builder_type &builder,
                                                          const stream_record &record)
{
    const auto id = builder.CreateString(record.requestId);
    const auto pool = builder.CreateSharedString(record.origin.pool);
    const auto version = builder.CreateSharedString(record.origin.softwareVersion);
    return fb::CreateStreamRecord(builder, id, pool, version, inMilliseconds(record.kept));
}

[[nodiscard]] std::optional<stream_record> read(const fb::StreamRecord *table)
{
    const bool valid = table != nullptr && table->request_id() != nullptr
            && table->pool() != nullptr && table->software_version() != nullptr
            && table->kept_ms() <= maxTimeMs;
    if (!valid)
        return std::nullopt;
    return stream_record{table->request_id()->str(),
                         {table->pool()->str(), table->software_version()->str()},
                         kernel::milliseconds(table->kept_ms())};
}

[[nodiscard]] flatbuffers::Offset<fb::NamesSeen> write(builder_type &builder,
                                                       const names_seen &seen)
{
    return fb::CreateNamesSeen(builder, builder.CreateVectorOfStrings(seen.names), seen.throughout);
}

[[nodiscard]] names_seen read(const fb::NamesSeen *table)
{
    names_seen out;
    if (table == nullptr || table->names() == nullptr)
        return out;
    out.throughout = table->throughout();
    for (const flatbuffers::String *name : *table->names())
        out.names.push_back(name->str());
    return out;
}

[[nodiscard]] std::string bytesOf(const builder_type &builder)
{
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

[[nodiscard]] flatbuffers::Verifier verifierOf(std::string_view bytes)
{
    return {reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size()};
}

} // namespace

std::string encodeStreamMessage(const stream_message &message)
{
    builder_type builder;
    std::vector<flatbuffers::Offset<fb::StreamRecord>> records;
    records.reserve(message.records.size());
    for (const stream_record &record : message.records)
        records.push_back(write(builder, record));
    const auto vector = builder.CreateVector(records);
    flatbuffers::Offset<fb::StreamQuery> query;
    if (message.query) {
        const auto id = builder.CreateString(message.query->requestId);
        const auto route = builder.CreateString(message.query->route);
        const auto pool = builder.CreateString(message.query->pool);
        query = fb::CreateStreamQuery(builder, id, pool, inMilliseconds(message.query->lookback),
                                      route);
    }
    builder.Finish(fb::CreateStreamMessage(builder, vector, query));
    return bytesOf(builder);
}

stream_message decodeStreamMessage(std::string_view bytes)
{
    stream_message out;
    flatbuffers::Verifier verifier = verifierOf(bytes);
    if (!verifier.VerifyBuffer<fb::StreamMessage>(nullptr))
        return out;
    const fb::StreamMessage &message = *flatbuffers::GetRoot<fb::StreamMessage>(bytes.data());
    if (message.records() != nullptr) {
        for (const fb::StreamRecord *table : *message.records()) {
            if (auto record = read(table))
                out.records.push_back(std::move(*record));
        }
    }
    const fb::StreamQuery *query = message.query();
    if (query != nullptr && query->request_id() != nullptr && query->pool() != nullptr
        && query->route() != nullptr)
        out.query = {query->request_id()->str(), query->route()->str(), query->pool()->str(),
                     kernel::milliseconds(std::min(query->lookback_ms(), maxTimeMs))};
    return out;
}

std::string encodeStreamAnswer(const origin_answer &answer)
{
    builder_type builder;
    flatbuffers::Offset<fb::StreamRecord> origin;
    if (answer.origin)
        origin = write(builder, {{}, *answer.origin, {}});
    const auto versions = write(builder, answer.seen.versions);
    const auto pools = write(builder, answer.seen.pools);
    builder.Finish(fb::CreateStreamAnswer(builder, origin, versions, pools));
    return bytesOf(builder);
}

std::optional<origin_answer> decodeStreamAnswer(std::string_view bytes)
{
    flatbuffers::Verifier verifier = verifierOf(bytes);
    if (!verifier.VerifyBuffer<fb::StreamAnswer>(nullptr))
        return std::nullopt;
    const fb::StreamAnswer &answer = *flatbuffers::GetRoot<fb::StreamAnswer>(bytes.data());
    origin_answer out;
    if (const auto record = read(answer.origin()))
        out.origin = record->origin;
    out.seen = {read(answer.pools()), read(answer.versions())};
    return out;
}

} // namespace yuccascale::wire

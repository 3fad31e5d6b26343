#include "yuccascale/wire/load_codec.hpp"

#include "yuccascale/wire/load_generated.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace yuccascale::wire {

using namespace kernel::requests;

namespace {

using builder_type = flatbuffers::FlatBufferBuilder;

/// A placement with a longer time to the first token is invalid.
constexpr std::uint32_t maxTimeToFirstTokenMs = 60'000;

flatbuffers::Offset<fb::Charge> write(builder_type &builder, const pool_charge &charge)
{
    const auto pool = builder.CreateSharedString(charge.pool);
    const auto organisation = builder.CreateSharedString(charge.organisation);
    return fb::CreateCharge(builder, pool, organisation, charge.cost);
}

flatbuffers::Offset<fb::Placement> write(builder_type &builder, const placement &placed)
{
    std::vector<fb::PromptPart> parts;
    parts.reserve(placed.parts.size());
    for (const prompt_part &part : placed.parts)
        parts.emplace_back(part.id, part.tokens);
    const auto pool = builder.CreateSharedString(placed.pool);
    const auto endpoint = builder.CreateSharedString(placed.endpoint);
    const auto prefillEndpoint = builder.CreateSharedString(placed.prefillEndpoint);
    const auto timeToFirstTokenMs
            = std::chrono::ceil<kernel::milliseconds>(placed.timeToFirstToken).count();
    return fb::CreatePlacement(builder, pool, endpoint, prefillEndpoint, placed.tokens,
                               static_cast<std::uint32_t>(std::clamp<std::int64_t>(
                                       timeToFirstTokenMs, 0, maxTimeToFirstTokenMs)),
                               builder.CreateVectorOfStructs(parts));
}

flatbuffers::Offset<fb::Failure> write(builder_type &builder, const endpoint_failure &failure)
{
    const auto pool = builder.CreateSharedString(failure.pool);
    const auto endpoint = builder.CreateSharedString(failure.endpoint);
    return fb::CreateFailure(builder, pool, endpoint, failure.crashed);
}

flatbuffers::Offset<fb::Leaving> write(builder_type &builder, const endpoint_leaving &leaving)
{
    const auto pool = builder.CreateSharedString(leaving.pool);
    const auto endpoint = builder.CreateSharedString(leaving.endpoint);
    return fb::CreateLeaving(builder, pool, endpoint);
}

flatbuffers::Offset<fb::Crash> write(builder_type &builder, const endpoint_crash &crash)
{
    const auto pool = builder.CreateSharedString(crash.pool);
    const auto endpoint = builder.CreateSharedString(crash.endpoint);
    return fb::CreateCrash(builder, pool, endpoint, builder.CreateVector(crash.parts));
}

flatbuffers::Offset<fb::Cleared> write(builder_type &builder, const cleared_parts &cleared)
{
    const auto pool = builder.CreateSharedString(cleared.pool);
    return fb::CreateCleared(builder, pool, builder.CreateVector(cleared.parts));
}

flatbuffers::Offset<fb::Limit> write(builder_type &builder, const endpoint_limit &limit)
{
    const auto pool = builder.CreateSharedString(limit.pool);
    const auto endpoint = builder.CreateSharedString(limit.endpoint);
    return fb::CreateLimit(builder, pool, endpoint, limit.requestsPerSecond);
}

flatbuffers::Offset<fb::Quota> write(builder_type &builder, const quota_report &report)
{
    const auto organisation = builder.CreateSharedString(report.organisation);
    return fb::CreateQuota(builder, organisation, report.run,
                           static_cast<float>(report.askedPerSecond),
                           static_cast<float>(report.admittedPerSecond), report.admittedTotal,
                           report.admittedInWindow);
}

template<typename Row, typename Table>
flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<Table>>>
writeAll(builder_type &builder, const std::vector<Row> &rows)
{
    std::vector<flatbuffers::Offset<Table>> tables;
    tables.reserve(rows.size());
    for (const Row &row : rows)
        tables.push_back(write(builder, row));
    return builder.CreateVector(tables);
}

[[nodiscard]] std::optional<pool_charge> read(const fb::Charge &table)
{
    const bool valid = table.pool() != nullptr && table.organisation() != nullptr
            && std::isfinite(table.cost()) && table.cost() > 0;
    if (!valid)
        return std::nullopt;
    return pool_charge{table.pool()->str(), table.organisation()->str(), table.cost()};
}

[[nodiscard]] std::optional<placement> read(const fb::Placement &table)
{
    const bool valid = table.pool() != nullptr && table.endpoint() != nullptr
            && table.prefill_endpoint() != nullptr && table.tokens() >= 0
            && table.time_to_first_token_ms() <= maxTimeToFirstTokenMs;
    if (!valid)
        return std::nullopt;
    placement placed{table.pool()->str(),
                     table.endpoint()->str(),
                     table.prefill_endpoint()->str(),
                     table.tokens(),
                     kernel::milliseconds(table.time_to_first_token_ms()),
                     {}};
    if (table.parts() == nullptr)
        return placed;
    for (const fb::PromptPart *part : *table.parts()) {
        if (part->tokens() > 0)
            placed.parts.push_back({part->id(), part->tokens()});
    }
    return placed;
}

[[nodiscard]] std::optional<endpoint_failure> read(const fb::Failure &table)
{
    if (table.pool() == nullptr || table.endpoint() == nullptr)
        return std::nullopt;
    return endpoint_failure{table.pool()->str(), table.endpoint()->str(), table.crashed()};
}

[[nodiscard]] std::optional<endpoint_leaving> read(const fb::Leaving &table)
{
    if (table.pool() == nullptr || table.endpoint() == nullptr)
        return std::nullopt;
    return endpoint_leaving{table.pool()->str(), table.endpoint()->str()};
}

using part_vector = flatbuffers::Vector<std::uint64_t>;

[[nodiscard]] std::vector<std::uint64_t> partsOf(const part_vector *parts)
{
    return parts == nullptr ? std::vector<std::uint64_t>()
                            : std::vector<std::uint64_t>(parts->begin(), parts->end());
}

[[nodiscard]] std::optional<endpoint_crash> read(const fb::Crash &table)
{
    if (table.pool() == nullptr || table.endpoint() == nullptr)
        return std::nullopt;
    return endpoint_crash{table.pool()->str(), table.endpoint()->str(), partsOf(table.parts())};
}

[[nodiscard]] std::optional<cleared_parts> read(const fb::Cleared &table)
{
    if (table.pool() == nullptr)
        return std::nullopt;
    return cleared_parts{table.pool()->str(), partsOf(table.parts())};
}

[[nodiscard]] std::optional<endpoint_limit> read(const fb::Limit &table)
{
    const bool valid = table.pool() != nullptr && table.endpoint() != nullptr
            && table.requests_per_second() >= 0;
    if (!valid)
        return std::nullopt;
    return endpoint_limit{table.pool()->str(), table.endpoint()->str(),
                          table.requests_per_second()};
}

[[nodiscard]] std::optional<quota_report> read(const fb::Quota &table)
{
    const bool valid = table.organisation() != nullptr && std::isfinite(table.asked_per_s())
            && table.asked_per_s() >= 0 && std::isfinite(table.admitted_per_s())
            && table.admitted_per_s() >= 0 && std::isfinite(table.admitted_total())
            && std::isfinite(table.admitted_in_window());
    if (!valid)
        return std::nullopt;
    return quota_report{table.organisation()->str(), table.run(),
                        table.asked_per_s(),         table.admitted_per_s(),
                        table.admitted_total(),      table.admitted_in_window()};
}

template<typename Row, typename Tables>
void readAll(const Tables *tables, std::vector<Row> &out)
{
    if (tables == nullptr)
        return;
    for (const auto *table : *tables) {
        if (auto row = read(*table))
            out.push_back(std::move(*row));
    }
}

} // namespace

std::string encodeLoad(const load_message &message)
{
    builder_type builder;
    const auto charges = writeAll<pool_charge, fb::Charge>(builder, message.charges);
    const auto placements = writeAll<placement, fb::Placement>(builder, message.updates.placements);
    const auto failures
            = writeAll<endpoint_failure, fb::Failure>(builder, message.updates.failures);
    const auto leaving = writeAll<endpoint_leaving, fb::Leaving>(builder, message.updates.leaving);
    const auto crashes = writeAll<endpoint_crash, fb::Crash>(builder, message.updates.crashes);
    const auto cleared = writeAll<cleared_parts, fb::Cleared>(builder, message.updates.cleared);
    const auto limits = writeAll<endpoint_limit, fb::Limit>(builder, message.updates.limits);
    // without quotas the message is as builds that know none write it
    const auto quotas = message.quotas.empty()
            ? 0
            : writeAll<quota_report, fb::Quota>(builder, message.quotas);
    builder.Finish(fb::CreateLoad(builder, charges, placements, failures, leaving, crashes, cleared,
                                  limits, quotas));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

load_message decodeLoad(std::string_view bytes)
{
    load_message out;
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                   bytes.size());
    if (!verifier.VerifyBuffer<fb::Load>(nullptr))
        return out;
    const fb::Load &load = *flatbuffers::GetRoot<fb::Load>(bytes.data());
    readAll(load.charges(), out.charges);
    readAll(load.placements(), out.updates.placements);
    readAll(load.failures(), out.updates.failures);
    readAll(load.leaving(), out.updates.leaving);
    readAll(load.crashes(), out.updates.crashes);
    readAll(load.cleared(), out.updates.cleared);
    readAll(load.limits(), out.updates.limits);
    readAll(load.quotas(), out.quotas);
    return out;
}

} // namespace yuccascale::wire

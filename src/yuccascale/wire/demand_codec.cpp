#include "yuccascale/wire/demand_codec.hpp"

#include "yuccascale/wire/demand_generated.h"

#include <cmath>

namespace yuccascale::wire {

namespace {

double finiteOrZero(double number) noexcept
{
    return std::isfinite(number) && number > 0 ? number : 0;
}

} // namespace

std::string encodeDemands(std::span<const kernel::requests::demand_report> reports)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<fb::Demand>> rows;
    for (const kernel::requests::demand_report &report : reports) {
        const auto pool = builder.CreateString(report.pool);
        rows.push_back(fb::CreateDemand(builder, pool, report.prefillTokensPerSecond,
                                        report.decodeTokensPerSecond, report.prefillBacklogTokens,
                                        report.decodeBacklogTokens, report.nonIdempotentShare));
    }
    const auto demands = builder.CreateVector(rows);
    builder.Finish(fb::CreateDemands(builder, demands));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::vector<kernel::requests::demand_report> decodeDemands(std::string_view bytes)
{
    std::vector<kernel::requests::demand_report> out;
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                   bytes.size());
    if (!verifier.VerifyBuffer<fb::Demands>(nullptr))
        return out;
    const auto *rows = flatbuffers::GetRoot<fb::Demands>(bytes.data())->demands();
    if (rows == nullptr)
        return out;
    for (const auto *row : *rows) {
        if (row->pool() == nullptr)
            continue;
        out.push_back({row->pool()->str(), finiteOrZero(row->prefill_tokens_per_second()),
                       finiteOrZero(row->decode_tokens_per_second()),
                       finiteOrZero(row->prefill_backlog_tokens()),
                       finiteOrZero(row->decode_backlog_tokens()),
                       std::min(finiteOrZero(row->non_idempotent_share()), 1.0)});
    }
    return out;
}

} // namespace yuccascale::wire

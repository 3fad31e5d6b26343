#include "yuccascale/wire/demand_codec.hpp"

#include "yuccascale/wire/demand_generated.h"

#include <algorithm>
#include <cmath>

namespace yuccascale::wire {

namespace {

using builder_type = flatbuffers::FlatBufferBuilder;

/// More spans than this, ten seconds, are not read.
constexpr flatbuffers::uoffset_t maxSpans = 40;

double finiteOrZero(double number) noexcept
{
    return std::isfinite(number) && number > 0 ? number : 0;
}

std::uint32_t toCount(double number) noexcept
{
    return static_cast<std::uint32_t>(std::clamp(number, 0.0, 4e9));
}

flatbuffers::Offset<fb::Work> write(builder_type &builder,
                                    const kernel::requests::work_report &work)
{
    std::vector<fb::WorkSpan> spans;
    spans.reserve(work.spans.size());
    for (const kernel::requests::work_span &span : work.spans) {
        spans.emplace_back(
                static_cast<float>(span.uncachedTokens), static_cast<float>(span.steadyTokens),
                static_cast<float>(span.busySeconds), static_cast<float>(span.steadySeconds));
    }
    const kernel::requests::request_counts &counts = work.counts;
    const fb::RequestCounts row(toCount(counts.offered), toCount(counts.late), toCount(counts.sent),
                                toCount(counts.rejected), toCount(counts.waiting),
                                toCount(counts.running));
    return fb::CreateWork(builder, toCount(static_cast<double>(work.interval.count())),
                          builder.CreateVectorOfStructs(spans), work.prefillTokensPerSecond, &row);
}

kernel::requests::work_span read(const fb::WorkSpan &span) noexcept
{
    kernel::requests::work_span out{
            finiteOrZero(span.uncached_tokens()), finiteOrZero(span.steady_tokens()),
            finiteOrZero(span.busy_seconds()), finiteOrZero(span.steady_seconds())};
    out.steadyTokens = std::min(out.steadyTokens, out.uncachedTokens);
    out.steadySeconds = std::min(out.steadySeconds, out.busySeconds);
    return out;
}

/// \returns nothing when the work has no spans or counts.
std::optional<kernel::requests::work_report> read(const fb::Work *work)
{
    if (work == nullptr || work->spans() == nullptr || work->counts() == nullptr)
        return std::nullopt;
    kernel::requests::work_report out;
    out.interval = kernel::milliseconds(work->interval_ms());
    const auto &spans = *work->spans();
    for (flatbuffers::uoffset_t index = 0; index < std::min(spans.size(), maxSpans); ++index)
        out.spans.push_back(read(*spans.Get(index)));
    out.prefillTokensPerSecond = finiteOrZero(work->prefill_tokens_per_second());
    const fb::RequestCounts &counts = *work->counts();
    out.counts = {static_cast<double>(counts.offered()), static_cast<double>(counts.late()),
                  static_cast<double>(counts.sent()),    static_cast<double>(counts.rejected()),
                  static_cast<double>(counts.waiting()), static_cast<double>(counts.running())};
    return out;
}

} // namespace

std::string encodeDemands(std::span<const kernel::requests::demand_report> reports)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<fb::Demand>> rows;
    for (const kernel::requests::demand_report &report : reports) {
        const auto pool = builder.CreateString(report.pool);
        const auto work
                = report.work ? write(builder, *report.work) : flatbuffers::Offset<fb::Work>();
        rows.push_back(fb::CreateDemand(builder, pool, report.prefillTokensPerSecond,
                                        report.decodeTokensPerSecond, report.prefillBacklogTokens,
                                        report.decodeBacklogTokens, report.nonIdempotentShare,
                                        work));
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
                       std::min(finiteOrZero(row->non_idempotent_share()), 1.0),
                       read(row->work())});
    }
    return out;
}

} // namespace yuccascale::wire

#include "yuccascale/wire/feed_codec.hpp"

#include "yuccascale/wire/feed_generated.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace yuccascale::wire {

using kernel::error_kind;
using kernel::fail;
using kernel::result;

namespace {

using builder_type = flatbuffers::FlatBufferBuilder;
using byte_vector = flatbuffers::Vector<std::uint8_t>;
using text_vector = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;

std::string bufferBytes(const builder_type &builder)
{
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

/// \returns the CBOR head of an array of \a count items.
std::string cborArrayHead(std::size_t count)
{
    constexpr std::size_t maxInlineCount = 23;
    constexpr std::uint8_t inlineHead = 0x80;
    constexpr std::uint8_t longHead = 0x9a; // a count of 32 bits follows, most significant first
    if (count <= maxInlineCount)
        return {static_cast<char>(inlineHead | count)};
    std::string head{static_cast<char>(longHead)};
    for (int shift = 24; shift >= 0; shift -= 8)
        head += static_cast<char>(count >> static_cast<unsigned>(shift));
    return head;
}

/// Joins the rows' own encodings, so that a row is encoded once for all replies.
template<typename Row>
flatbuffers::Offset<byte_vector> rowsToBytes(builder_type &builder,
                                             const std::vector<kernel::encoded_pointer<Row>> &rows)
{
    if (rows.empty())
        return 0;
    std::string bytes = cborArrayHead(rows.size());
    for (const kernel::encoded_pointer<Row> &row : rows)
        bytes += row->cbor();
    return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

template<typename Row>
result<std::vector<kernel::encoded_pointer<Row>>> rowsFromBytes(const byte_vector *bytes)
{
    std::vector<kernel::encoded_pointer<Row>> out;
    if (bytes == nullptr)
        return out;
    const std::string_view view(reinterpret_cast<const char *>(bytes->data()), bytes->size());
    BOOST_LEAF_AUTO(rows, kernel::fromCbor<std::vector<Row>>(view, "feed rows"));
    for (Row &row : rows)
        out.push_back(kernel::makeEncoded(std::move(row)));
    return out;
}

flatbuffers::Offset<text_vector> textsToVector(builder_type &builder,
                                               const std::vector<std::string> &texts)
{
    return texts.empty() ? 0 : builder.CreateVectorOfStrings(texts);
}

std::vector<std::string> textsFromVector(const text_vector *texts)
{
    std::vector<std::string> out;
    if (texts == nullptr)
        return out;
    for (const auto *text : *texts)
        out.push_back(text->str());
    return out;
}

std::string toString(const flatbuffers::String *text)
{
    return text == nullptr ? std::string() : text->str();
}

template<typename Table>
result<const Table *> verifiedTable(std::string_view bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                   bytes.size());
    if (!verifier.VerifyBuffer<Table>(nullptr))
        return fail(error_kind::Corrupt, "feed",
                    "the message is not a valid feed message; upgrade the older of the two nodes");
    return flatbuffers::GetRoot<Table>(bytes.data());
}

kernel::feed::node_report toReport(const fb::NodeReport &table)
{
    return {toString(table.node()),
            table.incarnation(),
            table.revision(),
            table.age_ms(),
            table.leaving(),
            toString(table.link()),
            toString(table.callers()),
            toString(table.zone()),
            table.control(),
            table.wall_ms(),
            toString(table.operators()),
            table.endpoints_lost()};
}

using report_vector = flatbuffers::Vector<flatbuffers::Offset<fb::NodeReport>>;

flatbuffers::Offset<report_vector>
reportsToVector(builder_type &builder, const std::vector<kernel::feed::node_report> &reports)
{
    std::vector<flatbuffers::Offset<fb::NodeReport>> rows;
    for (const kernel::feed::node_report &report : reports) {
        const auto node = builder.CreateString(report.node);
        const auto link = builder.CreateString(report.link);
        const auto callers = builder.CreateString(report.callers);
        const auto zone = builder.CreateString(report.zone);
        const auto operators = builder.CreateString(report.operators);
        rows.push_back(fb::CreateNodeReport(builder, node, report.incarnation, report.revision,
                                            static_cast<std::uint32_t>(report.ageMs),
                                            report.leaving, link, callers, zone, report.control,
                                            report.wallMs, operators, report.endpointsLost));
    }
    return builder.CreateVector(rows);
}

std::vector<kernel::feed::node_report> reportsFromVector(const report_vector *reports)
{
    std::vector<kernel::feed::node_report> out;
    if (reports == nullptr)
        return out;
    for (const auto *report : *reports)
        out.push_back(toReport(*report));
    return out;
}

using change_vector = flatbuffers::Vector<flatbuffers::Offset<fb::NodeChange>>;
using change_list = std::vector<std::shared_ptr<const kernel::feed::node_change>>;

flatbuffers::Offset<change_vector> nodeChangesToVector(builder_type &builder,
                                                       const change_list &changes)
{
    if (changes.empty())
        return 0;
    std::vector<flatbuffers::Offset<fb::NodeChange>> rows;
    for (const auto &change : changes) {
        const auto put = reportsToVector(builder, change->put);
        const auto removed = textsToVector(builder, change->removed);
        rows.push_back(fb::CreateNodeChange(builder, change->from, change->to, put, removed));
    }
    return builder.CreateVector(rows);
}

change_list nodeChangesFromVector(const change_vector *changes)
{
    change_list out;
    if (changes == nullptr)
        return out;
    for (const auto *change : *changes)
        out.push_back(std::make_shared<const kernel::feed::node_change>(kernel::feed::node_change{
                change->from(), change->to(), reportsFromVector(change->put()),
                textsFromVector(change->removed())}));
    return out;
}

[[nodiscard]] std::uint64_t count(kernel::milliseconds time)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(time.count(), 0));
}

/// A longer time than any that matters is as good as the longest.
[[nodiscard]] kernel::milliseconds toTime(std::uint64_t count)
{
    constexpr std::uint64_t longest = 365ULL * 24 * 3'600'000;
    return kernel::milliseconds(std::min(count, longest));
}

constexpr std::uint32_t unknownAge = 0xffff'ffff; ///< the schema's default

[[nodiscard]] std::uint32_t ageToCount(std::optional<kernel::milliseconds> age)
{
    if (!age)
        return unknownAge;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(count(*age), unknownAge - 1));
}

[[nodiscard]] std::optional<kernel::milliseconds> toAge(std::uint32_t count)
{
    if (count == unknownAge)
        return std::nullopt;
    return kernel::milliseconds(count);
}

flatbuffers::Offset<fb::WatchedSpan> spanToTable(builder_type &builder,
                                                 const kernel::feed::watched_span &span)
{
    return fb::CreateWatchedSpan(builder, count(span.time), span.fromFirstRevision);
}

kernel::feed::watched_span toSpan(const fb::WatchedSpan *table)
{
    if (table == nullptr)
        return {};
    return {toTime(table->time_ms()), table->from_first_revision()};
}

using name_vector = flatbuffers::Vector<flatbuffers::Offset<fb::FormerName>>;

flatbuffers::Offset<name_vector> namesToVector(builder_type &builder,
                                               const std::vector<kernel::feed::former_name> &names)
{
    std::vector<flatbuffers::Offset<fb::FormerName>> rows;
    for (const kernel::feed::former_name &former : names) {
        const auto owner = builder.CreateSharedString(former.owner);
        const auto name = builder.CreateSharedString(former.name);
        rows.push_back(fb::CreateFormerName(builder, owner, name, count(former.goneFor)));
    }
    return builder.CreateVector(rows);
}

std::vector<kernel::feed::former_name> namesFromVector(const name_vector *names)
{
    std::vector<kernel::feed::former_name> out;
    if (names == nullptr)
        return out;
    for (const auto *former : *names)
        out.push_back(
                {toString(former->owner()), toString(former->name()), toTime(former->gone_ms())});
    return out;
}

flatbuffers::Offset<fb::OriginReport> originsToTable(builder_type &builder,
                                                     const kernel::feed::origin_report &origins)
{
    if (origins == kernel::feed::origin_report())
        return 0;
    const auto tables = spanToTable(builder, origins.tables);
    const auto endpoints = spanToTable(builder, origins.endpoints);
    const auto versions = namesToVector(builder, origins.versions);
    const auto pools = namesToVector(builder, origins.pools);
    std::vector<flatbuffers::Offset<fb::FormerDeadline>> deadlines;
    for (const kernel::feed::former_deadline &former : origins.deadlines) {
        const auto route = builder.CreateSharedString(former.route);
        deadlines.push_back(fb::CreateFormerDeadline(builder, route, count(former.deadline),
                                                     count(former.goneFor)));
    }
    return fb::CreateOriginReport(builder, tables, endpoints, versions, pools,
                                  builder.CreateVector(deadlines));
}

kernel::feed::origin_report toOrigins(const fb::OriginReport *table)
{
    kernel::feed::origin_report out;
    if (table == nullptr)
        return out;
    out.tables = toSpan(table->tables());
    out.endpoints = toSpan(table->endpoints());
    out.versions = namesFromVector(table->versions());
    out.pools = namesFromVector(table->pools());
    if (table->deadlines() == nullptr)
        return out;
    for (const auto *former : *table->deadlines())
        out.deadlines.push_back({toString(former->route()), toTime(former->deadline_ms()),
                                 toTime(former->gone_ms())});
    return out;
}

} // namespace

std::string encodeFeedRequest(const kernel::feed::feed_request &request)
{
    builder_type builder;
    const auto reports = reportsToVector(builder, request.reports);
    builder.Finish(fb::CreateFeedRequest(
            builder, request.haveRevision, request.haveTables, request.haveBansVersion, reports,
            request.haveEndpointsVersion, request.wantOrigins, request.confirmNow,
            request.haveEndpointsDigest, ageToCount(request.endpointsAge),
            request.takesEndpointChanges, request.nodesDigest));
    return bufferBytes(builder);
}

std::string encodeFeedReply(const kernel::feed::feed_reply &reply)
{
    builder_type builder;
    const auto leader = builder.CreateString(reply.leader);
    const auto edits = rowsToBytes(builder, reply.edits);
    const auto fullTables = rowsToBytes(builder, reply.fullTables);
    const auto bans = textsToVector(builder, reply.bans);
    const auto nodes = reportsToVector(builder, reply.nodes);
    const auto endpointChanges = rowsToBytes(builder, reply.endpointChanges);
    const auto nodeChanges = nodeChangesToVector(builder, reply.nodeChanges);
    const auto endpoints = rowsToBytes(builder, reply.endpoints);
    const auto origins = originsToTable(builder, reply.origins);
    builder.Finish(fb::CreateFeedReply(
            builder, reply.confirmed, leader, static_cast<std::uint32_t>(reply.freshForMs),
            reply.revision, edits, fullTables, reply.bansVersion, bans, nodes, endpoints,
            reply.clusterWallMs, origins, reply.settledRevision, reply.endpointsDigest,
            ageToCount(reply.endpointsAge), ageToCount(reply.endpointsAgeSpread), endpointChanges,
            reply.nodesDigest, nodeChanges));
    return bufferBytes(builder);
}

result<kernel::feed::feed_request> decodeFeedRequest(std::string_view bytes)
{
    BOOST_LEAF_AUTO(table, verifiedTable<fb::FeedRequest>(bytes));
    kernel::feed::feed_request out;
    out.haveRevision = table->have_revision();
    out.haveTables = table->have_tables();
    out.haveBansVersion = table->have_bans();
    out.haveEndpointsVersion = table->have_endpoints();
    out.wantOrigins = table->want_origins();
    out.confirmNow = table->confirm_now();
    out.haveEndpointsDigest = table->endpoints_digest();
    out.endpointsAge = toAge(table->endpoints_age_ms());
    out.reports = reportsFromVector(table->reports());
    out.takesEndpointChanges = table->takes_endpoint_changes();
    out.nodesDigest = table->nodes_digest();
    return out;
}

result<kernel::feed::feed_reply> decodeFeedReply(std::string_view bytes)
{
    BOOST_LEAF_AUTO(table, verifiedTable<fb::FeedReply>(bytes));
    kernel::feed::feed_reply out;
    out.confirmed = table->confirmed();
    out.leader = toString(table->leader());
    out.freshForMs = table->fresh_for_ms();
    out.revision = table->revision();
    BOOST_LEAF_ASSIGN(out.edits, rowsFromBytes<kernel::state::edit_tables>(table->edits()));
    BOOST_LEAF_ASSIGN(out.fullTables,
                      rowsFromBytes<kernel::state::table_set>(table->full_tables()));
    out.bansVersion = table->bans_version();
    out.bans = textsFromVector(table->bans());
    out.nodes = reportsFromVector(table->nodes());
    BOOST_LEAF_ASSIGN(out.endpoints,
                      rowsFromBytes<kernel::feed::endpoint_list>(table->endpoints()));
    out.clusterWallMs = table->cluster_wall_ms();
    out.origins = toOrigins(table->origins());
    out.settledRevision = table->settled_revision();
    out.endpointsDigest = table->endpoints_digest();
    out.endpointsAge = toAge(table->endpoints_age_ms());
    out.endpointsAgeSpread = kernel::milliseconds(table->endpoints_age_spread_ms());
    BOOST_LEAF_ASSIGN(out.endpointChanges,
                      rowsFromBytes<kernel::feed::endpoint_change>(table->endpoint_changes()));
    out.nodesDigest = table->nodes_digest();
    out.nodeChanges = nodeChangesFromVector(table->node_changes());
    return out;
}

} // namespace yuccascale::wire

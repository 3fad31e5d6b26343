#include "yuccascale/cli/row_file.hpp"

#include "yuccascale/runtime/yaml_reader.hpp"

#include <yaml-cpp/yaml.h>

#include <cstdlib>

namespace yuccascale::cli {

using kernel::error_kind;
using kernel::fail;
using kernel::result;
using runtime::yaml_reader;
namespace state = kernel::state;

namespace {

void readBool(yaml_reader &reader, std::string_view field, bool &out)
{
    reader.choose(field, {{"true", [&] { out = true; }}, {"false", [&] { out = false; }}});
}

template<typename Number>
void readNumber(yaml_reader &reader, std::string_view field, Number &out)
{
    std::string text;
    reader.text(field, text);
    if (text.empty())
        return;
    char *end = nullptr;
    const double number = std::strtod(text.c_str(), &end);
    if (*end == '\0' && number >= 0)
        out = static_cast<Number>(number);
    else
        reader.problem(field, "'" + text + "' is not a number of 0 or more; correct it");
}

void readDuration(yaml_reader &reader, std::string_view field, std::int64_t &outMs)
{
    kernel::milliseconds time(outMs);
    reader.duration(field, time);
    outMs = time.count();
}

void readKind(yaml_reader &reader, state::backend_kind &kind)
{
    using state::backend_kind;
    reader.choose("kind",
                  {{"model", [&] { kind = backend_kind::Model; }},
                   {"service", [&] { kind = backend_kind::Service; }}});
}

void readRow(yaml_reader &reader, state::route &row)
{
    using state::route_access;
    row.name = reader.required("name");
    row.pool = reader.required("pool");
    readKind(reader, row.kind);
    reader.choose("access",
                  {{"keyed", [&] { row.access = route_access::Keyed; }},
                   {"open", [&] { row.access = route_access::Open; }}});
    readBool(reader, "idempotent", row.idempotent);
    readDuration(reader, "deadline", row.deadlineMs);
    readDuration(reader, "first_token", row.firstTokenMs);
    readNumber(reader, "priority", row.priority);
    reader.rejectUnknownFields();
}

void readEndpoint(yaml_reader &reader, state::endpoint &row)
{
    using state::endpoint_tenure;
    using state::engine_role;
    row.name = reader.required("name");
    row.address = reader.address("address", true);
    row.zone = reader.required("zone");
    reader.choose("role",
                  {{"mixed", [&] { row.role = engine_role::Mixed; }},
                   {"prefill", [&] { row.role = engine_role::Prefill; }},
                   {"decode", [&] { row.role = engine_role::Decode; }}});
    reader.choose("tenure",
                  {{"steady", [&] { row.tenure = endpoint_tenure::Steady; }},
                   {"cheap", [&] { row.tenure = endpoint_tenure::Cheap; }}});
    readBool(reader, "fences_orders", row.fencesOrders);
    readNumber(reader, "price_per_hour", row.pricePerHour);
    reader.count("slots", row.slots);
    readBool(reader, "draining", row.draining);
    reader.rejectUnknownFields();
}

void readRow(yaml_reader &reader, state::pool &row)
{
    row.name = reader.required("name");
    readKind(reader, row.kind);
    reader.text("model", row.model);
    reader.text("version", row.version);
    row.adapters = reader.texts("adapters");
    readNumber(reader, "min_endpoints", row.minEndpoints);
    reader.count("max_endpoints", row.maxEndpoints);
    for (yaml_reader &endpoint : reader.list("endpoints"))
        readEndpoint(endpoint, row.endpoints.emplace_back());
    reader.rejectUnknownFields();
}

void readRow(yaml_reader &reader, state::organisation &row)
{
    row.name = reader.required("name");
    readNumber(reader, "weight", row.weight);
    reader.rejectUnknownFields();
}

result<YAML::Node> loadYaml(const std::string &file)
{
    try {
        return YAML::LoadFile(file);
    } catch (const YAML::BadFile &) {
        return fail(error_kind::InvalidArgument, file, "cannot read the file; check its path");
    } catch (const YAML::Exception &problem) {
        return fail(error_kind::InvalidArgument, file + ":" + std::to_string(problem.mark.line + 1),
                    problem.msg + "; correct the YAML");
    }
}

template<typename Row>
result<std::vector<Row>> readRows(const std::string &file)
{
    BOOST_LEAF_AUTO(document, loadYaml(file));
    std::vector<std::string> problems;
    std::vector<Row> rows;
    const auto read = [&](const YAML::Node &node) {
        yaml_reader reader(file, node, problems);
        readRow(reader, rows.emplace_back());
    };
    if (document.IsSequence()) {
        for (const auto &node : document)
            read(node);
    } else {
        read(document);
    }
    if (problems.empty())
        return rows;
    std::string all = "the file has errors; correct them and run the command again";
    for (const std::string &problem : problems)
        all += "\n" + problem;
    return fail(error_kind::InvalidArgument, file, all);
}

} // namespace

result<std::vector<state::route>> readRouteFile(const std::string &file)
{
    return readRows<state::route>(file);
}

result<std::vector<state::pool>> readPoolFile(const std::string &file)
{
    return readRows<state::pool>(file);
}

result<std::vector<state::organisation>> readOrganisationFile(const std::string &file)
{
    return readRows<state::organisation>(file);
}

} // namespace yuccascale::cli

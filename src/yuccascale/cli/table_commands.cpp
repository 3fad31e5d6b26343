#include "yuccascale/cli/table_commands.hpp"

#include "yuccascale/cli/flags.hpp"
#include "yuccascale/cli/output.hpp"
#include "yuccascale/cli/row_file.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <thread>

namespace yuccascale::cli {

using kernel::json;
using kernel::result;
namespace state = kernel::state;

namespace {

constexpr kernel::milliseconds conflictRetryTime{3'000};
constexpr kernel::milliseconds conflictRetryInterval{100};

template<typename Table>
result<void> listTable(Table state::table_set::*table, std::span<const std::string_view> columns)
{
    BOOST_LEAF_AUTO(client, operator_client::fromFlags());
    BOOST_LEAF_AUTO(tables, client.tables());
    json rows = json::array();
    for (const auto &[name, row] : tables.*table)
        rows.push_back(row);
    printRows(rows, columns);
    return {};
}

template<typename Rows>
result<void> putRows(Rows state::edit_tables::*field, result<Rows> (*read)(const std::string &),
                     const std::string &file)
{
    state::edit_tables edit;
    BOOST_LEAF_ASSIGN(edit.*field, read(file));
    BOOST_LEAF_AUTO(client, operator_client::fromFlags());
    return commitEdit(client, std::move(edit));
}

result<void> removeRow(std::vector<std::string> state::edit_tables::*field, const std::string &name)
{
    state::edit_tables edit;
    (edit.*field).push_back(name);
    BOOST_LEAF_AUTO(client, operator_client::fromFlags());
    return commitEdit(client, std::move(edit));
}

} // namespace

result<void> editFromRevision(const operator_client &client,
                              const std::function<result<void>(std::uint64_t)> &attempt)
{
    if (FLAGS_from_revision != 0)
        return attempt(FLAGS_from_revision);
    const auto retryDeadline = std::chrono::steady_clock::now() + conflictRetryTime;
    while (true) {
        BOOST_LEAF_AUTO(tables, client.tables());
        kernel::error problem;
        if (kernel::succeeded([&] { return attempt(tables.revision); }, problem))
            return {};
        const bool timedOut = std::chrono::steady_clock::now() >= retryDeadline;
        if (problem.kind != kernel::error_kind::Conflict || timedOut)
            return kernel::fail(problem.kind, problem.where, problem.message);
        std::this_thread::sleep_for(conflictRetryInterval);
    }
}

result<void> commitEdit(const operator_client &client, state::edit_tables edit)
{
    return editFromRevision(client, [&](std::uint64_t revision) -> result<void> {
        edit.fromRevision = revision;
        BOOST_LEAF_AUTO(outcome, client.edit(edit, newOperationId()));
        printObject({{"accepted", true}, {"revision", outcome.revision}});
        return {};
    });
}

result<void> listRoutes(command_arguments)
{
    static constexpr std::array<std::string_view, 7> columns{
            "name", "pool", "kind", "access", "idempotent", "deadlineMs", "priority"};
    return listTable(&state::table_set::routes, columns);
}

result<void> putRoutes(command_arguments arguments)
{
    return putRows(&state::edit_tables::putRoutes, readRouteFile, arguments[0]);
}

result<void> removeRoute(command_arguments arguments)
{
    return removeRow(&state::edit_tables::removeRoutes, arguments[0]);
}

result<void> listPools(command_arguments)
{
    static constexpr std::array<std::string_view, 6> columns{
            "name", "kind", "model", "version", "minEndpoints", "endpoints"};
    return listTable(&state::table_set::pools, columns);
}

result<void> putPools(command_arguments arguments)
{
    return putRows(&state::edit_tables::putPools, readPoolFile, arguments[0]);
}

result<void> removePool(command_arguments arguments)
{
    return removeRow(&state::edit_tables::removePools, arguments[0]);
}

result<void> listOrganisations(command_arguments)
{
    static constexpr std::array<std::string_view, 2> columns{"name", "weight"};
    return listTable(&state::table_set::organisations, columns);
}

result<void> putOrganisations(command_arguments arguments)
{
    return putRows(&state::edit_tables::putOrganisations, readOrganisationFile, arguments[0]);
}

result<void> removeOrganisation(command_arguments arguments)
{
    return removeRow(&state::edit_tables::removeOrganisations, arguments[0]);
}

} // namespace yuccascale::cli

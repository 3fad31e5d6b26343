#include "yuccascale/cli/key_commands.hpp"

#include "yuccascale/cli/output.hpp"
#include "yuccascale/cli/table_commands.hpp"

#include <array>

namespace yuccascale::cli {

using kernel::json;
using kernel::result;

result<void> createKey(command_arguments arguments)
{
    BOOST_LEAF_AUTO(client, operator_client::fromFlags());
    return editFromRevision(client, [&](std::uint64_t revision) -> result<void> {
        const json body{
                {"organisation", arguments[0]}, {"id", arguments[1]}, {"fromRevision", revision}};
        BOOST_LEAF_AUTO(answer, client.post("/operator/keys", body, newOperationId()));
        printObject({{"key", answer.at("key")},
                     {"id", arguments[1]},
                     {"organisation", arguments[0]},
                     {"revision", answer.at("result").at("revision")}});
        return {};
    });
}

result<void> listKeys(command_arguments)
{
    BOOST_LEAF_AUTO(client, operator_client::fromFlags());
    BOOST_LEAF_AUTO(tables, client.tables());
    json rows = json::array();
    for (const auto &[id, record] : tables.keys)
        rows.push_back({{"id", id}, {"organisation", record.organisation}});
    static constexpr std::array<std::string_view, 2> columns{"id", "organisation"};
    printRows(rows, columns);
    return {};
}

result<void> withdrawKey(command_arguments arguments)
{
    BOOST_LEAF_AUTO(client, operator_client::fromFlags());
    kernel::state::edit_tables edit;
    edit.removeKeys.push_back(arguments[0]);
    return commitEdit(client, std::move(edit));
}

} // namespace yuccascale::cli

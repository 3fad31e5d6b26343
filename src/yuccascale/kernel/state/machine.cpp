#include "yuccascale/kernel/state/machine.hpp"

#include <map>

namespace yuccascale::kernel::state {

struct machine::detail_state
{
    std::shared_ptr<const table_set> tables = std::make_shared<table_set>();
    std::uint64_t appliedIndex = 0;
    std::map<std::string, command_result> answers; ///< by operation id

    command_result apply(const edit_tables &edit);
    template<typename Other>
    command_result apply(const Other &)
    {
        return {false, error_kind::InvalidArgument, "not applied by this version", 0, 0, {}};
    }
};

namespace {

template<typename Rows>
void putRows(std::map<std::string, typename Rows::value_type> &table, const Rows &rows)
{
    for (const auto &row : rows)
        table[row.name] = row;
}

template<typename Table>
void removeRows(Table &table, const std::vector<std::string> &names)
{
    for (const std::string &name : names)
        table.erase(name);
}

} // namespace

command_result machine::detail_state::apply(const edit_tables &edit)
{
    if (edit.fromRevision != tables->revision) {
        return {false,
                error_kind::Conflict,
                "the tables are at revision " + std::to_string(tables->revision)
                        + "; read them and edit again",
                0,
                tables->revision,
                {}};
    }
    auto next = std::make_shared<table_set>(*tables);
    putRows(next->routes, edit.putRoutes);
    putRows(next->pools, edit.putPools);
    putRows(next->organisations, edit.putOrganisations);
    for (const key_record &key : edit.putKeys)
        next->keys[key.id] = key;
    removeRows(next->routes, edit.removeRoutes);
    removeRows(next->pools, edit.removePools);
    removeRows(next->organisations, edit.removeOrganisations);
    removeRows(next->keys, edit.removeKeys);
    ++next->revision;
    tables = next;
    return {true, error_kind::Internal, {}, 0, tables->revision, {}};
}

machine::machine()
    : m_state(std::make_unique<detail_state>())
{ }
machine::~machine() = default;

std::shared_ptr<const table_set> machine::tables() const noexcept
{
    return m_state->tables;
}

std::uint64_t machine::appliedIndex() const noexcept
{
    return m_state->appliedIndex;
}

command_result machine::apply(std::uint64_t index, const command &command)
{
    m_state->appliedIndex = index;
    const auto earlier = m_state->answers.find(command.operationId);
    if (earlier != m_state->answers.end())
        return earlier->second;
    command_result answer
            = std::visit([&](const auto &body) { return m_state->apply(body); }, command.body);
    answer.index = index;
    if (!command.operationId.empty())
        m_state->answers[command.operationId] = answer;
    return answer;
}

std::string machine::snapshot() const
{
    std::string bytes;
    json::to_cbor(json{{"index", m_state->appliedIndex},
                       {"tables", *m_state->tables},
                       {"answers", m_state->answers}},
                  bytes);
    return bytes;
}

result<void> machine::restore(std::string_view bytes)
{
    const json document = json::from_cbor(bytes, true, false);
    if (document.is_discarded())
        return fail(error_kind::Corrupt, "snapshot", "not CBOR; restore from another replica");
    try {
        auto next = std::make_unique<detail_state>();
        next->appliedIndex = document.at("index");
        next->tables = std::make_shared<table_set>(document.at("tables").get<table_set>());
        next->answers = document.at("answers").get<std::map<std::string, command_result>>();
        m_state = std::move(next);
    } catch (const json::exception &problem) {
        return fail(error_kind::Corrupt, "snapshot", problem.what());
    }
    return {};
}

} // namespace yuccascale::kernel::state

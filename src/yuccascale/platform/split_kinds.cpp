#include "yuccascale/platform/split_kinds.hpp"

#include <map>
#include <string_view>
#include <vector>

namespace yuccascale::platform {

namespace {

using namespace kernel::state;

/// Rows of a document, found by the names of pools.
struct pool_rows
{
    explicit pool_rows(edit_tables &tables)
    {
        for (pool &row : tables.putPools)
            pools[row.name] = &row;
        for (const route &row : tables.putRoutes) {
            for (const pool_share &share : row.split)
                splits[share.pool].push_back(&row);
        }
    }

    /// \returns null when there is no such pool.
    [[nodiscard]] pool *find(std::string_view name) const
    {
        const auto found = pools.find(name);
        return found == pools.end() ? nullptr : found->second;
    }

    std::map<std::string_view, pool *> pools;
    std::map<std::string_view, std::vector<const route *>> splits; ///< by each pool of the split
};

void makeModel(pool &row)
{
    row.kind = backend_kind::Model;
    row.model = unnamedModel;
}

void alignPools(const pool_rows &rows)
{
    std::vector<std::string_view> pending;
    for (const auto &[name, row] : rows.pools) {
        if (row->kind == backend_kind::Model)
            pending.push_back(name);
    }
    while (!pending.empty()) {
        const auto shared = rows.splits.find(pending.back());
        pending.pop_back();
        if (shared == rows.splits.end())
            continue;
        for (const route *split : shared->second) {
            for (const pool_share &share : split->split) {
                pool *row = rows.find(share.pool);
                if (row == nullptr || row->kind == backend_kind::Model)
                    continue;
                makeModel(*row);
                pending.push_back(row->name);
            }
        }
    }
}

} // namespace

void alignKinds(edit_tables &tables)
{
    const pool_rows rows(tables);
    alignPools(rows);
    for (route &row : tables.putRoutes) {
        const pool *served = rows.find(row.split.empty() ? row.pool : row.split.front().pool);
        if (served != nullptr)
            row.kind = served->kind;
    }
}

} // namespace yuccascale::platform

#include "yuccascale/kernel/feed/endpoint_change.hpp"

#include "yuccascale/kernel/feed/list_change.hpp"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string_view>
#include <utility>

namespace yuccascale::kernel::feed {

namespace {

using row_key = std::pair<std::string_view, std::string_view>;

[[nodiscard]] row_key keyOf(const listed_endpoint &listed) noexcept
{
    return {listed.pool, listed.row.name};
}

/// The head of a CBOR array, in its shortest form.
[[nodiscard]] std::string arrayHead(std::size_t count)
{
    constexpr std::uint8_t array = 0x80;
    constexpr std::size_t maxInlineCount = 23;
    constexpr unsigned byteBits = 8;
    if (count <= maxInlineCount)
        return {static_cast<char>(array | count)};
    std::uint8_t form = 24; // one byte follows; each next form has twice as many
    unsigned bytes = 1;
    while (bytes < sizeof(count) && count >> (byteBits * bytes) != 0) {
        ++form;
        bytes *= 2;
    }
    std::string head{static_cast<char>(array | form)};
    for (unsigned left = bytes; left > 0; --left)
        head += static_cast<char>(count >> (byteBits * (left - 1)));
    return head;
}

/// Positions of rows that are equal in both lists, in the order of \a to.
struct equal_rows
{
    std::vector<std::size_t> from;
    std::vector<std::size_t> to;
};

[[nodiscard]] equal_rows findEqualRows(const std::vector<listed_endpoint> &from,
                                       const std::vector<listed_endpoint> &to)
{
    std::map<row_key, std::size_t> positions;
    for (std::size_t position = 0; position < from.size(); ++position)
        positions.emplace(keyOf(from[position]), position);
    equal_rows out;
    for (std::size_t position = 0; position < to.size(); ++position) {
        const auto found = positions.find(keyOf(to[position]));
        if (found == positions.end() || from[found->second] != to[position])
            continue;
        out.from.push_back(found->second);
        out.to.push_back(position);
        positions.erase(found);
    }
    return out;
}

/// \returns the positions below \a count that are not in \a kept, which rises.
[[nodiscard]] std::vector<std::uint32_t> othersThan(const std::vector<std::size_t> &kept,
                                                    std::size_t count)
{
    std::vector<std::uint32_t> out;
    auto next = kept.begin();
    for (std::size_t position = 0; position < count; ++position) {
        if (next != kept.end() && *next == position)
            ++next;
        else
            out.push_back(static_cast<std::uint32_t>(position));
    }
    return out;
}

} // namespace

endpoint_change difference(const std::vector<listed_endpoint> &from,
                           const std::vector<listed_endpoint> &to)
{
    const equal_rows equal = findEqualRows(from, to);
    std::vector<std::size_t> keptFrom;
    std::vector<std::size_t> keptTo;
    for (const std::size_t index : longestRise(equal.from)) {
        keptFrom.push_back(equal.from[index]);
        keptTo.push_back(equal.to[index]);
    }
    endpoint_change out;
    out.removed = othersThan(keptFrom, from.size());
    out.putAt = othersThan(keptTo, to.size());
    for (const std::uint32_t position : out.putAt)
        out.put.push_back(to[position]);
    return out;
}

std::optional<std::vector<listed_endpoint>> withChange(std::vector<listed_endpoint> rows,
                                                       const endpoint_change &change)
{
    return withPositionsChanged(std::move(rows), change.removed, change.putAt, change.put);
}

endpoint_encodings::endpoint_encodings(const std::vector<listed_endpoint> &rows)
{
    m_rows.reserve(rows.size());
    for (const listed_endpoint &row : rows)
        m_rows.push_back(toCbor(row));
}

bool endpoint_encodings::apply(const endpoint_change &change)
{
    std::vector<std::string> put;
    for (const listed_endpoint &row : change.put)
        put.push_back(toCbor(row));
    auto next
            = withPositionsChanged(std::move(m_rows), change.removed, change.putAt, std::move(put));
    m_rows = next ? std::move(*next) : std::vector<std::string>();
    return next.has_value();
}

std::uint64_t endpoint_encodings::digest() const
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                         &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    const std::string head = arrayHead(m_rows.size());
    XXH3_64bits_update(state.get(), head.data(), head.size());
    for (const std::string &row : m_rows)
        XXH3_64bits_update(state.get(), row.data(), row.size());
    return std::max<std::uint64_t>(XXH3_64bits_digest(state.get()), 1);
}

} // namespace yuccascale::kernel::feed

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <utility>
#include <vector>

/// \file
/// \brief Changes of a list by positions.

namespace yuccascale::kernel::feed {

/// \returns \a former without the items at the positions \a removed, and with \a put at the
///          positions \a putAt of the result; nothing when the positions do not fit. Both rise.
template<typename T>
[[nodiscard]] std::optional<std::vector<T>>
withPositionsChanged(std::vector<T> former, std::span<const std::uint32_t> removed,
                     std::span<const std::uint32_t> putAt, std::vector<T> put)
{
    if (removed.size() > former.size() || putAt.size() != put.size())
        return std::nullopt;
    std::vector<T> out;
    out.reserve(former.size() - removed.size() + put.size());
    std::size_t nextRemoved = 0;
    std::size_t nextPut = 0;
    const auto putWhatIsDue = [&] {
        for (; nextPut < put.size() && putAt[nextPut] == out.size(); ++nextPut)
            out.push_back(std::move(put[nextPut]));
    };
    for (std::size_t position = 0; position < former.size(); ++position) {
        if (nextRemoved < removed.size() && removed[nextRemoved] == position) {
            ++nextRemoved;
            continue;
        }
        putWhatIsDue();
        out.push_back(std::move(former[position]));
    }
    putWhatIsDue();
    if (nextRemoved != removed.size() || nextPut != put.size())
        return std::nullopt;
    return out;
}

/// \returns the positions of the longest subsequence of \a values that rises.
[[nodiscard]] std::vector<std::size_t> longestRise(std::span<const std::size_t> values);

} // namespace yuccascale::kernel::feed

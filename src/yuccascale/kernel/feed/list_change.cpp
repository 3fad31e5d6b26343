#include "yuccascale/kernel/feed/list_change.hpp"

namespace yuccascale::kernel::feed {

/// Keeps, for each length, the rise that ends lowest (patience sorting).
std::vector<std::size_t> longestRise(std::span<const std::size_t> values)
{
    constexpr auto none = static_cast<std::size_t>(-1);
    std::vector<std::size_t> lowestEnds; // positions, by length
    std::vector<std::size_t> before(values.size(), none);
    for (std::size_t position = 0; position < values.size(); ++position) {
        const auto length = std::ranges::lower_bound(lowestEnds, values[position], {},
                                                     [&](std::size_t end) { return values[end]; });
        if (length != lowestEnds.begin())
            before[position] = *std::prev(length);
        if (length == lowestEnds.end())
            lowestEnds.push_back(position);
        else
            *length = position;
    }
    std::vector<std::size_t> out;
    for (std::size_t position = lowestEnds.empty() ? none : lowestEnds.back(); position != none;
         position = before[position])
        out.push_back(position);
    std::ranges::reverse(out);
    return out;
}

} // namespace yuccascale::kernel::feed

#include "yuccascale/kernel/text_distance.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <vector>

namespace yuccascale::kernel {

std::size_t editDistance(std::string_view first, std::string_view second)
{
    std::vector<std::size_t> row(second.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= first.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= second.size(); ++j) {
            const std::size_t replaced = diagonal + (first[i - 1] == second[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row.back();
}

std::string nearestWord(std::string_view typed, std::span<const std::string> words)
{
    std::string best;
    std::size_t bestDistance = std::numeric_limits<std::size_t>::max();
    for (const std::string &word : words) {
        const std::size_t distance = editDistance(typed, word);
        if (distance < bestDistance) {
            bestDistance = distance;
            best = word;
        }
    }
    return best;
}

} // namespace yuccascale::kernel

#pragma once

#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief Suggests the known word closest to a mistyped one.

namespace yuccascale::kernel {

/// \returns the number of inserted, removed and replaced characters between the two texts
/// (Levenshtein distance).
[[nodiscard]] std::size_t editDistance(std::string_view first, std::string_view second);

/// \returns the word with the smallest edit distance to \a typed; empty when there are no words.
[[nodiscard]] std::string nearestWord(std::string_view typed, std::span<const std::string> words);

} // namespace yuccascale::kernel

#pragma once

#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief Finds the word that a mistyped one was meant to be.

namespace yuccascale::kernel {

/// \returns the number of insertions, removals and replacements that turn one text into the other.
[[nodiscard]] std::size_t editDistance(std::string_view first, std::string_view second);

/// \returns the word nearest to \a typed; empty when there are no words.
[[nodiscard]] std::string nearestWord(std::string_view typed, std::span<const std::string> words);

} // namespace yuccascale::kernel

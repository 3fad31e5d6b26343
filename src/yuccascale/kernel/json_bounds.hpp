#pragma once

#include "yuccascale/kernel/json.hpp"

#include <cstddef>
#include <span>
#include <string_view>

/// \file
/// \brief Reads a JSON object whose value takes a bounded memory, whatever its text holds. The
/// value
///        of a text of short elements is many times as large as the text.

namespace yuccascale::kernel {

/// \brief What is read of a text.
struct json_bounds
{
    std::span<const std::string_view> members; ///< of the outermost object; others are skipped
    int depth = 0;          ///< most objects and lists around a value, skipped members aside
    std::size_t values = 0; ///< most of them, objects and lists included, skipped members aside
};

/// \brief Reads an object.
/// \returns a discarded value when \a text is not a well-formed JSON object or exceeds the bounds.
///
/// \example
///     const json document = readBounded(bytes, {documentMembers, 32, 500'000});
[[nodiscard]] json readBounded(std::string_view text, const json_bounds &bounds);

} // namespace yuccascale::kernel

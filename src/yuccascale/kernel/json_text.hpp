#pragma once

#include "yuccascale/kernel/json.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Reads parts of a JSON text whose other parts may be unreadable, and writes any JSON.

namespace yuccascale::kernel {

/// \returns the text of a member's value; nothing when \a object is no object or has no such
/// member. The value itself is not read.
[[nodiscard]] std::optional<std::string_view> memberText(std::string_view object,
                                                         std::string_view name);

/// \returns the texts of an array's elements; nothing when \a array is no array. The elements
/// themselves are not read.
[[nodiscard]] std::optional<std::vector<std::string_view>> elementTexts(std::string_view array);

/// \brief Reads one value from outside.
/// \returns a discarded value when the text is no JSON, is longer or nested more deeply than any
/// sound one, or names a member of the outermost object twice.
[[nodiscard]] json readForeign(std::string_view text);

/// \returns whether a text holds a NUL byte. No JSON does, but the parser takes one for the end and
/// passes over what follows.
[[nodiscard]] inline bool holdsNulByte(std::string_view text) noexcept
{
    return text.find('\0') != std::string_view::npos;
}

/// \returns a whole number in the given range; nothing when the value is another one, or none.
[[nodiscard]] std::optional<std::int64_t> wholeNumber(const json &value, std::int64_t least,
                                                      std::int64_t most);

/// \brief Writes a value. Bytes that are no UTF-8 are replaced, since they may come from outside.
[[nodiscard]] std::string toText(const json &value);

} // namespace yuccascale::kernel

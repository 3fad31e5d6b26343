#pragma once

#include "yuccascale/kernel/json.hpp"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief Reads single members of a JSON text without building the value of the whole text, which
///        takes many times the memory of the text.

namespace yuccascale::kernel {

using member_map = std::map<std::string, json, std::less<>>;

/// \brief Reads scalar members of the outermost object. A name that is repeated has its last value.
/// \param names of the members to read
/// \returns the members that are there, with null for each that is an object or a list; nothing
/// when
///          \a text is not a well-formed JSON object.
///
/// \example
///     const auto members = readScalarMembers(body, std::array<std::string_view, 1>{"model"});
[[nodiscard]] std::optional<member_map> readScalarMembers(std::string_view text,
                                                          std::span<const std::string_view> names);

} // namespace yuccascale::kernel

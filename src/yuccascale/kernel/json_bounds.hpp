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

/// \brief Reads an object. Of a member that is named twice, each reader would take another value,
/// so there must be none, skipped members aside.
/// \returns error_kind::InvalidArgument when \a text is not a well-formed JSON object, names a
/// member twice or exceeds the bounds.
///
/// \example
///     BOOST_LEAF_AUTO(document, readBounded(bytes, {documentMembers, 32, 500'000}));
[[nodiscard]] result<json> readBounded(std::string_view text, const json_bounds &bounds);

} // namespace yuccascale::kernel

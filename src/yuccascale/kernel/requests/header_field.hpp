#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief HTTP header fields that an entry forwards unchanged.

namespace yuccascale::kernel::requests {

/// \brief One header field.
struct header_field
{
    std::string name;
    std::string value;

    [[nodiscard]] bool operator==(const header_field &) const = default;
};

using header_list = std::vector<header_field>;

/// \returns whether two header names are equal, ignoring ASCII case.
[[nodiscard]] bool sameName(std::string_view left, std::string_view right) noexcept;

/// \returns the value of the first field of that name; null when there is none.
[[nodiscard]] const std::string *findHeader(const header_list &headers,
                                            std::string_view name) noexcept;

/// \returns the delay in the value of a Retry-After header, in seconds with or without a fraction;
///          nothing for any other text, and for more than an hour.
[[nodiscard]] std::optional<nanoseconds> parseRetryAfter(std::string_view text) noexcept;

} // namespace yuccascale::kernel::requests

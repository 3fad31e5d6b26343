#pragma once

#include <string_view>

/// \file
/// \brief Addresses as text.

namespace yuccascale::net {

/// \returns whether \a text is an IPv4 address and a port from 1 to 65535, such as 10.0.0.7:7400.
[[nodiscard]] bool isAddress(std::string_view text);

} // namespace yuccascale::net

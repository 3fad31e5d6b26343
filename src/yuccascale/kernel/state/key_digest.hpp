#pragma once

#include "yuccascale/kernel/error.hpp"

#include <string>
#include <string_view>

/// \file
/// \brief Callers' keys: generated at random and stored only as digests.

namespace yuccascale::kernel::state {

/// \returns a new key, "yk_" and 64 hex digits, or error_kind::Internal when the system's random
///          source fails.
[[nodiscard]] result<std::string> makeKey();

/// \returns the SHA-256 digest of \a key in lower-case hex.
[[nodiscard]] std::string keyDigest(std::string_view key);

/// \brief Compares two digests in a time that does not depend on where they differ.
[[nodiscard]] bool sameDigest(std::string_view left, std::string_view right) noexcept;

} // namespace yuccascale::kernel::state

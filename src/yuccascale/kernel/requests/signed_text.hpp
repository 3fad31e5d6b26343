#pragma once

#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Text that an entry signs under the cluster secret for another entry to verify.

namespace yuccascale::kernel::requests {

/// \returns the bytes in hexadecimal.
[[nodiscard]] std::string toHex(std::string_view bytes);

/// \returns the bytes of a hexadecimal text; empty when \a text is not one.
[[nodiscard]] std::string fromHex(std::string_view text);

/// \returns the parts between the dots of \a text.
[[nodiscard]] std::vector<std::string_view> dotSeparated(std::string_view text);

/// \returns the HMAC-SHA-256 of \a text in hexadecimal.
/// \param context names the use of the text, so that it is not valid for another one
[[nodiscard]] std::string signatureOf(std::string_view secret, std::string_view context,
                                      std::string_view text);

/// \brief Compares two signatures in a time that does not depend on where they differ.
[[nodiscard]] bool sameSignature(std::string_view left, std::string_view right);

} // namespace yuccascale::kernel::requests

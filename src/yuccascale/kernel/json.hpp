#pragma once

#include "yuccascale/kernel/error.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

/// \file
/// \brief Codec between typed structs and their JSON (operators) and CBOR (log, links) forms.

namespace yuccascale::kernel {

using json = nlohmann::json;

/// \brief Encodes a typed value as CBOR.
template<typename T>
[[nodiscard]] std::string toCbor(const T &value)
{
    std::string bytes;
    json::to_cbor(json(value), bytes);
    return bytes;
}

/// \brief Decodes a value that toCbor() encoded.
/// \returns error_kind::Corrupt when \a bytes are not CBOR or do not hold a value of type T.
template<typename T>
[[nodiscard]] result<T> fromCbor(std::string_view bytes, std::string_view where)
{
    const json document = json::from_cbor(bytes, true, false);
    if (document.is_discarded())
        return fail(error_kind::Corrupt, std::string(where),
                    "the bytes are not valid CBOR; drop this message");
    try {
        return document.get<T>();
    } catch (const json::exception &problem) {
        return fail(error_kind::Corrupt, std::string(where), problem.what());
    }
}

} // namespace yuccascale::kernel

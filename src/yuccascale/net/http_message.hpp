#pragma once

#include "yuccascale/kernel/requests/header_field.hpp"

#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief HTTP messages, independent of the HTTP library.

namespace yuccascale::net {

using kernel::requests::findHeader;
using kernel::requests::header_field;
using kernel::requests::header_list;
using kernel::requests::sameName;

/// \brief A completely received request.
struct http_request
{
    std::string method;
    std::string target; ///< path and query as sent
    header_list headers;
    std::string body;

    /// \returns the target without its query.
    [[nodiscard]] std::string_view path() const noexcept;

    /// \returns the query without its question mark.
    [[nodiscard]] std::string_view query() const noexcept;

    /// \returns the value of a header, or an empty text.
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
};

/// \brief A whole answer. Its length and connection headers are added when it is written.
struct http_reply
{
    int status = 200;
    header_list headers;
    std::string body;
};

/// \returns a parameter of a query, with percent escapes decoded; empty when it is absent.
[[nodiscard]] std::string queryParameter(std::string_view query, std::string_view name);

/// \returns the reason phrase of a status.
[[nodiscard]] std::string_view reasonPhrase(int status) noexcept;

/// \returns whether the header concerns one connection only and is never forwarded.
[[nodiscard]] bool isHopByHop(std::string_view name) noexcept;

/// \brief Appends "Name: value" and a line end.
void appendHeader(std::string &out, std::string_view name, std::string_view value);

} // namespace yuccascale::net

#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/net/http_message.hpp"

#include <boost/beast/http/message.hpp>

#include <cstddef>
#include <string>
#include <string_view>

/// \file
/// \brief What the parts of a connection hold, in bytes; included by the connection's sources only.

namespace yuccascale::net {

/// \brief Told to callers whose requests are refused for want of memory.
inline constexpr std::string_view memoryMessage
        = "the memory for requests is used up; send the request again, also to another address";

/// \brief A buffer that grew beyond this is shrunk to what it holds.
inline constexpr std::size_t maxRetainedBufferBytes = 4U << 10U;

/// \returns the time for a memory account.
[[nodiscard]] kernel::instant accountTime() noexcept;

/// \returns the memory that a string takes.
[[nodiscard]] std::size_t memoryOf(const std::string &text) noexcept;

/// \returns the memory that the fields of a parsed head take.
[[nodiscard]] std::size_t memoryOf(const boost::beast::http::request_header<> &head);

/// \returns what a request holds until it has ended.
[[nodiscard]] std::size_t memoryOf(const http_request &request, std::size_t copiesOfBody);

} // namespace yuccascale::net

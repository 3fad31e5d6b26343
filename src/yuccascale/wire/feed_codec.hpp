#pragma once

#include "yuccascale/kernel/error.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"

#include <string>
#include <string_view>

/// \file
/// \brief Codec of the feed's messages. Fields with their default values take no bytes.

namespace yuccascale::wire {

[[nodiscard]] std::string encodeFeedRequest(const kernel::feed::feed_request &request);
[[nodiscard]] std::string encodeFeedReply(const kernel::feed::feed_reply &reply);

/// \returns error_kind::Corrupt when \a bytes are not a valid request.
[[nodiscard]] kernel::result<kernel::feed::feed_request> decodeFeedRequest(std::string_view bytes);

/// \returns error_kind::Corrupt when \a bytes are not a valid reply.
[[nodiscard]] kernel::result<kernel::feed::feed_reply> decodeFeedReply(std::string_view bytes);

} // namespace yuccascale::wire

#pragma once

#include "yuccascale/kernel/requests/stream_origins.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Codec of what entries tell each other about streams.

namespace yuccascale::wire {

/// \brief Asks what an entry knows of a stream.
struct stream_query
{
    std::string requestId;          ///< of the request that brought its first piece
    std::string route;              ///< of the request that takes it up
    std::string pool;               ///< that the route leads to
    kernel::nanoseconds lookback{}; ///< the stream cannot have begun earlier
};

/// \brief Streams that began, and perhaps a question.
struct stream_message
{
    std::vector<kernel::requests::stream_record> records;
    std::optional<stream_query> query = {};
};

[[nodiscard]] std::string encodeStreamMessage(const stream_message &message);

/// \returns an empty message when \a bytes are not valid.
[[nodiscard]] stream_message decodeStreamMessage(std::string_view bytes);

[[nodiscard]] std::string encodeStreamAnswer(const kernel::requests::origin_answer &answer);

/// \returns nothing when \a bytes are not a valid answer.
[[nodiscard]] std::optional<kernel::requests::origin_answer>
decodeStreamAnswer(std::string_view bytes);

} // namespace yuccascale::wire

#pragma once

#include "fakes/keep_alive_connection.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

/// \file
/// \brief What a caller saw of one request.

namespace yuccascale::processes {

/// \brief What is asked for.
enum class request_kind { ShortChat, LongChat, Ticket };

constexpr std::size_t requestKindCount = 3;

/// \brief How the bytes of a request are sent.
enum class sending_style {
    AtOnce,
    Pipelined, ///< right after another request, before its answer
    SlowHead,  ///< a pause within the head
    SlowBody,  ///< a pause within the body
};

/// \brief One request; times in milliseconds since 1970, 0 if it didn't come to that.
struct request_record
{
    std::string id;
    std::size_t node = 0;
    request_kind kind = request_kind::ShortChat;
    sending_style style = sending_style::AtOnce;
    bool newConnection = false;
    std::int64_t startedMs = 0;  ///< before its first byte
    std::int64_t sentMs = 0;     ///< after its last byte
    std::int64_t answeredMs = 0; ///< at the end of its answer or of the connection
    int status = 0;
    bool complete = false; ///< the whole answer arrived; of a stream also its finish
    fakes::connection_end end = fakes::connection_end::Open;
    std::string problem; ///< the body of a failure
};

/// \returns \a record in one line, for a failure's message.
[[nodiscard]] std::string describe(const request_record &record);

} // namespace yuccascale::processes

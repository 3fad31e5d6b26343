#pragma once

#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/requests/request.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief From what a caller sent to a request of its organisation.

namespace yuccascale::http {

/// \brief An HTTP request of a caller, without the types of the HTTP library.
struct caller_message
{
    std::string method;
    std::string target;                  ///< path and query as sent
    std::string path;                    ///< decoded, without the query
    std::vector<std::string> parameters; ///< decoded "name=value" of the query
    std::string authorization;
    std::string contentType;
    std::string idempotencyKey;
    std::string requestId;
    std::string resumeToken;
    std::string resumeFrom;
    std::string body;
};

/// \brief What reading needs besides the message.
struct reading_context
{
    kernel::control_view view;
    kernel::instant now{};
    std::string entry;        ///< node and incarnation
    std::uint64_t number = 0; ///< unique at this entry
    std::string_view secret;  ///< signs resume tokens
};

/// \brief Reads a call of `/v1/chat/completions` or `/v1/completions`.
[[nodiscard]] kernel::result<kernel::requests::request>
readModelRequest(const caller_message &message, const reading_context &context);

/// \brief Reads a call of `/s/ROUTE/PATH`.
[[nodiscard]] kernel::result<kernel::requests::request>
readServiceRequest(const caller_message &message, const reading_context &context);

/// \returns the request's id: the caller's if it is usable, else a new one.
[[nodiscard]] std::string requestIdOf(const caller_message &message,
                                      const reading_context &context);

/// \returns the organisation's weight; 1 when the tables do not list it.
[[nodiscard]] double weightOf(const kernel::control_view &view, const std::string &organisation);

} // namespace yuccascale::http

#pragma once

#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/requests/request.hpp"
#include "yuccascale/kernel/requests/route_index.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Parses and authenticates the requests of callers.

namespace yuccascale::http {

/// \brief The parts of an HTTP request that the protocol "own" uses.
struct caller_message
{
    std::string method;
    std::string target;                  ///< path and query as sent
    std::string path;                    ///< without the query
    std::vector<std::string> parameters; ///< decoded "name=value" of the query
    std::string authorization;
    std::string contentType;
    std::string idempotencyKey;
    std::string requestId;
    std::string resumeToken;
    std::string resumeFrom;
    std::string body;
};

/// \brief What parsing needs besides the message.
struct reading_context
{
    kernel::control_view view;
    kernel::instant now{};
    std::string entry;                                                     ///< node and incarnation
    std::uint64_t requestNumber = 0;                                       ///< unique at this entry
    std::string_view secret;                                               ///< signs resume tokens
    std::shared_ptr<const kernel::requests::route_index> routes = nullptr; ///< of the view's tables
};

/// \brief Sets the organisation of a key, unless the route is open to all.
/// \returns error_kind::NotReady while the freshness lease of the tables has expired,
///          error_kind::Unauthorized when the key is not valid.
[[nodiscard]] kernel::result<void> authorise(kernel::requests::request &callerRequest,
                                             std::string_view key, const reading_context &context);

/// \brief Parses a request to `/v1/chat/completions` or `/v1/completions`.
/// \param message its body is moved out on success
[[nodiscard]] kernel::result<kernel::requests::request>
readModelRequest(caller_message &message, const reading_context &context);

/// \brief Parses a request to `/s/ROUTE/PATH`.
/// \param message its body is moved out on success
[[nodiscard]] kernel::result<kernel::requests::request>
readServiceRequest(caller_message &message, const reading_context &context);

/// \returns the request's id: the caller's if it is valid, else a new one.
[[nodiscard]] std::string requestIdOf(const caller_message &message,
                                      const reading_context &context);

/// \returns the organisation's weight; 1 when the tables do not list it.
[[nodiscard]] double organisationWeight(const kernel::control_view &view,
                                        const std::string &organisation);

} // namespace yuccascale::http

#pragma once

#include "yuccascale/kernel/orders/drivers.hpp"

#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief One HTTP exchange on a connection of its own. Its bytes are delivered within the send
/// timeout or dropped.

namespace yuccascale::plugins {

/// \brief The request of an exchange.
struct http_exchange
{
    std::string address; ///< IP:port
    std::string method;
    std::string path;
    std::string body; ///< JSON text, or empty
    std::vector<std::pair<std::string, std::string>> headers;
    kernel::orders::send_permit permit; ///< checked on the open connection; null: always allowed
};

/// \brief A complete answer.
struct http_answer
{
    int status = 0;
    std::string body;
    std::string retryAfter; ///< text of the Retry-After header; empty when absent

    /// \returns the body as JSON; a discarded value when it is not JSON.
    [[nodiscard]] kernel::json document() const;
};

/// \brief Connects, checks the permit, sends the request and reads the answer, then aborts the
/// connection so that no bytes stay in the send queue.
/// \returns error_kind::Unavailable or error_kind::Forbidden when nothing was sent,
///          error_kind::OutcomeUnknown when the request may have arrived.
[[nodiscard]] kernel::result<http_answer> exchange(const kernel::orders::driver_settings &settings,
                                                   const http_exchange &call);

/// \brief Makes a query.
/// \returns the body; error_kind::Unavailable when there is none, or with another status than 200.
[[nodiscard]] kernel::result<std::string> getText(const kernel::orders::driver_settings &settings,
                                                  const std::string &address,
                                                  const std::string &path);

/// \brief Sends a GET request as exchange() does and returns the JSON body. Every failure is
/// error_kind::Unavailable, and so is any status but 200.
[[nodiscard]] kernel::result<kernel::json> getJson(const kernel::orders::driver_settings &settings,
                                                   const std::string &address,
                                                   const std::string &path);

/// \returns the state with this wire name; Unknown for any other text.
[[nodiscard]] kernel::orders::target_state parseTargetState(std::string_view name) noexcept;

} // namespace yuccascale::plugins

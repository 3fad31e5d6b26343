#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

/// \file
/// \brief A small HTTP client for the stand-ins and the load program.

namespace yuccascale::fakes {

/// \brief The answer to a call. Status 0: no answer, or none whose head was complete.
struct http_answer
{
    int status = 0;
    std::multimap<std::string, std::string> headers; ///< names in lower case
    std::string body;
    bool connected = false; ///< false: no byte of the request was sent
    bool complete = false;  ///< the whole body was received

    [[nodiscard]] std::string header(const std::string &lowerCaseName) const;
};

/// \brief One HTTP request.
struct http_call
{
    std::string address; ///< IP:port
    std::string method = "GET";
    std::string path;
    std::multimap<std::string, std::string> headers;
    std::string body;
    int timeoutMs = 5'000; ///< longest time between two reads of the answer
    /// Receives the pieces of the answer in place of body; returns false to close the connection.
    std::function<bool(const http_answer &head, std::string_view)> onPiece;
};

/// \brief Sends the request on a new connection.
[[nodiscard]] http_answer callHttp(const http_call &call);

} // namespace yuccascale::fakes

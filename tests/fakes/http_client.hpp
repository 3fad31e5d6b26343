#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

/// \file
/// \brief A small HTTP client for the stand-ins and the load program.

namespace yuccascale::fakes {

/// \brief What came back. Status 0: no answer, or it broke off.
struct http_answer
{
    int status = 0;
    std::multimap<std::string, std::string> headers; ///< names in lower case
    std::string body;
    bool connected = false; ///< false: not one byte of the request was sent
    bool complete = false;  ///< the body came to its end

    [[nodiscard]] std::string header(const std::string &lowerCaseName) const;
};

/// \brief One call to make.
struct http_call
{
    std::string address; ///< IP:port
    std::string method = "GET";
    std::string path;
    std::multimap<std::string, std::string> headers;
    std::string body;
    int timeoutMs = 5'000; ///< between two pieces of the answer
    /// Takes the pieces of a streamed answer in place of body; returns false to break off.
    std::function<bool(const http_answer &head, std::string_view)> onPiece;
};

/// \brief Makes a call on a fresh connection.
[[nodiscard]] http_answer callHttp(const http_call &call);

} // namespace yuccascale::fakes

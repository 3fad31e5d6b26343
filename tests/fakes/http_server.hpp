#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

/// \file
/// \brief A small HTTP server for the stand-ins; only its source file includes cpp-httplib.

namespace yuccascale::fakes {

/// \brief A request received by a stand-in.
struct http_request
{
    std::string method;
    std::string path;
    std::multimap<std::string, std::string> query;
    std::multimap<std::string, std::string> headers; ///< names in lower case
    std::string body;

    /// \returns the header's value; empty when it is missing.
    [[nodiscard]] std::string header(const std::string &lowerCaseName) const;

    /// \returns the query parameter's value, or \a fallback.
    [[nodiscard]] std::uint64_t queryNumber(const std::string &name, std::uint64_t fallback) const;
};

/// \brief Writes one piece of a streamed body; returns false when the client has disconnected.
using write_piece = std::function<bool(std::string_view)>;

/// \brief Writes a whole streamed body; returns false to close the connection before its end.
using body_stream = std::function<bool(const write_piece &)>;

/// \brief An answer with a fixed or a streamed body.
struct http_reply
{
    int status = 200;
    std::string body;
    std::map<std::string, std::string> headers;
    std::string contentType = "application/json";
    body_stream stream; ///< used in place of body when set
};

/// \brief Serves one port with a bounded number of threads, started on demand.
class http_server
{
public:
    using handler = std::function<http_reply(const http_request &)>;

    /// \param port 0 lets the system choose
    http_server(int port, handler handle);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    [[nodiscard]] int port() const noexcept;

private:
    struct running_server;
    std::unique_ptr<running_server> m_running;
};

} // namespace yuccascale::fakes

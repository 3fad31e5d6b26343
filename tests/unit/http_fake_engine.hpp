#pragma once

#include "yuccascale/kernel/json.hpp"

#include <httplib.h>

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// \file
/// \brief An endpoint on a loopback port that records the requests it receives.

namespace yuccascale::fakes {

/// \brief A request as an endpoint received it.
struct received_request
{
    std::string method;
    std::string path;
    httplib::Headers headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

/// \brief Serves on a free port until it is destroyed.
class endpoint_server
{
public:
    using handler = std::function<void(const received_request &, httplib::Response &)>;

    explicit endpoint_server(handler serve)
        : m_handler(std::move(serve))
    {
        const auto handleRequest = [this](const httplib::Request &request,
                                          httplib::Response &response) {
            received_request received{request.method, request.target, request.headers,
                                      request.body};
            if (received.path == "/load") {
                response.set_content("{\"incarnation\":1,\"age_ms\":0}", "application/json");
                return;
            }
            {
                const std::scoped_lock guard(m_mutex);
                m_received.push_back(received);
            }
            response.set_header("X-Request-Id", received.header("X-Request-Id"));
            m_handler(received, response);
        };
        m_server.Get(".*", handleRequest);
        m_server.Post(".*", handleRequest);
        m_server.set_keep_alive_max_count(1);
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        while (!m_server.is_running())
            std::this_thread::yield();
    }

    ~endpoint_server()
    {
        m_server.stop();
        m_thread.join();
    }

    endpoint_server(const endpoint_server &) = delete;
    endpoint_server &operator=(const endpoint_server &) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    [[nodiscard]] std::vector<received_request> received() const
    {
        const std::scoped_lock guard(m_mutex);
        return m_received;
    }

private:
    handler m_handler;
    httplib::Server m_server;
    int m_port = 0;
    mutable std::mutex m_mutex;
    std::vector<received_request> m_received;
    std::thread m_thread;
};

/// \brief Answers as an engine, with \a pieces pieces that are streamed if the request asks for it.
/// A stream is cut before piece \a breakAfter unless that is negative.
inline void answerAsEngine(const received_request &request, httplib::Response &response,
                           std::int64_t pieces, std::int64_t breakAfter = -1)
{
    using kernel::json;
    const std::string id = request.header("X-Request-Id");
    const std::string resumeFrom = request.header("X-Resume-From");
    const std::int64_t first = resumeFrom.empty() ? 0 : std::stoll(resumeFrom);
    const json usage{{"prompt_tokens", 7}, {"cached_tokens", 2}, {"completion_tokens", pieces}};
    if (!json::parse(request.body).value("stream", false)) {
        const json whole{
                {"id", id}, {"choices", {{{"message", {{"content", "whole"}}}}}}, {"usage", usage}};
        response.set_content(whole.dump(), "application/json");
        return;
    }
    response.set_chunked_content_provider(
            "text/event-stream", [=](std::size_t, httplib::DataSink &sink) {
                for (std::int64_t index = first; index < pieces; ++index) {
                    if (index == breakAfter)
                        return false;
                    const json piece{
                            {"id", id},
                            {"index", index},
                            {"choices", {{{"delta", {{"content", std::to_string(index)}}}}}}};
                    const std::string text = "data: " + piece.dump() + "\n\n";
                    sink.write(text.data(), text.size());
                }
                const json last{{"id", id}, {"finish", true}, {"usage", usage}};
                const std::string text = "data: " + last.dump() + "\n\ndata: [DONE]\n\n";
                sink.write(text.data(), text.size());
                sink.done();
                return true;
            });
}

} // namespace yuccascale::fakes

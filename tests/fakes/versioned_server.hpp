#pragma once

#include "unit/http_fake_engine.hpp"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

/// \file
/// \brief A streaming server of the platform whose events name its software version.

namespace yuccascale::fakes {

/// \brief Streams the events 1 to eventCount, each with the server's version as its data.
class versioned_server
{
public:
    static constexpr int eventCount = 6;

    /// \param breaks how many of the next streams, counted over all servers that share it, end
    ///        after their second event without their end
    versioned_server(std::string version, std::shared_ptr<std::atomic<int>> breaks)
        : m_version(std::move(version))
        , m_breaks(std::move(breaks))
    { }

    [[nodiscard]] std::string address() const { return m_server.address(); }
    [[nodiscard]] const std::string &version() const noexcept { return m_version; }
    [[nodiscard]] std::size_t requests() const { return m_server.received().size(); }

    /// \brief Streams stop after their second event until this is called with false.
    void hold(bool held) { m_held = held; }

private:
    static void sendEvent(httplib::DataSink &sink, int id, const std::string &version)
    {
        const std::string text = "id: " + std::to_string(id) + "\ndata: " + version + "\n\n";
        sink.write(text.data(), text.size());
    }

    void answer(const received_request &request, httplib::Response &response)
    {
        const std::string after = request.header("Last-Event-Id");
        const int first = after.empty() ? 1 : std::stoi(after) + 1;
        const bool breaks = m_breaks->fetch_sub(1) > 0;
        response.set_header("X-Server-Seal", "seal");
        response.set_chunked_content_provider(
                "text/event-stream", [this, first, breaks](std::size_t, httplib::DataSink &sink) {
                    for (int id = first; id <= eventCount; ++id) {
                        if (breaks && id == 3)
                            return false;
                        while (m_held && id == 3) {
                            if (!sink.is_writable())
                                return false;
                            std::this_thread::sleep_for(std::chrono::milliseconds(2));
                        }
                        sendEvent(sink, id, m_version);
                    }
                    sink.done();
                    return true;
                });
    }

    std::string m_version;
    std::shared_ptr<std::atomic<int>> m_breaks;
    std::atomic<bool> m_held{false};
    endpoint_server m_server{[this](const received_request &request, httplib::Response &response) {
        answer(request, response);
    }};
};

} // namespace yuccascale::fakes

#include "yuccascale/http/endpoint_client.hpp"

#include "yuccascale/kernel/json.hpp"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <map>
#include <mutex>
#include <utility>

namespace yuccascale::http {

namespace {

using namespace kernel::requests;
using kernel::milliseconds;
using kernel::nanoseconds;

constexpr milliseconds connectTimeout{500};
constexpr milliseconds writeTimeout{5'000};
/// Time for an endpoint to show that it lives, after one of its connections ended early.
constexpr milliseconds probeTimeout{300};
constexpr milliseconds shortCallTimeout{2'000};
constexpr std::size_t maxIdlePerAddress = 64;

struct split_address
{
    std::string ip;
    int port = 0;
};

[[nodiscard]] split_address split(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    split_address parts{address.substr(0, colon), 0};
    if (colon != std::string::npos) {
        const char *end = address.data() + address.size();
        std::from_chars(address.data() + colon + 1, end, parts.port);
    }
    return parts;
}

[[nodiscard]] std::unique_ptr<httplib::Client> connect(const std::string &address)
{
    const split_address parts = split(address);
    auto client = std::make_unique<httplib::Client>(parts.ip, parts.port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_url_encode(false);
    client->set_decompress(false);
    client->set_connection_timeout(connectTimeout);
    client->set_write_timeout(writeTimeout);
    return client;
}

[[nodiscard]] httplib::Request requestFrom(const outbound_request &outbound)
{
    httplib::Request request;
    request.method = outbound.method;
    request.path = outbound.path;
    request.body = outbound.body;
    for (const auto &[name, value] : outbound.headers)
        request.set_header(name, value);
    if (!outbound.contentType.empty())
        request.set_header("Content-Type", outbound.contentType);
    request.set_header("Accept-Encoding", "identity");
    return request;
}

[[nodiscard]] nanoseconds retryAfterOf(const httplib::Response &response)
{
    const std::string text = response.get_header_value("Retry-After");
    int wholeSeconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), wholeSeconds);
    return std::chrono::seconds(std::max(0, wholeSeconds));
}

[[nodiscard]] answer_head headOf(const httplib::Response &response)
{
    answer_head head;
    head.status = response.status;
    head.requestId = response.get_header_value("X-Request-Id");
    head.contentType = response.get_header_value("Content-Type");
    const bool chunked = response.get_header_value("Transfer-Encoding") == "chunked";
    head.bounded = chunked || response.has_header("Content-Length") || response.status == 204;
    head.retryAfter = retryAfterOf(response);
    return head;
}

[[nodiscard]] bool neverSent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
            || error == httplib::Error::BindIPAddress;
}

/// \returns true when the endpoint does not answer, or restarted.
[[nodiscard]] bool gone(const endpoint_attempt &attempt)
{
    outbound_request load;
    load.method = "GET";
    load.path = "/load";
    const endpoint_reply reply = endpoint_client::call(attempt.address, load, probeTimeout);
    if (!reply.answered)
        return true;
    const kernel::json document = kernel::json::parse(reply.body, nullptr, false);
    if (!document.is_object() || attempt.incarnation == 0)
        return false;
    const auto found = document.find("incarnation");
    return found != document.end() && *found != kernel::json(attempt.incarnation);
}

} // namespace

/// Idle connections by address.
class endpoint_client::connections
{
public:
    [[nodiscard]] std::unique_ptr<httplib::Client> take(const std::string &address, bool fresh)
    {
        if (!fresh) {
            const std::scoped_lock guard(m_mutex);
            auto &idle = m_idle[address];
            if (!idle.empty()) {
                auto client = std::move(idle.back());
                idle.pop_back();
                return client;
            }
        }
        return connect(address);
    }

    void giveBack(const std::string &address, std::unique_ptr<httplib::Client> client)
    {
        const std::scoped_lock guard(m_mutex);
        auto &idle = m_idle[address];
        if (idle.size() < maxIdlePerAddress)
            idle.push_back(std::move(client));
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::vector<std::unique_ptr<httplib::Client>>> m_idle;
};

class endpoint_client::exchange final : public endpoint_exchange
{
public:
    exchange(std::shared_ptr<connections> pool, endpoint_attempt attempt)
        : m_connections(std::move(pool))
        , m_attempt(std::move(attempt))
    { }

    void cancel() override
    {
        const std::scoped_lock guard(m_mutex);
        m_cancelled = true;
        if (m_client)
            m_client->stop();
    }

    void carry()
    {
        fillPrompt();
        auto client = m_connections->take(m_attempt.address, m_attempt.request.freshConnection);
        const auto readTimeout = std::chrono::ceil<milliseconds>(m_attempt.timeLeft);
        client->set_read_timeout(std::max(readTimeout, milliseconds(1)));
        if (!publish(client.get()))
            return;
        const httplib::Error error = send(*client);
        publish(nullptr);
        conclude(error, std::move(client));
    }

private:
    /// The prompt may also be filled by the engine that answers, so a failure is of no matter.
    void fillPrompt()
    {
        if (m_attempt.prefillAddress.empty())
            return;
        const auto timeout = std::chrono::ceil<milliseconds>(m_attempt.timeLeft);
        const endpoint_reply reply
                = call(m_attempt.prefillAddress, m_attempt.prefillRequest, timeout);
        if (reply.answered && reply.status == 200)
            m_attempt.request.headers.emplace_back("X-Kv-From", m_attempt.prefillAddress);
    }

    /// \returns false when the exchange is cancelled.
    bool publish(httplib::Client *client)
    {
        const std::scoped_lock guard(m_mutex);
        m_client = client;
        return !m_cancelled;
    }

    [[nodiscard]] httplib::Error send(httplib::Client &client)
    {
        httplib::Request request = requestFrom(m_attempt.request);
        request.response_handler = [this](const httplib::Response &response) {
            std::vector<event> events;
            m_headSeen = true;
            m_closing = response.get_header_value("Connection") == "close";
            const bool wanted = m_attempt.reader->head(headOf(response), events);
            deliver(std::move(events));
            return wanted && !m_cancelled;
        };
        request.content_receiver
                = [this](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
                      std::vector<event> events;
                      const bool wanted = m_attempt.reader->feed({data, size}, events);
                      deliver(std::move(events));
                      return wanted && !m_cancelled;
                  };
        httplib::Response response;
        httplib::Error error = httplib::Error::Success;
        if (client.send(request, response, error))
            return httplib::Error::Success;
        return error == httplib::Error::Success ? httplib::Error::Unknown : error;
    }

    void conclude(httplib::Error error, std::unique_ptr<httplib::Client> client)
    {
        if (m_cancelled)
            return;
        std::vector<event> events;
        if (error == httplib::Error::Success) {
            m_attempt.reader->end(events);
            const bool whole = events.empty() || !std::holds_alternative<attempt_failed>(events[0]);
            if (whole && !m_doubtful && !m_closing && !m_attempt.request.freshConnection)
                m_connections->giveBack(m_attempt.address, std::move(client));
            deliver(std::move(events));
            return;
        }
        client.reset();
        if (m_attempt.reader->done())
            return;
        attempt_failed failure{m_attempt.attempt, attempt_failure::NeverSent, {}};
        if (!neverSent(error))
            failure.how = gone(m_attempt) ? attempt_failure::Crashed : attempt_failure::Broken;
        events.emplace_back(failure);
        deliver(std::move(events));
    }

    void deliver(std::vector<event> events)
    {
        for (event &one : events) {
            if (std::holds_alternative<attempt_failed>(one))
                m_doubtful = true;
            if (!m_cancelled)
                m_attempt.deliver(std::move(one));
        }
    }

    std::shared_ptr<connections> m_connections;
    endpoint_attempt m_attempt;
    std::mutex m_mutex;
    httplib::Client *m_client = nullptr;
    std::atomic<bool> m_cancelled{false};
    bool m_headSeen = false;
    bool m_closing = false;
    bool m_doubtful = false;
};

endpoint_client::endpoint_client(std::size_t maxThreads)
    : m_connections(std::make_shared<connections>())
    , m_workers(maxThreads)
{ }

endpoint_client::~endpoint_client() = default;

std::shared_ptr<endpoint_exchange> endpoint_client::start(endpoint_attempt attempt)
{
    auto carried = std::make_shared<exchange>(m_connections, std::move(attempt));
    m_workers.run([carried] { carried->carry(); });
    return carried;
}

endpoint_reply endpoint_client::call(const std::string &address, const outbound_request &request,
                                     milliseconds timeout)
{
    const auto client = connect(address);
    client->set_connection_timeout(std::min(timeout, connectTimeout));
    client->set_read_timeout(timeout);
    const httplib::Result result = client->send(requestFrom(request));
    if (!result)
        return {};
    return {true, result->status, result->body};
}

void endpoint_client::callLater(const std::string &address, outbound_request request)
{
    m_workers.run([address, request = std::move(request)] {
        static_cast<void>(call(address, request, shortCallTimeout));
    });
}

void endpoint_client::shutdown()
{
    m_workers.shutdown();
}

} // namespace yuccascale::http

#include "yuccascale/plugins/platform_http.hpp"

#include "yuccascale/net/address.hpp"
#include "yuccascale/net/http_client.hpp"

#include <memory>
#include <utility>

namespace yuccascale::plugins {

namespace {

using kernel::error_kind;
using kernel::fail;

constexpr int httpOk = 200;
/// A longer answer is none of an interface of the platform; the list of 3,300 endpoints, the
/// longest, has about 1 MB.
constexpr std::size_t maxAnswerBytes = 4U << 20U;

[[nodiscard]] net::client_limits limitsOf(const kernel::orders::driver_settings &settings)
{
    net::client_limits limits;
    limits.connectTimeout = settings.connectTimeout;
    limits.userTimeout = settings.sendTimeout;
    limits.discardUnsent = true;
    return limits;
}

[[nodiscard]] net::outgoing_request requestOf(const http_exchange &call)
{
    net::outgoing_request request;
    request.address = call.address;
    request.method = call.method;
    request.target = call.path;
    request.body = call.body;
    request.freshConnection = true;
    request.headers.push_back({"Connection", "close"});
    for (const auto &[name, value] : call.headers)
        request.headers.push_back({name, value});
    if (!call.body.empty())
        request.headers.push_back({"Content-Type", "application/json"});
    return request;
}

/// \brief Makes one call on an event loop of its own, so that the calling thread waits for it.
class blocking_call
{
public:
    blocking_call(const kernel::orders::driver_settings &settings,
                  const kernel::orders::send_permit &permit)
        : m_timeout(settings.connectTimeout + settings.sendTimeout + settings.answerTimeout)
        , m_permit(permit)
        , m_client(m_loop, limitsOf(settings))
    { }

    /// \returns the answer; incomplete when the call failed, timed out or was not permitted.
    [[nodiscard]] net::buffered_answer run(net::outgoing_request request)
    {
        request.onConnected = [this] { onConnected(); };
        m_call = net::callBuffered(
                m_client, m_loop, std::move(request), m_timeout,
                [this](net::buffered_answer answer) {
                    m_answer = std::move(answer);
                    m_loop.stop();
                },
                maxAnswerBytes);
        m_loop.run();
        return std::move(m_answer);
    }

    [[nodiscard]] bool connected() const noexcept { return m_connected; }
    [[nodiscard]] bool refused() const noexcept { return m_refused; }

private:
    void onConnected()
    {
        m_connected = true;
        m_refused = m_permit && !m_permit();
        if (!m_refused)
            return;
        m_call->cancel();
        m_loop.stop();
    }

    kernel::milliseconds m_timeout; ///< of the whole call
    const kernel::orders::send_permit &m_permit;
    net::io_context m_loop{1};
    net::http_client m_client;
    std::shared_ptr<net::http_call> m_call;
    net::buffered_answer m_answer;
    bool m_connected = false;
    bool m_refused = false; ///< the permit was refused once the connection was open
};

} // namespace

kernel::json http_answer::document() const
{
    return kernel::json::parse(body, nullptr, false);
}

kernel::result<http_answer> exchange(const kernel::orders::driver_settings &settings,
                                     const http_exchange &call)
{
    if (!net::isAddress(call.address)) {
        return fail(error_kind::Unavailable, call.address,
                    "not of the form IP:port; correct it in the settings or in the endpoint's row");
    }
    blocking_call blocking(settings, call.permit);
    const net::buffered_answer answer = blocking.run(requestOf(call));
    if (answer.end == net::call_end::Whole) {
        const std::string *retryAfter = net::findHeader(answer.headers, "Retry-After");
        return http_answer{answer.status, answer.body, retryAfter ? *retryAfter : std::string()};
    }
    if (!blocking.connected())
        return fail(error_kind::Unavailable, call.address,
                    "cannot connect; check that the server runs and that the address is right");
    if (blocking.refused()) {
        return fail(error_kind::Forbidden, call.address,
                    "the authority of this node ended before the first byte; nothing was sent");
    }
    if (answer.end == net::call_end::Malformed) {
        return fail(error_kind::OutcomeUnknown, call.address,
                    "the request was sent, but the answer is malformed or longer than 4 MB; check "
                    "the server and query the outcome");
    }
    return fail(error_kind::OutcomeUnknown, call.address,
                "the request was sent, but no answer came in time; query the outcome");
}

kernel::result<std::string> getText(const kernel::orders::driver_settings &settings,
                                    const std::string &address, const std::string &path)
{
    kernel::error problem;
    http_answer answer;
    const bool answered = kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_ASSIGN(answer, exchange(settings, {address, "GET", path, {}, {}, {}}));
                return {};
            },
            problem);
    if (!answered)
        return fail(error_kind::Unavailable, address + path, problem.message);
    if (answer.status != httpOk) {
        return fail(error_kind::Unavailable, address + path,
                    "answered a query with status " + std::to_string(answer.status)
                            + "; check that the address is the right interface");
    }
    return answer.body;
}

kernel::result<kernel::json> getJson(const kernel::orders::driver_settings &settings,
                                     const std::string &address, const std::string &path)
{
    BOOST_LEAF_AUTO(text, getText(settings, address, path));
    kernel::json document = kernel::json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        return fail(error_kind::Unavailable, address + path,
                    "answered a query without JSON; check that the address is the right interface");
    }
    return document;
}

kernel::orders::target_state parseTargetState(std::string_view name) noexcept
{
    if (name == "done")
        return kernel::orders::target_state::Done;
    if (name == "running")
        return kernel::orders::target_state::Running;
    if (name == "refused")
        return kernel::orders::target_state::Refused;
    if (name == "busy")
        return kernel::orders::target_state::Busy;
    return kernel::orders::target_state::Unknown;
}

} // namespace yuccascale::plugins

#include "yuccascale/http/endpoint_client.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace yuccascale::http {

namespace {

using namespace kernel::requests;
using kernel::milliseconds;
using kernel::nanoseconds;

constexpr milliseconds shortCallTimeout{2'000};
constexpr int firstUnsuccessfulStatus = 300;

[[nodiscard]] net::outgoing_request outgoingRequestOf(const std::string &address,
                                                      const outbound_request &outbound)
{
    net::outgoing_request request;
    request.address = address;
    request.method = outbound.method;
    request.target = outbound.path;
    request.body = outbound.body;
    request.freshConnection = outbound.freshConnection;
    for (const auto &[name, value] : outbound.headers)
        request.headers.push_back({name, value});
    if (!outbound.contentType.empty())
        request.headers.push_back({"Content-Type", outbound.contentType});
    return request;
}

[[nodiscard]] nanoseconds retryAfterOf(std::string_view text)
{
    double seconds = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (read.ec != std::errc() || !(seconds > 0))
        return {};
    return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(seconds));
}

[[nodiscard]] answer_head headOf(const net::response_head &response)
{
    answer_head head;
    head.status = response.status;
    head.requestId = std::string(response.header("X-Request-Id"));
    head.contentType = std::string(response.header("Content-Type"));
    head.delimited = response.bounded;
    head.retryAfter = retryAfterOf(response.header("Retry-After"));
    head.headers = response.headers;
    return head;
}

} // namespace

class endpoint_client::exchange final : public endpoint_exchange,
                                        public net::answer_receiver,
                                        public std::enable_shared_from_this<exchange>
{
public:
    exchange(endpoint_client &client, endpoint_attempt attempt)
        : m_client(client)
        , m_attempt(std::move(attempt))
    { }

    void cancel() override
    {
        m_cancelled = true;
        if (const auto call = std::exchange(m_call, nullptr))
            call->cancel();
        releasePrefill();
    }

    /// A failed prefill does not fail the attempt: the endpoint then prefills the prompt itself.
    void begin()
    {
        if (m_attempt.prefillAddress.empty())
            return sendRequest();
        m_call = m_client.call(m_attempt.prefillAddress, m_attempt.prefillRequest,
                               m_attempt.prefillTimeout,
                               [self = shared_from_this()](const net::buffered_answer &answer) {
                                   self->onPrefillAnswer(answer);
                               });
    }

    void onPrefillAnswer(const net::buffered_answer &answer)
    {
        m_call.reset();
        if (auto prefilled = m_attempt.parsePrefill(answer)) {
            m_attempt.request.headers.push_back(std::move(prefilled->header));
            m_prefillRelease = std::move(prefilled->release);
        }
        if (m_cancelled)
            releasePrefill();
        else
            sendRequest();
    }

    [[nodiscard]] verdict head(const net::response_head &response) override
    {
        if (response.status < firstUnsuccessfulStatus)
            m_prefillRelease.reset(); // the endpoint has fetched the prefilled prompt
        std::vector<event> events;
        const head_decision decision = m_attempt.reader->head(headOf(response), events);
        if (m_attempt.onHead && decision == head_decision::Take)
            m_attempt.onHead(*m_attempt.reader);
        deliver(std::move(events));
        switch (decision) {
        case head_decision::Take:
            return verdict::Take;
        case head_decision::Skip:
            return verdict::Skip;
        case head_decision::Stop:
            break;
        }
        return verdict::Stop;
    }

    [[nodiscard]] bool body(std::string_view bytes) override
    {
        std::vector<event> events;
        const bool wantsMore = m_attempt.reader->feed(bytes, events);
        deliver(std::move(events));
        return wantsMore;
    }

    void ended(net::call_end outcome) override
    {
        m_call.reset();
        releasePrefill();
        std::vector<event> events;
        if (outcome == net::call_end::Whole) {
            m_attempt.reader->end(events);
            return deliver(std::move(events));
        }
        if (m_attempt.reader->done() || m_cancelled)
            return;
        if (outcome == net::call_end::NotConnected)
            return fail(attempt_failure::NeverSent);
        if (outcome == net::call_end::Malformed)
            return fail(attempt_failure::InvalidAnswer);
        probeEndpoint();
    }

private:
    void sendRequest()
    {
        if (!m_cancelled)
            m_call = m_client.m_client.start(
                    outgoingRequestOf(m_attempt.address, m_attempt.request), shared_from_this());
    }

    /// Frees a prefilled prompt that the endpoint has not fetched.
    void releasePrefill()
    {
        if (const auto call = std::exchange(m_prefillRelease, std::nullopt))
            m_client.callIgnoringAnswer(m_attempt.prefillAddress, *call);
    }

    /// Connects again: an endpoint that accepts has only closed the connection, else it has
    /// crashed.
    void probeEndpoint()
    {
        m_client.m_client.probe(m_attempt.address, [self = shared_from_this()](bool connected) {
            self->fail(connected ? attempt_failure::Broken : attempt_failure::Crashed);
        });
    }

    void fail(attempt_failure failure)
    {
        std::vector<event> events;
        events.emplace_back(attempt_failed{m_attempt.attempt, failure, {}});
        deliver(std::move(events));
    }

    void deliver(std::vector<event> events)
    {
        for (event &requestEvent : events) {
            if (!m_cancelled)
                m_attempt.deliver(std::move(requestEvent));
        }
    }

    endpoint_client &m_client;
    endpoint_attempt m_attempt;
    std::shared_ptr<net::http_call> m_call;
    std::optional<outbound_request> m_prefillRelease;
    bool m_cancelled = false;
};

endpoint_client::endpoint_client(net::io_context &loop)
    : m_loop(loop)
    , m_client(loop, {})
{ }

std::shared_ptr<endpoint_exchange> endpoint_client::start(endpoint_attempt attempt)
{
    auto started = std::make_shared<exchange>(*this, std::move(attempt));
    started->begin();
    return started;
}

std::shared_ptr<net::http_call>
endpoint_client::call(const std::string &address, const outbound_request &request,
                      milliseconds timeout, std::function<void(net::buffered_answer)> done)
{
    return net::callBuffered(m_client, m_loop, outgoingRequestOf(address, request), timeout,
                             std::move(done));
}

void endpoint_client::callIgnoringAnswer(const std::string &address,
                                         const outbound_request &request)
{
    static_cast<void>(
            call(address, request, shortCallTimeout, [](const net::buffered_answer &) {}));
}

} // namespace yuccascale::http

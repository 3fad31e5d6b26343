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
constexpr std::string_view requestIdHeader = "X-Request-Id";

[[nodiscard]] std::string requestIdOf(const outbound_request &request)
{
    const auto found = std::ranges::find(request.headers, requestIdHeader,
                                         [](const auto &header) { return header.first; });
    return found == request.headers.end() ? std::string() : found->second;
}

/// \param outbound its body is moved out
[[nodiscard]] net::outgoing_request outgoingRequestOf(const std::string &address,
                                                      outbound_request &&outbound,
                                                      nanoseconds timeLeft,
                                                      std::function<void()> onConnected)
{
    net::outgoing_request request;
    request.address = address;
    request.method = outbound.method;
    request.target = outbound.path;
    request.body = std::move(outbound.body);
    request.freshConnection = outbound.freshConnection;
    request.requestId = requestIdOf(outbound);
    request.requestLifetime = timeLeft;
    request.timeLeftHeader = outbound.timeLeftHeader;
    request.onConnected = std::move(onConnected);
    for (const auto &[name, value] : outbound.headers)
        request.headers.push_back({name, value});
    if (!outbound.contentType.empty())
        request.headers.push_back({"Content-Type", outbound.contentType});
    return request;
}

/// Most bytes of incomplete answers that the attempts of one loop hold together. An endpoint may
/// send bytes without end, and several may do so at once.
constexpr std::size_t maxHeldBytes = 32U << 20U;
/// An attempt that holds less than this is never ended for the bytes that others hold.
constexpr std::size_t unlimitedHeldBytes = 64U << 10U;

[[nodiscard]] bool reportsFailure(const std::vector<event> &events)
{
    return std::ranges::any_of(
            events, [](const event &one) { return std::holds_alternative<attempt_failed>(one); });
}

[[nodiscard]] std::string valueOf(const net::header_list &headers, std::string_view name)
{
    const std::string *value = findHeader(headers, name);
    return value ? *value : std::string();
}

} // namespace

answer_head answerHeadOf(int status, const net::header_list &headers)
{
    answer_head head;
    head.status = status;
    head.requestId = valueOf(headers, requestIdHeader);
    head.contentType = valueOf(headers, "Content-Type");
    head.retryAfter = parseRetryAfter(valueOf(headers, "Retry-After")).value_or(nanoseconds{});
    head.headers = headers;
    return head;
}

class endpoint_client::exchange final : public endpoint_exchange,
                                        public net::answer_receiver,
                                        public std::enable_shared_from_this<exchange>
{
public:
    exchange(endpoint_client &client, endpoint_attempt attempt)
        : m_client(client)
        , m_attempt(std::move(attempt))
        , m_heldByAll(client.m_heldBytes)
    { }

    ~exchange() override { releaseHeldBytes(); }

    void cancel() override
    {
        countAnswer(0);
        m_cancelled = true;
        releaseHeldBytes();
        if (const auto call = std::exchange(m_call, nullptr))
            call->cancel();
        releasePrefill();
    }

    /// A failed prefill does not fail the attempt: the endpoint then prefills the prompt itself.
    void begin()
    {
        if (m_attempt.prefillAddress.empty())
            return sendRequest();
        m_call = m_client.call(
                m_attempt.prefillAddress, m_attempt.prefillRequest, m_attempt.prefillTimeout,
                m_attempt.timeLeft,
                [self = shared_from_this()](const net::buffered_answer &answer) {
                    self->onPrefillAnswer(answer);
                },
                m_attempt.checkBeforePrefill);
    }

    void onPrefillAnswer(const net::buffered_answer &answer)
    {
        m_call.reset();
        if (auto prefilled = m_attempt.parsePrefill(answer)) {
            m_attempt.request.headers.push_back(std::move(prefilled->header));
            m_prefillRelease = std::move(prefilled->release);
        }
        if (m_attempt.checkCaller && !m_cancelled)
            m_attempt.checkCaller();
        if (m_cancelled)
            releasePrefill();
        else
            sendRequest();
    }

    [[nodiscard]] verdict head(const net::response_head &response) override
    {
        if (response.status < firstUnsuccessfulStatus)
            m_prefillRelease.reset(); // the endpoint has fetched the prefilled prompt
        answer_head head = answerHeadOf(response.status, response.headers);
        head.delimited = response.bounded;
        head.firstOnConnection = response.firstOnConnection;
        std::vector<event> events;
        const head_decision decision = m_attempt.reader->head(head, events);
        if (m_attempt.onTaken && decision == head_decision::Take)
            m_attempt.onTaken(head, *m_attempt.reader);
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

    /// What a reader holds that needs no more is freed, since the session may wait long for another
    /// attempt.
    [[nodiscard]] bool body(std::string_view bytes) override
    {
        const bool goesOn = read(bytes);
        if (!goesOn)
            m_attempt.reader.reset();
        return goesOn;
    }

    [[nodiscard]] bool read(std::string_view bytes)
    {
        std::vector<event> events;
        const bool wantsMore = m_attempt.reader->feed(bytes, events);
        const std::size_t held = m_attempt.reader->heldBytes();
        countAnswer(reportsFailure(events) ? 0 : held);
        deliver(std::move(events));
        if (m_cancelled)
            return false;
        if (!wantsMore || mayHold(held))
            return wantsMore;
        releaseHeldBytes();
        fail(attempt_failure::InvalidAnswer);
        return false;
    }

    void ended(net::call_end outcome) override
    {
        m_call.reset();
        releasePrefill();
        releaseHeldBytes();
        std::vector<event> events;
        const bool whole = outcome == net::call_end::Whole && !m_attempt.reader->insidePiece();
        if (whole) {
            m_attempt.reader->end(events);
            if (reportsFailure(events))
                countAnswer(0);
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
        if (m_cancelled)
            return;
        net::outgoing_request request
                = outgoingRequestOf(m_attempt.address, std::move(m_attempt.request),
                                    m_attempt.timeLeft, m_attempt.checkCaller);
        if (!m_attempt.prefillAddress.empty())
            net::shortenLifetime(request, std::chrono::steady_clock::now() - m_startedAt);
        m_call = m_client.m_client.start(std::move(request), shared_from_this());
    }

    /// Frees a prefilled prompt that the endpoint has not fetched.
    void releasePrefill()
    {
        if (const auto call = std::exchange(m_prefillRelease, std::nullopt))
            m_client.callIgnoringAnswer(m_attempt.prefillAddress, *call);
    }

    /// \returns whether the attempt may hold this many bytes of an incomplete answer.
    [[nodiscard]] bool mayHold(std::size_t bytes) noexcept
    {
        *m_heldByAll += bytes - std::exchange(m_heldBytes, bytes);
        return bytes <= unlimitedHeldBytes || *m_heldByAll <= maxHeldBytes;
    }

    void releaseHeldBytes() noexcept { static_cast<void>(mayHold(0)); }

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
        m_attempt.reader.reset();
        countAnswer(0);
        std::vector<event> events;
        events.emplace_back(attempt_failed{m_attempt.attempt, failure, {}});
        deliver(std::move(events));
    }

    /// A whole answer stays counted until it has been sent to the caller.
    void countAnswer(std::size_t bytes)
    {
        if (m_attempt.holdAnswer && !m_cancelled)
            m_attempt.holdAnswer(bytes);
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
    std::shared_ptr<std::size_t> m_heldByAll;
    std::size_t m_heldBytes = 0; ///< of this attempt, counted in m_heldByAll
    std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
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
                      milliseconds timeout, nanoseconds timeLeft,
                      std::function<void(net::buffered_answer)> done,
                      std::function<void()> onConnected)
{
    return net::callBuffered(
            m_client, m_loop,
            outgoingRequestOf(address, outbound_request(request), timeLeft, std::move(onConnected)),
            timeout, std::move(done));
}

void endpoint_client::callIgnoringAnswer(const std::string &address,
                                         const outbound_request &request)
{
    static_cast<void>(call(address, request, shortCallTimeout, shortCallTimeout,
                           [](const net::buffered_answer &) {}));
}

} // namespace yuccascale::http

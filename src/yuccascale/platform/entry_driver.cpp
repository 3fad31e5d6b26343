#include "yuccascale/kernel/requests/endpoint_driver.hpp"
#include "yuccascale/kernel/requests/relay_grant.hpp"
#include "yuccascale/platform/names.hpp"

#include <algorithm>
#include <array>

/// \file
/// \brief Endpoint driver "platform entry": passes a request on to another entry.

namespace yuccascale::platform {

namespace {

using namespace kernel::requests;

/// Statuses of an entry's own answers which promise that the request has not run.
constexpr std::array notRunStatuses{408, 421, 429, 503};
constexpr int firstServerErrorStatus = 500;
/// Left of the caller's time when the other entry gives up, so that its answer arrives.
constexpr kernel::milliseconds returnMargin{20};

[[nodiscard]] bool promisesNotRun(int status) noexcept
{
    return std::ranges::find(notRunStatuses, status) != notRunStatuses.end();
}

/// Reads the answer of a server as the server's own driver does, and that of the other entry by its
/// status.
class entry_answer_reader final : public answer_reader
{
public:
    entry_answer_reader(std::unique_ptr<answer_reader> serverReader, std::string requestId,
                        int attempt)
        : m_serverReader(std::move(serverReader))
        , m_requestId(std::move(requestId))
        , m_attempt(attempt)
    { }

    [[nodiscard]] head_decision head(const answer_head &head, std::vector<event> &out) override
    {
        if (!head.requestId.empty() && head.requestId != m_requestId)
            return head_decision::Skip;
        m_head = head;
        m_fromServer = findHeader(head.headers, headers::signature) != nullptr;
        return m_fromServer ? m_serverReader->head(head, out) : head_decision::Take;
    }

    [[nodiscard]] bool feed(std::string_view bytes, std::vector<event> &out) override
    {
        if (m_fromServer)
            return m_serverReader->feed(bytes, out);
        m_body += bytes;
        return true;
    }

    void end(std::vector<event> &out) override
    {
        if (m_fromServer)
            return m_serverReader->end(out);
        if (std::exchange(m_done, true))
            return;
        const int status = m_head.status;
        const bool ownAnswer = !m_head.requestId.empty() || m_head.firstOnConnection;
        if (ownAnswer && findHeader(m_head.headers, relayUnreachedHeader) != nullptr)
            return fail(attempt_failure::NeverSent, out);
        if (ownAnswer && promisesNotRun(status))
            return fail(attempt_failure::ReportedNotRun, out);
        if (promisesNotRun(status))
            return fail(attempt_failure::InvalidAnswer, out);
        if (status >= firstServerErrorStatus)
            return fail(attempt_failure::Broken, out);
        out.emplace_back(
                answer_arrived{m_attempt, {status, {}, std::move(m_body), m_head.headers}, {}});
    }

    [[nodiscard]] bool insidePiece() const noexcept override
    {
        return m_fromServer && m_serverReader->insidePiece();
    }

    [[nodiscard]] bool done() const noexcept override
    {
        return m_fromServer ? m_serverReader->done() : m_done;
    }

    [[nodiscard]] std::size_t heldBytes() const noexcept override
    {
        return m_body.size() + m_serverReader->heldBytes();
    }

private:
    void fail(attempt_failure failure, std::vector<event> &out)
    {
        out.emplace_back(attempt_failed{m_attempt, failure, m_head.retryAfter});
    }

    std::unique_ptr<answer_reader> m_serverReader;
    std::string m_requestId;
    int m_attempt;
    answer_head m_head;
    std::string m_body; ///< of the other entry's own answer
    bool m_fromServer = false;
    bool m_done = false;
};

class entry_driver final : public endpoint_driver
{
public:
    entry_driver()
        : m_serverDriver(endpoint_driver_registry::make("platform").value())
    { }

    [[nodiscard]] outbound_request prepare(const request &callerRequest,
                                           const attempt_context &context) const override
    {
        outbound_request outbound;
        outbound.method = callerRequest.method;
        outbound.path = callerRequest.path;
        outbound.body = callerRequest.body;
        // a connection that the other entry may be closing would leave the outcome unknown
        outbound.freshConnection = !callerRequest.route.idempotent;
        for (const header_field &field : callerRequest.headers)
            outbound.headers.emplace_back(field.name, field.value);
        const auto addHeader = [&](std::string_view name, std::string value) {
            outbound.headers.emplace_back(std::string(name), std::move(value));
        };
        const auto left = std::chrono::floor<kernel::milliseconds>(context.timeLeft) - returnMargin;
        addHeader(headers::timeLeft, std::to_string(std::max<std::int64_t>(left.count(), 1)));
        if (!callerRequest.credential.empty())
            addHeader(headers::authorization, callerRequest.credential);
        if (!context.lastPieceId.empty())
            addHeader(headers::lastEventId, context.lastPieceId);
        return outbound;
    }

    [[nodiscard]] std::unique_ptr<answer_reader>
    reader(const request &callerRequest, const attempt_context &context) const override
    {
        return std::make_unique<entry_answer_reader>(m_serverDriver->reader(callerRequest, context),
                                                     callerRequest.id, context.attempt);
    }

    /// The other entry decides where the prompt is prefilled.
    [[nodiscard]] outbound_request preparePrefill(const request &callerRequest,
                                                  const attempt_context &context) const override
    {
        return prepare(callerRequest, context);
    }

    [[nodiscard]] std::optional<prefilled_prompt>
    readPrefillAnswer(std::string_view, const answer_head &, std::string_view,
                      const std::string &) const override
    {
        return std::nullopt;
    }

    /// The other entry stops the request when its connection is closed.
    [[nodiscard]] std::optional<outbound_request> cancel(const request &) const override
    {
        return std::nullopt;
    }

    [[nodiscard]] kernel::result<endpoint_report> loadReport(kernel::instant,
                                                             std::string_view) const override
    {
        return kernel::fail(kernel::error_kind::NotFound, "load report",
                            "an entry has no load report; ask the endpoints");
    }

private:
    std::unique_ptr<endpoint_driver> m_serverDriver;
};

const endpoint_driver_registry::registration addEntry{
        "platform entry", [] { return std::make_unique<entry_driver>(); }};

} // namespace

} // namespace yuccascale::platform

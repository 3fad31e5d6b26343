#include "yuccascale/plugins/endpoint_load.hpp"

/// \file
/// \brief Driver for plain services. Calls are passed through unchanged.

namespace yuccascale::plugins {

namespace {

using namespace kernel::requests;

/// Largest answer of a service that an entry buffers.
constexpr std::size_t maxAnswerBytes = 8U << 20U;

class service_answer_reader final : public answer_reader
{
public:
    service_answer_reader(std::string requestId, int attempt)
        : m_requestId(std::move(requestId))
        , m_attempt(attempt)
    { }

    [[nodiscard]] head_decision head(const answer_head &head, std::vector<event> &out) override
    {
        m_head = head;
        if (head.requestId == m_requestId && head.delimited)
            return head_decision::Take;
        fail(attempt_failure::InvalidAnswer, out);
        return head_decision::Stop;
    }

    [[nodiscard]] bool feed(std::string_view bytes, std::vector<event> &out) override
    {
        if (m_body.size() + bytes.size() > maxAnswerBytes) {
            fail(attempt_failure::InvalidAnswer, out);
            return false;
        }
        m_body += bytes;
        return true;
    }

    void end(std::vector<event> &out) override
    {
        if (m_done)
            return;
        if (reportsNotRun(m_head.status, m_body)) {
            fail(attempt_failure::ReportedNotRun, out);
            return;
        }
        m_done = true;
        out.emplace_back(answer_arrived{
                m_attempt, {m_head.status, m_head.contentType, std::move(m_body), {}}, {}});
    }

    [[nodiscard]] bool done() const noexcept override { return m_done; }

    [[nodiscard]] std::size_t heldBytes() const noexcept override { return m_body.size(); }

private:
    void fail(attempt_failure failure, std::vector<event> &out)
    {
        m_done = true;
        out.emplace_back(attempt_failed{m_attempt, failure, m_head.retryAfter});
    }

    std::string m_requestId;
    int m_attempt;
    answer_head m_head;
    std::string m_body;
    bool m_done = false;
};

class plain_service_driver final : public endpoint_driver
{
public:
    [[nodiscard]] outbound_request prepare(const request &callerRequest,
                                           const attempt_context &context) const override
    {
        outbound_request outbound;
        outbound.method = callerRequest.method;
        outbound.path = callerRequest.path;
        outbound.contentType = callerRequest.contentType;
        outbound.body = callerRequest.body;
        outbound.headers.emplace_back("X-Request-Id", callerRequest.endpointId);
        const auto timeLeft = std::chrono::ceil<kernel::milliseconds>(context.timeLeft);
        outbound.timeLeftHeader = "X-Deadline-Ms";
        outbound.headers.emplace_back(outbound.timeLeftHeader, std::to_string(timeLeft.count()));
        if (!callerRequest.idempotencyKey.empty())
            outbound.headers.emplace_back("Idempotency-Key", callerRequest.idempotencyKey);
        if (!callerRequest.organisation.empty())
            outbound.headers.emplace_back("X-Organisation", callerRequest.organisation);
        outbound.freshConnection = !callerRequest.route.idempotent;
        return outbound;
    }

    [[nodiscard]] std::unique_ptr<answer_reader>
    reader(const request &callerRequest, const attempt_context &context) const override
    {
        return std::make_unique<service_answer_reader>(callerRequest.endpointId, context.attempt);
    }

    /// Services have no prompts, so this is a plain request.
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

    [[nodiscard]] std::optional<outbound_request> cancel(const request &) const override
    {
        return std::nullopt;
    }

    [[nodiscard]] kernel::result<endpoint_report> loadReport(kernel::instant receivedAt,
                                                             std::string_view body) const override
    {
        return readLoadReport(receivedAt, body);
    }
};

const endpoint_driver_registry::registration addService{
        "service", [] { return std::make_unique<plain_service_driver>(); }};

} // namespace

} // namespace yuccascale::plugins

#include "yuccascale/kernel/json_text.hpp"
#include "yuccascale/kernel/requests/event_stream.hpp"
#include "yuccascale/plugins/endpoint_load.hpp"

#include <algorithm>

/// \file
/// \brief Driver for model engines with a chat and completion interface.

namespace yuccascale::plugins {

namespace {

using kernel::json;
using namespace kernel::requests;

constexpr int statusOk = 200;
/// Largest unstreamed answer and largest error body.
constexpr std::size_t maxAnswerBytes = 8U << 20U;

[[nodiscard]] token_usage usageFrom(const json &document)
{
    const json usage = document.value("usage", json::object());
    return {usage.value("prompt_tokens", std::int64_t{0}),
            usage.value("cached_tokens", std::int64_t{0}),
            usage.value("completion_tokens", std::int64_t{0})};
}

/// Parses streamed and unstreamed answers, and the bodies of refusals.
class engine_answer_reader final : public answer_reader
{
public:
    engine_answer_reader(const request &callerRequest, const attempt_context &context)
        : m_endpointId(callerRequest.endpointId)
        , m_callerId(callerRequest.id)
        , m_streamed(callerRequest.streamed)
        , m_attempt(context.attempt)
        , m_resumeFrom(context.resumeFrom)
        , m_pieceCount(context.resumeFrom)
    { }

    [[nodiscard]] head_decision head(const answer_head &head, std::vector<event> &out) override
    {
        m_head = head;
        if (head.requestId == m_endpointId && head.delimited)
            return head_decision::Take;
        fail(attempt_failure::InvalidAnswer, out);
        return head_decision::Stop;
    }

    [[nodiscard]] bool feed(std::string_view bytes, std::vector<event> &out) override
    {
        if (m_streamed && m_head.status == statusOk)
            return feedStreamed(bytes, out);
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
        if (reportsNotRun(m_head.status, m_body))
            fail(attempt_failure::ReportedNotRun, out);
        else if (m_streamed && m_head.status == statusOk)
            fail(attempt_failure::InvalidAnswer, out); // the stream ended without its finish piece
        else
            finishUnstreamed(out);
    }

    [[nodiscard]] bool done() const noexcept override { return m_done; }

    [[nodiscard]] std::size_t heldBytes() const noexcept override
    {
        return m_body.size() + m_events.pending();
    }

private:
    void finishUnstreamed(std::vector<event> &out)
    {
        const bool serverFault = m_head.status >= 500;
        json document = json::parse(m_body, nullptr, false);
        if (serverFault || !document.is_object()) {
            fail(serverFault ? attempt_failure::Broken : attempt_failure::InvalidAnswer, out);
            return;
        }
        if (m_head.status == statusOk && !acceptUnstreamed(document)) {
            fail(attempt_failure::InvalidAnswer, out);
            return;
        }
        m_done = true;
        if (document.contains("id"))
            document["id"] = m_callerId;
        out.emplace_back(
                answer_arrived{m_attempt,
                               {m_head.status, m_head.contentType, kernel::toText(document), {}},
                               m_usage});
    }

    [[nodiscard]] bool acceptUnstreamed(const json &document)
    {
        if (document.value("id", json()) != json(m_endpointId) || !document.contains("usage")
            || !document.contains("choices"))
            return false;
        try {
            m_usage = usageFrom(document);
        } catch (const json::exception &) {
            return false;
        }
        return true;
    }

    [[nodiscard]] bool feedStreamed(std::string_view bytes, std::vector<event> &out)
    {
        for (const std::string &data : m_events.feed(bytes)) {
            if (m_done)
                return true; // "[DONE]" follows the finish piece
            if (!handlePiece(data, out)) {
                fail(attempt_failure::InvalidAnswer, out);
                return false;
            }
        }
        if (m_events.pending() <= maxAnswerBytes)
            return true;
        fail(attempt_failure::InvalidAnswer, out);
        return false;
    }

    [[nodiscard]] bool handlePiece(const std::string &data, std::vector<event> &out)
    {
        json piece = json::parse(data, nullptr, false);
        if (!piece.is_object() || piece.value("id", json()) != json(m_endpointId))
            return false;
        piece["id"] = m_callerId;
        try {
            if (piece.value("finish", false))
                return handleFinish(piece, out);
            const auto index = piece.at("index").get<std::int64_t>();
            m_pieceCount = std::max(m_pieceCount, index + 1);
            out.emplace_back(piece_arrived{m_attempt, index, kernel::toText(piece)});
        } catch (const json::exception &) {
            return false;
        }
        return true;
    }

    /// Each piece holds one token. Engines count the tokens of this attempt or of the whole answer.
    [[nodiscard]] bool handleFinish(const json &piece, std::vector<event> &out)
    {
        const token_usage usage = usageFrom(piece);
        const std::int64_t tokens = usage.completionTokens;
        if (tokens != m_pieceCount && tokens != m_pieceCount - m_resumeFrom)
            return false;
        out.emplace_back(stream_finished{m_attempt, usage, kernel::toText(piece)});
        m_done = true;
        return true;
    }

    void fail(attempt_failure failure, std::vector<event> &out)
    {
        if (m_done)
            return;
        m_done = true;
        out.emplace_back(attempt_failed{m_attempt, failure, m_head.retryAfter});
    }

    std::string m_endpointId;
    std::string m_callerId;
    bool m_streamed;
    int m_attempt;
    std::int64_t m_resumeFrom;
    std::int64_t m_pieceCount; ///< pieces of the whole answer received so far
    answer_head m_head;
    sse_data_parser m_events;
    std::string m_body;
    token_usage m_usage;
    bool m_done = false;
};

class model_engine_driver final : public endpoint_driver
{
public:
    [[nodiscard]] outbound_request prepare(const request &callerRequest,
                                           const attempt_context &context) const override
    {
        outbound_request outbound;
        outbound.method = "POST";
        outbound.path = callerRequest.path;
        outbound.contentType = "application/json";
        outbound.body = callerRequest.body;
        outbound.headers.emplace_back("X-Request-Id", callerRequest.endpointId);
        outbound.headers.emplace_back("X-Priority", std::to_string(callerRequest.route.priority));
        const auto timeLeft = std::chrono::ceil<kernel::milliseconds>(context.timeLeft);
        outbound.timeLeftHeader = "X-Deadline-Ms";
        outbound.headers.emplace_back(outbound.timeLeftHeader, std::to_string(timeLeft.count()));
        if (context.resumeFrom > 0)
            outbound.headers.emplace_back("X-Resume-From", std::to_string(context.resumeFrom));
        outbound.freshConnection = !callerRequest.route.idempotent;
        return outbound;
    }

    [[nodiscard]] std::unique_ptr<answer_reader>
    reader(const request &callerRequest, const attempt_context &context) const override
    {
        return std::make_unique<engine_answer_reader>(callerRequest, context);
    }

    [[nodiscard]] outbound_request preparePrefill(const request &callerRequest,
                                                  const attempt_context &context) const override
    {
        outbound_request outbound = prepare(callerRequest, context);
        outbound.headers.emplace_back("X-Prefill-Only", "1");
        return outbound;
    }

    [[nodiscard]] std::optional<prefilled_prompt>
    readPrefillAnswer(std::string_view endpointId, const answer_head &head, std::string_view,
                      const std::string &address) const override
    {
        if (head.status != statusOk || head.requestId != endpointId)
            return std::nullopt;
        return prefilled_prompt{{"X-Kv-From", address}, std::nullopt};
    }

    [[nodiscard]] std::optional<outbound_request>
    cancel(const request &callerRequest) const override
    {
        outbound_request outbound;
        outbound.method = "POST";
        outbound.path = "/v1/cancel/" + callerRequest.endpointId;
        return outbound;
    }

    [[nodiscard]] kernel::result<endpoint_report> loadReport(kernel::instant receivedAt,
                                                             std::string_view body) const override
    {
        return readLoadReport(receivedAt, body);
    }
};

const endpoint_driver_registry::registration addEngine{
        "engine", [] { return std::make_unique<model_engine_driver>(); }};

} // namespace

} // namespace yuccascale::plugins

#include "fakes/load_caller.hpp"

#include "fakes/answer_text.hpp"
#include "fakes/history.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <set>
#include <thread>

namespace yuccascale::fakes {

using kernel::json;

namespace {

constexpr double retryPauseMs = 100;

double steadyMs()
{
    using namespace std::chrono;
    return duration<double, std::milli>(steady_clock::now().time_since_epoch()).count();
}

/// Whether a retry of the same request cannot succeed after an error of this kind.
bool isFinal(const std::string &kind)
{
    static const std::set<std::string> kinds{"invalid_argument", "unauthorized", "forbidden",
                                             "not_found", "deadline_exceeded"};
    return kinds.contains(kind);
}

} // namespace

std::string_view outcomeName(caller_outcome outcome) noexcept
{
    static constexpr std::array<std::string_view, 5> names{"whole", "not_run", "unknown", "lost",
                                                           "wrong"};
    return names.at(static_cast<std::size_t>(outcome));
}

load_caller::load_caller(const load_plan &plan, const planned_request &request,
                         address_book &addresses)
    : m_plan(plan)
    , m_request(request)
    , m_addresses(addresses)
    , m_startMs(steadyMs())
{ }

double load_caller::elapsedMs() const
{
    return steadyMs() - m_startMs;
}

caller_result load_caller::run()
{
    const auto deadline = static_cast<double>(m_plan.deadlineMs);
    step next = step::RetryNow;
    while (next != step::Ended && elapsedMs() < deadline) {
        next = attempt();
        const double pause = next == step::RetryLater ? m_retryAfterMs : retryPauseMs;
        if (next == step::Ended || elapsedMs() + pause >= deadline)
            break;
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(pause));
    }
    m_result.totalMs = elapsedMs();
    if (m_result.outcome != caller_outcome::Complete && m_result.outcome != caller_outcome::Wrong)
        m_result.outcome = unansweredOutcome();
    return m_result;
}

caller_outcome load_caller::unansweredOutcome() const
{
    if (m_outcomeUnknown)
        return caller_outcome::Unknown;
    return m_lastRefusedNotRun && !m_mayHaveRun ? caller_outcome::NotRun : caller_outcome::Lost;
}

http_call load_caller::makeCall(const std::string &address)
{
    const load_organisation &organisation = m_plan.organisations[m_request.organisation];
    http_call call;
    call.address = address;
    call.method = "POST";
    call.headers.emplace("Authorization", "Bearer " + organisation.key);
    call.headers.emplace("X-Request-Id", m_request.id);
    call.headers.emplace("Content-Type", "application/json");
    call.timeoutMs
            = std::max(1, static_cast<int>(static_cast<double>(m_plan.deadlineMs) - elapsedMs()));
    if (m_request.service) {
        call.path = "/s/" + m_plan.serviceRoute + "/tickets";
        call.headers.emplace("Idempotency-Key", m_request.id);
        call.body = json{{"member", m_request.id}}.dump();
        return call;
    }
    call.path = "/v1/chat/completions";
    call.body = json{{"model", m_plan.modelRoute},
                     {"stream", true},
                     {"max_tokens", m_request.outputTokens},
                     {"messages", {{{"role", "user"}, {"content", m_request.prompt}}}}}
                        .dump();
    if (!m_resumeToken.empty() && m_pieces > 0) {
        call.headers.emplace("X-Resume-Token", m_resumeToken);
        call.headers.emplace("X-Resume-From", std::to_string(m_pieces));
        ++m_result.resumes;
    }
    call.onPiece = [this](const http_answer &head, std::string_view bytes) {
        return handleBytes(head, bytes);
    };
    return call;
}

load_caller::step load_caller::attempt()
{
    const std::string address = m_addresses.choose();
    ++m_result.attempts;
    m_unparsedBytes.clear();
    m_streamError = nullptr;
    if (m_resumeToken.empty()) { // cannot resume; starts from the first piece
        m_text.clear();
        m_pieces = 0;
    }
    const http_answer answer = callHttp(makeCall(address));
    if (answer.status == 0) {
        m_addresses.markFailed(address);
        m_mayHaveRun = m_mayHaveRun || answer.connected;
        m_result.lastProblem = answer.connected ? "no answer" : "no connection";
        return step::RetryNow;
    }
    const step next = m_request.service ? evaluateService(answer) : evaluateStream(answer);
    if (next != step::Ended)
        m_addresses.markFailed(address);
    return next;
}

load_caller::step load_caller::evaluateStream(const http_answer &answer)
{
    if (answer.status != 200)
        return handleError(json::parse(m_unparsedBytes, nullptr, false));
    if (m_streamError.is_object())
        return handleError(m_streamError);
    if (m_finished) {
        const bool correct
                = m_text == answerText(promptHash(m_request.prompt), m_request.outputTokens);
        m_result.outcome = correct ? caller_outcome::Complete : caller_outcome::Wrong;
        return step::Ended;
    }
    m_mayHaveRun = true;
    m_result.lastProblem = "stream broke off";
    return step::RetryNow;
}

load_caller::step load_caller::evaluateService(const http_answer &answer)
{
    const json body = json::parse(answer.body, nullptr, false);
    if (answer.status != 200)
        return handleError(body);
    if (!answer.complete || !body.is_object()) {
        m_mayHaveRun = true;
        m_result.lastProblem = "answer broke off";
        return step::RetryNow;
    }
    const bool correct = body.value("idempotency_key", "") == m_request.id;
    m_result.outcome = correct ? caller_outcome::Complete : caller_outcome::Wrong;
    m_result.firstTokenMs = elapsedMs();
    return step::Ended;
}

load_caller::step load_caller::handleError(const json &problem)
{
    if (!problem.is_object() || !problem.contains("error") || !problem["error"].is_object()) {
        m_mayHaveRun = true;
        m_result.lastProblem = "error without a kind";
        return step::RetryNow;
    }
    const json &fields = problem["error"];
    const std::string kind = fields.value("kind", "");
    m_result.lastProblem = kind;
    m_retryAfterMs = fields.value("retry_after_ms", retryPauseMs);
    const bool mayHaveRun = fields.value("may_have_run", true);
    m_lastRefusedNotRun = !mayHaveRun;
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    m_outcomeUnknown = mayHaveRun && (m_request.service || kind == "outcome_unknown");
    if (kind == "outcome_unknown" || isFinal(kind))
        return step::Ended;
    return step::RetryLater;
}

bool load_caller::handleBytes(const http_answer &head, std::string_view bytes)
{
    m_unparsedBytes += bytes;
    if (head.status != 200)
        return true;
    if (const std::string token = head.header("x-resume-token"); !token.empty())
        m_resumeToken = token;
    for (std::size_t end = m_unparsedBytes.find("\n\n"); end != std::string::npos;
         end = m_unparsedBytes.find("\n\n")) {
        const std::string event = m_unparsedBytes.substr(0, end);
        m_unparsedBytes.erase(0, end + 2);
        if (!event.starts_with("data: "))
            continue;
        const json piece = json::parse(event.substr(6), nullptr, false);
        if (piece.is_object())
            handlePiece(piece);
    }
    return true;
}

void load_caller::handlePiece(const json &piece)
{
    if (piece.contains("error")) {
        m_streamError = piece;
        return;
    }
    if (piece.value("finish", false)) {
        m_finished = true;
        return;
    }
    const double now = elapsedMs();
    if (m_pieces == 0)
        m_result.firstTokenMs = now;
    else
        m_result.gapsMs.push_back(now - m_lastPieceMs);
    m_lastPieceMs = now;
    m_mayHaveRun = true;
    ++m_pieces;
    m_text += piece["choices"][0]["delta"].value("content", "");
}

} // namespace yuccascale::fakes

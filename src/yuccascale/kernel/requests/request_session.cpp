#include "yuccascale/kernel/requests/request_session.hpp"

#include "yuccascale/kernel/requests/events.hpp"

#include <utility>

namespace yuccascale::kernel::requests {

namespace {

[[nodiscard]] std::int64_t wholeMs(nanoseconds time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

} // namespace

request_session::request_session(request subject, std::uint64_t ticket, const std::string &entry,
                                 session_ports &ports, event_sink &events)
    : m_life(std::move(subject))
    , m_ticket(ticket)
    , m_claimOperation("claim/" + entry + "/" + std::to_string(ticket))
    , m_ports(ports)
    , m_events(events)
{ }

void request_session::begin()
{
    performAll(m_life.start(m_ports.now(), m_ports.checkStart(subject())));
}

void request_session::takeTurn(scheduled_turn turn)
{
    m_turn = std::move(turn);
    if (m_life.state() != request_state::Queued) {
        perform(release_turn{});
        return;
    }
    handle(turn_came{m_turn->endpoint, m_turn->zone, m_ports.checkStart(subject())});
}

void request_session::handle(event happened)
{
    if (auto *answered = std::get_if<claim_answered>(&happened))
        answered->check = m_ports.checkStart(subject());
    note(happened);
    performAll(m_life.handle(m_ports.now(), happened));
}

/// Tells the pool how the attempt went, before the request's own decision.
void request_session::note(const event &happened)
{
    if (const auto *piece = std::get_if<piece_arrived>(&happened)) {
        if (piece->attempt != m_life.attempt() || m_firstPieceAt)
            return;
        m_firstPieceAt = m_ports.now();
        m_ports.firstPiece(m_ticket, subject());
    } else if (const auto *finished = std::get_if<stream_finished>(&happened)) {
        noteAnswer(finished->attempt, finished->usage);
    } else if (const auto *arrived = std::get_if<answer_arrived>(&happened)) {
        noteAnswer(arrived->attempt, arrived->usage);
    } else if (const auto *failed = std::get_if<attempt_failed>(&happened)) {
        noteFailure(*failed);
    }
}

void request_session::noteAnswer(int attempt, const token_usage &usage)
{
    if (attempt != m_life.attempt())
        return;
    attempt_result result;
    result.answered = true;
    result.usage = usage;
    finishTurn(result);
}

void request_session::noteFailure(const attempt_failed &failed)
{
    if (failed.attempt != m_life.attempt() || !m_turn)
        return;
    m_events.record(failed.how == attempt_failure::Doubtful ? answerDoubtful : attemptFailed,
                    {{"request_id", subject().id},
                     {"endpoint", m_turn->endpoint},
                     {"attempt", failed.attempt},
                     {"failure", attemptFailureName(failed.how)}});
    attempt_result result;
    result.crashed = failed.how == attempt_failure::Crashed;
    result.unreachable = failed.how == attempt_failure::NeverSent;
    result.replaced = failed.how == attempt_failure::Replaced;
    result.blameless
            = failed.how == attempt_failure::SaidNotRun || failed.how == attempt_failure::Answered;
    finishTurn(result);
}

void request_session::finishTurn(attempt_result result)
{
    if (!m_turn)
        return;
    const std::string endpoint = m_turn->endpoint;
    m_turn.reset();
    const instant now = m_ports.now();
    result.firstToken = m_firstPieceAt.value_or(now) - m_sentAt;
    result.whole = now - m_sentAt;
    const finish_findings findings = m_ports.finish(m_ticket, subject(), result);
    if (result.crashed)
        m_events.record(endpointCrashed, {{"endpoint", endpoint}});
    if (findings.breakerOpened)
        m_events.record(endpointSick, {{"endpoint", endpoint}});
    if (findings.breakerClosed)
        m_events.record(endpointRecovered, {{"endpoint", endpoint}});
    if (findings.guiltyFingerprint.empty())
        return;
    m_events.record(requestGuilty,
                    {{"fingerprint", findings.guiltyFingerprint},
                     {"route", subject().route.name},
                     {"endpoint", endpoint}});
    m_ports.ban(subject(), findings.guiltyFingerprint);
}

void request_session::performAll(const std::vector<action> &actions)
{
    for (const action &next : actions)
        std::visit([this](const auto &kind) { perform(kind); }, next);
}

void request_session::perform(const enqueue &how)
{
    if (how.retry && m_ports.checkStart(subject()) == start_check::Banned) {
        handle(found_guilty{});
        return;
    }
    m_events.record(requestQueued,
                    {{"request_id", subject().id},
                     {"pool", subject().route.pool},
                     {"retry", static_cast<int>(how.retry)},
                     {"suspect", static_cast<int>(how.suspect)}});
    auto refused = m_ports.push(m_ticket, subject(), how);
    if (refused)
        handle(queue_refused{std::move(*refused)});
}

void request_session::perform(const dequeue &)
{
    m_ports.remove(m_ticket, subject());
}

void request_session::perform(const release_turn &)
{
    attempt_result unused;
    unused.blameless = true;
    finishTurn(unused);
}

void request_session::perform(const submit_claim &)
{
    m_ports.claim(subject(), m_claimOperation);
}

void request_session::perform(const withdraw_claim &)
{
    m_ports.withdraw(subject(), m_claimOperation);
}

void request_session::perform(const dispatch &sent)
{
    m_sentAt = m_ports.now();
    m_firstPieceAt.reset();
    m_events.record(requestRouted,
                    {{"request_id", subject().id},
                     {"route", subject().route.name},
                     {"organisation", subject().organisation},
                     {"endpoint", m_turn->endpoint},
                     {"zone", m_turn->zone},
                     {"attempt", sent.attempt},
                     {"resume_from", sent.resumeFrom},
                     {"prefill", m_turn->prefillEndpoint},
                     {"fetched_from", m_turn->cacheEndpoint},
                     {"waited_ms", wholeMs(m_sentAt - subject().receivedAt)},
                     {"predicted_first_ms", wholeMs(m_turn->predictedFirstToken)},
                     {"cached_tokens", m_turn->cachedTokens},
                     {"backlog_tokens", m_turn->backlogTokens},
                     {"reported_requests", m_turn->reported},
                     {"report_age_ms", wholeMs(m_turn->reportAge)},
                     {"reason", m_turn->reason}});
    m_ports.send(subject(), *m_turn, sent);
}

void request_session::perform(const cancel &stopped)
{
    m_events.record(requestCancelled,
                    {{"request_id", subject().id},
                     {"endpoint", stopped.endpoint},
                     {"attempt", stopped.attempt}});
    if (m_turn)
        m_ports.stop(subject(), *m_turn);
    attempt_result unfinished;
    unfinished.blameless = !stopped.doubtful;
    finishTurn(unfinished);
}

void request_session::perform(const begin_stream &began)
{
    m_ports.give(began);
}

void request_session::perform(const forward &piece)
{
    m_ports.give(piece);
}

void request_session::perform(const commit_usage &usage)
{
    m_ports.recordUsage(subject(), usage.usage);
}

void request_session::perform(const settle &end)
{
    m_ports.settle(subject(), m_claimOperation, end);
}

void request_session::perform(const finish_stream &last)
{
    recordAnswer(200);
    m_ports.give(last);
}

void request_session::perform(const give_answer &answer)
{
    recordAnswer(answer.answer.status);
    m_ports.give(answer);
}

void request_session::perform(const refuse &refused)
{
    recordRefusal(refused.reason);
    m_ports.give(refused);
}

void request_session::recordAnswer(int status)
{
    m_events.record(requestAnswered,
                    {{"request_id", subject().id},
                     {"status", status},
                     {"pieces", m_life.delivered()},
                     {"first_ms", m_firstPieceAt ? wholeMs(*m_firstPieceAt - m_sentAt) : 0},
                     {"took_ms", wholeMs(m_ports.now() - subject().receivedAt)}});
}

void request_session::recordRefusal(const refusal &reason)
{
    m_events.record(requestRefused,
                    {{"request_id", subject().id},
                     {"route", subject().route.name},
                     {"organisation", subject().organisation},
                     {"kind", errorKindName(reason.kind)},
                     {"may_have_run", static_cast<int>(reason.mayHaveRun)},
                     {"retry_after_ms", wholeMs(reason.retryAfter)},
                     {"reason", reason.message}});
}

} // namespace yuccascale::kernel::requests

#include "yuccascale/kernel/requests/request_session.hpp"

#include "yuccascale/kernel/requests/events.hpp"

#include <utility>

namespace yuccascale::kernel::requests {

namespace {

[[nodiscard]] std::int64_t inMilliseconds(nanoseconds time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

} // namespace

request_session::request_session(request callerRequest, std::uint64_t ticket,
                                 const std::string &entry, session_ports &ports, event_sink &events)
    : m_lifecycle(std::move(callerRequest))
    , m_ticket(ticket)
    , m_claimOperation("claim/" + entry + "/" + std::to_string(ticket))
    , m_ports(ports)
    , m_events(events)
{ }

void request_session::begin()
{
    performAll(m_lifecycle.start(m_ports.now(), m_ports.checkStart(callerRequest())));
}

void request_session::assignEndpoint(endpoint_assignment assignment)
{
    m_assignment = std::move(assignment);
    if (m_lifecycle.state() != request_state::Queued) {
        perform(release_endpoint{});
        return;
    }
    const bool serving = m_assignment->standing == endpoint_standing::Serving;
    if (!serving)
        recordWithheld(m_assignment->standing);
    handle(endpoint_assigned{m_assignment->endpoint, m_assignment->zone,
                             m_ports.checkStart(callerRequest()), m_assignment->softwareVersion,
                             serving});
}

void request_session::withhold(endpoint_standing standing)
{
    recordWithheld(standing);
    handle(send_withheld{m_lifecycle.attempt()});
}

void request_session::recordWithheld(endpoint_standing standing)
{
    const bool sent = m_lifecycle.state() == request_state::Dispatched;
    m_events.record(sendWithheld,
                    {{"request_id", callerRequest().id},
                     {"endpoint", m_assignment ? m_assignment->endpoint : std::string()},
                     {"standing", standingName(standing)},
                     {"attempt", sent ? m_lifecycle.attempt() : 0},
                     {"waited_ms", inMilliseconds(m_ports.now() - callerRequest().receivedAt)}});
}

void request_session::readyToSend()
{
    m_readyAt = m_ports.now();
}

/// \returns how long the attempt waited for a prefill and a new connection; -1 when it did not, or
///          still does.
std::int64_t request_session::sendDelayMs() const
{
    return m_readyAt ? inMilliseconds(*m_readyAt - m_sentAt) : -1;
}

void request_session::handle(event newEvent)
{
    if (auto *answered = std::get_if<claim_answered>(&newEvent))
        answered->check = m_ports.checkStart(callerRequest());
    if (const auto *located = std::get_if<stream_located>(&newEvent))
        recordLocated(*located);
    updatePool(newEvent);
    performAll(m_lifecycle.handle(m_ports.now(), newEvent));
}

void request_session::recordLocated(const stream_located &located)
{
    const stream_origin origin = located.origin.value_or(stream_origin{});
    m_events.record(streamLocated,
                    {{"request_id", callerRequest().id},
                     {"continues", callerRequest().continuedId},
                     {"known", static_cast<int>(located.origin.has_value())},
                     {"pool", origin.pool},
                     {"software_version", origin.softwareVersion}});
}

/// Updates the pool with the attempt's result before the state machine processes the event.
void request_session::updatePool(const event &newEvent)
{
    if (const auto *piece = std::get_if<piece_arrived>(&newEvent)) {
        if (piece->attempt != m_lifecycle.attempt() || m_firstPieceAt)
            return;
        m_firstPieceAt = m_ports.now();
        m_ports.firstPieceArrived(m_ticket, callerRequest());
    } else if (const auto *finished = std::get_if<stream_finished>(&newEvent)) {
        recordAttemptAnswer(finished->attempt, finished->usage);
    } else if (const auto *arrived = std::get_if<answer_arrived>(&newEvent)) {
        recordAttemptAnswer(arrived->attempt, arrived->usage);
    } else if (const auto *failed = std::get_if<attempt_failed>(&newEvent)) {
        recordAttemptFailure(*failed);
    }
}

void request_session::recordAttemptAnswer(int attempt, const token_usage &usage)
{
    if (attempt != m_lifecycle.attempt())
        return;
    attempt_result result;
    result.answered = true;
    result.usage = usage;
    finishAttempt(result);
}

void request_session::recordAttemptFailure(const attempt_failed &failed)
{
    if (failed.attempt != m_lifecycle.attempt() || !m_assignment)
        return;
    m_events.record(failed.failure == attempt_failure::InvalidAnswer ? answerDoubtful
                                                                     : attemptFailed,
                    {{"request_id", callerRequest().id},
                     {"endpoint", m_assignment->endpoint},
                     {"attempt", failed.attempt},
                     {"failure", attemptFailureName(failed.failure)}});
    attempt_result result;
    result.crashed = failed.failure == attempt_failure::Crashed;
    result.unreachable = failed.failure == attempt_failure::NeverSent;
    result.replaced = failed.failure == attempt_failure::Replaced;
    result.rejected = failed.failure == attempt_failure::ReportedNotRun;
    result.excludedFromHealth = result.rejected || failed.failure == attempt_failure::Disconnected
            || failed.failure == attempt_failure::Answered;
    finishAttempt(result);
}

void request_session::finishAttempt(attempt_result result)
{
    if (!m_assignment)
        return;
    const std::string endpoint = m_assignment->endpoint;
    m_assignment.reset();
    const instant now = m_ports.now();
    result.timeToFirstToken = m_firstPieceAt.value_or(now) - m_sentAt;
    result.totalTime = now - m_sentAt;
    const finish_findings findings = m_ports.finish(m_ticket, callerRequest(), result);
    if (result.crashed)
        m_events.record(endpointCrashed,
                        {{"endpoint", endpoint}, {"request_id", callerRequest().id}});
    if (findings.breakerOpened)
        m_events.record(endpointSick, {{"endpoint", endpoint}});
    if (findings.breakerClosed)
        m_events.record(endpointRecovered, {{"endpoint", endpoint}});
    if (findings.crashingFingerprint.empty())
        return;
    m_events.record(requestGuilty,
                    {{"fingerprint", findings.crashingFingerprint},
                     {"route", callerRequest().route.name},
                     {"endpoint", endpoint}});
    m_ports.ban(callerRequest(), findings.crashingFingerprint);
}

/// An answer is moved, since a long one would be held several times.
void request_session::performAll(std::vector<action> actions)
{
    for (action &next : actions)
        std::visit([this](auto &kind) { perform(std::move(kind)); }, next);
}

void request_session::perform(const enqueue &options)
{
    if (options.retry && m_ports.checkStart(callerRequest()) == start_check::Banned) {
        handle(request_banned{});
        return;
    }
    m_events.record(requestQueued,
                    {{"request_id", callerRequest().id},
                     {"pool", callerRequest().route.pool},
                     {"retry", static_cast<int>(options.retry)},
                     {"suspect", static_cast<int>(options.suspect)}});
    auto refused = m_ports.push(m_ticket, callerRequest(), options);
    if (refused)
        handle(queue_refused{std::move(*refused)});
}

void request_session::perform(const dequeue &)
{
    m_ports.remove(m_ticket, callerRequest());
}

void request_session::perform(const release_endpoint &)
{
    attempt_result unused;
    unused.excludedFromHealth = true;
    finishAttempt(unused);
}

void request_session::perform(const submit_claim &)
{
    m_ports.claim(callerRequest(), m_claimOperation);
}

void request_session::perform(const withdraw_claim &)
{
    m_ports.withdraw(callerRequest(), m_claimOperation);
}

void request_session::perform(const locate_stream &)
{
    m_ports.locateStream(callerRequest());
}

void request_session::perform(const record_stream &began)
{
    m_ports.recordStream(callerRequest(), began.softwareVersion);
}

void request_session::perform(const dispatch &sent)
{
    m_sentAt = m_ports.now();
    m_readyAt.reset();
    m_firstPieceAt.reset();
    if (m_assignment->relayed)
        recordRelayed(sent);
    else
        recordRouted(sent);
    m_ports.send(callerRequest(), *m_assignment, sent);
}

void request_session::recordRelayed(const dispatch &sent)
{
    m_events.record(requestRelayed,
                    {{"request_id", callerRequest().id},
                     {"route", callerRequest().route.name},
                     {"organisation", callerRequest().organisation},
                     {"entry", m_assignment->endpoint},
                     {"attempt", sent.attempt},
                     {"resume_from", sent.resumeFrom},
                     {"after_event", sent.lastPieceId},
                     {"waited_ms", inMilliseconds(m_sentAt - callerRequest().receivedAt)}});
}

void request_session::recordRouted(const dispatch &sent)
{
    std::vector<event_field> fields
            = {{"request_id", callerRequest().id},
               {"route", callerRequest().route.name},
               {"organisation", callerRequest().organisation},
               {"endpoint", m_assignment->endpoint},
               {"zone", m_assignment->zone},
               {"software_version", m_assignment->softwareVersion},
               {"attempt", sent.attempt},
               {"resume_from", sent.resumeFrom},
               {"after_event", sent.lastPieceId},
               {"continues", callerRequest().continuedId},
               {"prefill", m_assignment->prefillEndpoint},
               {"fetched_from", m_assignment->cacheEndpoint},
               {"waited_ms", inMilliseconds(m_sentAt - callerRequest().receivedAt)},
               {"predicted_first_ms", inMilliseconds(m_assignment->predictedFirstToken)},
               {"cached_tokens", m_assignment->cachedTokens},
               {"fetchable_tokens", m_assignment->fetchableTokens},
               {"prefill_room", m_assignment->prefillRoom},
               {"backlog_tokens", m_assignment->backlogTokens},
               {"reported_requests", m_assignment->reportedRequests},
               {"report_age_ms", inMilliseconds(m_assignment->reportAge)},
               {"list_age_ms", m_assignment->listAge ? inMilliseconds(*m_assignment->listAge) : -1},
               {"reason", m_assignment->reason}};
    if (m_assignment->pace > 0) {
        fields.push_back({"pace", m_assignment->pace});
        fields.push_back({"prefill_tokens_per_s", m_assignment->prefillTokensPerSecond});
    }
    m_events.record(requestRouted, fields);
}

void request_session::perform(const cancel &stopped)
{
    m_events.record(requestCancelled,
                    {{"request_id", callerRequest().id},
                     {"endpoint", stopped.endpoint},
                     {"attempt", stopped.attempt},
                     {"cause", cancelCauseName(stopped.cause)},
                     {"after_ms", inMilliseconds(m_ports.now() - m_sentAt)},
                     {"send_delay_ms", sendDelayMs()}});
    if (m_assignment)
        m_ports.stop(callerRequest(), *m_assignment);
    attempt_result unfinished;
    unfinished.excludedFromHealth = stopped.cause != cancel_cause::InvalidAnswer;
    finishAttempt(unfinished);
}

void request_session::perform(const begin_stream &began)
{
    m_ports.deliver(began);
}

void request_session::perform(const forward &piece)
{
    m_ports.deliver(piece);
}

void request_session::perform(const commit_usage &usage)
{
    m_ports.recordUsage(callerRequest(), usage.usage);
}

void request_session::perform(const settle &end)
{
    m_ports.settle(callerRequest(), m_claimOperation, end);
}

void request_session::perform(const finish_stream &last)
{
    recordAnswer(200);
    m_ports.deliver(last);
}

void request_session::perform(send_answer &&answer)
{
    recordAnswer(answer.answer.status);
    m_ports.deliver(std::move(answer));
}

void request_session::perform(const refuse &refused)
{
    recordRefusal(refused.reason);
    m_ports.deliver(refused);
}

void request_session::recordAnswer(int status)
{
    m_events.record(requestAnswered,
                    {{"request_id", callerRequest().id},
                     {"status", status},
                     {"pieces", m_lifecycle.delivered()},
                     {"first_ms", m_firstPieceAt ? inMilliseconds(*m_firstPieceAt - m_sentAt) : 0},
                     {"send_delay_ms", sendDelayMs()},
                     {"took_ms", inMilliseconds(m_ports.now() - callerRequest().receivedAt)}});
}

void request_session::recordRefusal(const refusal &reason)
{
    m_events.record(requestRefused,
                    {{"request_id", callerRequest().id},
                     {"route", callerRequest().route.name},
                     {"organisation", callerRequest().organisation},
                     {"kind", errorKindName(reason.kind)},
                     {"may_have_run", static_cast<int>(reason.mayHaveRun)},
                     {"retry_after_ms", inMilliseconds(reason.retryAfter)},
                     {"reason", reason.message}});
}

} // namespace yuccascale::kernel::requests

#include "yuccascale/kernel/requests/request_life.hpp"

#include "yuccascale/kernel/requests/request_refusals.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace yuccascale::kernel::requests {

namespace {

/// Minimum time before the deadline to start another attempt.
constexpr milliseconds minRetryTime{20};
/// Attempts without a connection that are allowed beyond the route's maxAttempts; no endpoint can
/// have run the request in them.
constexpr int maxUnsentAttempts = 3;
/// Minimum time before the deadline to submit a claim again.
constexpr milliseconds minClaimTime{200};

constexpr std::array<std::string_view, 8> requestStateNames{
        "received",   "queued",    "claiming",   "locating",
        "dispatched", "streaming", "committing", "ended",
};
constexpr std::array<std::string_view, 9> attemptFailureNames{
        "never_sent",   "said_not_run", "replaced",  "broken",   "crashed",
        "disconnected", "doubtful",     "timed_out", "answered",
};

constexpr std::array<std::string_view, 5> cancelCauseNames{
        "caller_left", "deadline_passed", "invalid_answer", "banned", "send_refused",
};

/// \returns whether the endpoint certainly did not run any of the request.
[[nodiscard]] bool definitelyNotRun(attempt_failure failure)
{
    return failure == attempt_failure::NeverSent || failure == attempt_failure::ReportedNotRun
            || failure == attempt_failure::Replaced;
}

void addOnce(std::vector<std::string> &names, const std::string &name)
{
    if (std::ranges::find(names, name) == names.end())
        names.push_back(name);
}

} // namespace

std::string_view requestStateName(request_state state) noexcept
{
    return requestStateNames[static_cast<std::size_t>(state)];
}

std::string_view attemptFailureName(attempt_failure failure) noexcept
{
    return attemptFailureNames[static_cast<std::size_t>(failure)];
}

std::string_view cancelCauseName(cancel_cause cause) noexcept
{
    return cancelCauseNames[static_cast<std::size_t>(cause)];
}

request_lifecycle::request_lifecycle(request callerRequest)
    : m_request(std::move(callerRequest))
    , m_delivered(m_request.resumeFrom)
    , m_lastPieceId(m_request.lastPieceId)
    , m_usageCounted(m_request.relay && m_request.relay->usageCounted)
    , m_mayHaveRun(m_request.sentBefore || m_request.claimed())
{ }

std::vector<action> request_lifecycle::start(instant now, start_check check)
{
    actions out;
    if (m_request.claimed() && m_request.idempotencyKey.empty()) {
        end(out,
            {error_kind::InvalidArgument,
             "this route runs a request at most once; send an Idempotency-Key header",
             false,
             {}});
        return out;
    }
    if (!mayStart(out, now, check))
        return out;
    if (m_request.claimed()) {
        m_state = request_state::Claiming;
        out.emplace_back(submit_claim{});
    } else if (takesUpStream()) {
        m_state = request_state::Locating;
        out.emplace_back(locate_stream{});
    } else {
        m_state = request_state::Queued;
        out.emplace_back(firstEnqueue());
    }
    return out;
}

std::vector<action> request_lifecycle::handle(instant now, const event &newEvent)
{
    actions out;
    if (m_state != request_state::Ended)
        std::visit([&](const auto &kind) { on(out, now, kind); }, newEvent);
    return out;
}

void request_lifecycle::on(actions &out, instant now, const endpoint_assigned &assignment)
{
    if (m_state != request_state::Queued)
        return;
    if (!assignment.serving) {
        out.emplace_back(release_endpoint{assignment.endpoint});
        queueAgain(out, false);
        return;
    }
    m_endpoint = assignment.endpoint;
    m_zone = assignment.zone;
    m_softwareVersion = assignment.softwareVersion;
    if (!mayStart(out, now, assignment.check)) {
        out.emplace_back(release_endpoint{m_endpoint});
        return;
    }
    ++m_attempt;
    m_state = request_state::Dispatched;
    out.emplace_back(dispatch{m_attempt, m_endpoint, m_delivered, m_lastPieceId});
}

void request_lifecycle::on(actions &out, instant, const queue_refused &refused)
{
    if (m_state != request_state::Queued)
        return;
    if (sendLastAnswer(out))
        return;
    refusal reason = refused.reason;
    reason.mayHaveRun = m_mayHaveRun;
    end(out, std::move(reason));
}

void request_lifecycle::on(actions &out, instant now, const claim_answered &answered)
{
    if (m_state != request_state::Claiming)
        return;
    const claim_decision &decision = answered.decision;
    switch (decision.state) {
    case claim_state::Granted:
        claimGranted(out, now, answered.check);
        return;
    case claim_state::AnswerLost:
        resendClaim(out, now);
        return;
    case claim_state::Answered:
        m_state = request_state::Ended;
        out.emplace_back(send_answer{decision.recorded, true});
        return;
    case claim_state::Running:
        end(out,
            {error_kind::Conflict,
             "a request with this idempotency key is still running; send it again with the "
             "same idempotency key to get its answer",
             true, controlRetryAfter});
        return;
    case claim_state::Unknown:
        end(out,
            {error_kind::OutcomeUnknown,
             "a request with this idempotency key was sent and its outcome is unknown; ask the "
             "service behind route '"
                     + m_request.route.name + "' about the key before using a new one",
             true,
             {}});
        return;
    case claim_state::KeyReused:
        end(out,
            {error_kind::InvalidArgument,
             "this idempotency key was used for another request; use a new key",
             false,
             {}});
        return;
    case claim_state::NotSent:
        end(out,
            {error_kind::Unavailable,
             "the claim of this request could not be committed; retry at another entry address",
             m_mayHaveRun, controlRetryAfter});
        return;
    case claim_state::NotKept:
    case claim_state::Refused:
        end(out, {decision.reason.kind, decision.reason.message, m_mayHaveRun, {}});
        return;
    }
}

/// Attempts that another entry made count as this entry's own.
enqueue request_lifecycle::firstEnqueue() const
{
    enqueue options;
    options.retry = m_request.relay && m_request.relay->attempts > 0;
    return options;
}

int request_lifecycle::reachedAttempts() const noexcept
{
    return m_attempt - m_unsentAttempts - m_withheldAttempts
            + (m_request.relay ? m_request.relay->attempts : 0);
}

/// A caller that names the last event it has takes up a stream that began with another request.
bool request_lifecycle::takesUpStream() const noexcept
{
    return m_request.streamed && !m_request.lastPieceId.empty();
}

/// The route may have been moved to other pools since the stream began.
void request_lifecycle::on(actions &out, instant, const stream_located &located)
{
    if (m_state != request_state::Locating)
        return;
    const state::route &route = m_request.route;
    const bool allowed = located.origin
            && (located.origin->pool == route.pool
                || std::ranges::any_of(route.split, [&](const state::pool_share &share) {
                       return share.pool == located.origin->pool && share.weight > 0;
                   }));
    if (!allowed) {
        end(out,
            {error_kind::Unavailable,
             "no endpoint can go on with this stream; send the request again without an event id",
             m_mayHaveRun,
             {}});
        return;
    }
    m_request.route.pool = located.origin->pool;
    m_streamVersion = located.origin->softwareVersion;
    m_state = request_state::Queued;
    enqueue options = firstEnqueue();
    options.softwareVersion = m_streamVersion;
    out.emplace_back(std::move(options));
}

/// Remembers the version that the rest of the stream must come from.
void request_lifecycle::beginStreamAt(actions &out)
{
    if (m_streamVersion)
        return;
    m_streamVersion = m_softwareVersion;
    if (m_request.streamed && m_request.route.idempotent)
        out.emplace_back(record_stream{m_softwareVersion});
}

/// A granted claim also shows that no earlier request with this key has run.
void request_lifecycle::claimGranted(actions &out, instant now, start_check check)
{
    m_claimGranted = true;
    m_mayHaveRun = false;
    if (!mayStart(out, now, check))
        return;
    m_state = request_state::Queued;
    out.emplace_back(enqueue{});
}

void request_lifecycle::resendClaim(actions &out, instant now)
{
    if (now + minClaimTime < m_request.answerBy()) {
        out.emplace_back(submit_claim{});
        return;
    }
    out.emplace_back(withdraw_claim{});
    end(out,
        {error_kind::Unavailable,
         "the claim of this request was not confirmed in time; send it again with the "
         "same idempotency key to another entry address",
         m_mayHaveRun, controlRetryAfter});
}

/// \returns false when it ended the request with a refusal.
bool request_lifecycle::mayStart(actions &out, instant now, start_check check)
{
    // an answer that has begun is better continued than cut
    if (check == start_check::Leaving && m_headGiven)
        check = start_check::Allowed;
    if (check != start_check::Allowed) {
        refusal reason = refusalOf(check);
        reason.mayHaveRun = m_mayHaveRun;
        end(out, std::move(reason));
        return false;
    }
    if (now >= m_request.answerBy()) {
        end(out,
            {error_kind::DeadlineExceeded,
             "the request's deadline passed before it was sent to an endpoint; retry later",
             m_mayHaveRun, endpointRetryAfter});
        return false;
    }
    return true;
}

bool request_lifecycle::running(int attempt) const noexcept
{
    const bool sent = m_state == request_state::Dispatched || m_state == request_state::Streaming;
    return sent && attempt == m_attempt;
}

void request_lifecycle::on(actions &, instant, const stream_began &began)
{
    if (running(began.attempt) && !m_headGiven)
        m_pendingHead = began.head;
}

/// A resumed stream keeps the head from its first endpoint.
void request_lifecycle::sendHead(actions &out)
{
    if (std::exchange(m_headGiven, true) || !m_pendingHead)
        return;
    out.emplace_back(begin_stream{std::move(*m_pendingHead)});
    m_pendingHead.reset();
}

void request_lifecycle::countUsage(actions &out, const token_usage &usage)
{
    if (m_request.usageCommitPoint == usage_commit_point::AtStart
        && !std::exchange(m_usageCounted, true))
        out.emplace_back(commit_usage{usage});
}

void request_lifecycle::on(actions &out, instant now, const piece_arrived &piece)
{
    if (!running(piece.attempt) || piece.index < m_delivered)
        return;
    if (piece.index > m_delivered) {
        out.emplace_back(cancel{m_attempt, m_endpoint, cancel_cause::InvalidAnswer});
        on(out, now, attempt_failed{m_attempt, attempt_failure::InvalidAnswer, {}});
        return;
    }
    m_state = request_state::Streaming;
    beginStreamAt(out);
    countUsage(out, {});
    sendHead(out);
    ++m_delivered;
    m_lastPieceId = piece.pieceId;
    recordPiece(piece.payload);
    out.emplace_back(forward{piece.index, piece.payload});
}

void request_lifecycle::on(actions &out, instant, const stream_finished &finished)
{
    if (!running(finished.attempt))
        return;
    sendHead(out);
    token_usage usage = finished.usage;
    usage.completionTokens = std::max(usage.completionTokens, m_delivered);
    if (holdsClaim()) {
        m_claimSettled = true;
        recordPiece(finished.payload);
        recordPiece("[DONE]");
        out.emplace_back(settle{state::claim_outcome::Answered,
                                {200, "text/event-stream", std::move(m_recordedStream), {}}});
    }
    finish(out, finish_stream{finished.payload}, usage);
}

/// Sends the last piece or the complete answer, immediately or after its usage is committed.
void request_lifecycle::finish(actions &out, action last, const token_usage &usage)
{
    if (m_request.usageCommitPoint == usage_commit_point::AtStart) {
        countUsage(out, usage);
        m_state = request_state::Ended;
        out.push_back(std::move(last));
        return;
    }
    m_state = request_state::Committing;
    m_pendingOutput = std::move(last);
    out.emplace_back(commit_usage{usage});
}

void request_lifecycle::recordPiece(const std::string &payload)
{
    if (holdsClaim() || m_claimSettled)
        m_recordedStream += "data: " + payload + "\n\n";
}

void request_lifecycle::on(actions &out, instant now, const answer_arrived &arrived)
{
    if (!running(arrived.attempt))
        return;
    if (m_headGiven) // no other answer continues the stream that the caller has the beginning of
        return on(out, now, attempt_failed{arrived.attempt, attempt_failure::InvalidAnswer, {}});
    if (holdsClaim()) {
        m_claimSettled = true;
        out.emplace_back(settle{state::claim_outcome::Answered, arrived.answer});
    }
    finish(out, send_answer{arrived.answer, false}, arrived.usage);
}

void request_lifecycle::on(actions &out, instant, const usage_commit_finished &settled)
{
    if (m_state != request_state::Committing)
        return;
    if (!settled.committed) {
        end(out,
            {error_kind::OutcomeUnknown,
             "the request ran, but its usage could not be committed before the deadline; send it "
             "again with the same idempotency key or resume token",
             true, controlRetryAfter});
        return;
    }
    m_state = request_state::Ended;
    out.push_back(std::move(*m_pendingOutput));
}

void request_lifecycle::on(actions &out, instant now, const attempt_failed &failed)
{
    if (!running(failed.attempt))
        return;
    if (!definitelyNotRun(failed.failure))
        m_mayHaveRun = true;
    if (failed.failure == attempt_failure::Crashed) {
        m_suspect = true;
        addOnce(m_avoidZones, m_zone);
    }
    addOnce(m_avoidEndpoints, m_endpoint);
    if (failed.failure == attempt_failure::TimedOut) {
        endDispatched(out, error_kind::DeadlineExceeded,
                      "no answer arrived before the deadline; retry later");
        return;
    }
    if (failed.failure == attempt_failure::Answered || failed.failure == attempt_failure::Broken)
        countUsage(out, {});
    if (failed.failure == attempt_failure::Answered && !m_request.route.idempotent
        && !m_headGiven) {
        m_state = request_state::Ended;
        out.emplace_back(send_answer{failed.answer, false});
        return;
    }
    if (!m_request.route.idempotent && !definitelyNotRun(failed.failure)) {
        endDispatched(out, error_kind::OutcomeUnknown, "the answer of the endpoint was lost");
        return;
    }
    if (failed.failure == attempt_failure::Answered)
        m_lastAnswer = failed.answer;
    retry(out, now, failed);
}

void request_lifecycle::queueAgain(actions &out, bool endpointReached)
{
    m_state = request_state::Queued;
    out.emplace_back(enqueue{true, m_suspect, endpointReached, m_avoidEndpoints, m_avoidZones,
                             m_streamVersion});
}

void request_lifecycle::retry(actions &out, instant now, const attempt_failed &failed)
{
    const bool endpointReached = failed.failure != attempt_failure::NeverSent;
    if (!endpointReached)
        ++m_unsentAttempts;
    const bool another = !failed.last && reachedAttempts() < m_request.route.maxAttempts
            && m_unsentAttempts <= maxUnsentAttempts;
    if (another && now + minRetryTime < m_request.answerBy()) {
        queueAgain(out, endpointReached);
        return;
    }
    if (sendLastAnswer(out))
        return;
    const nanoseconds retryAfter = std::max<nanoseconds>(failed.retryAfter, endpointRetryAfter);
    end(out,
        {error_kind::Unavailable, "the endpoints of this route failed; retry later", m_mayHaveRun,
         retryAfter});
}

/// Sends an endpoint's own error to the caller when no further attempt can follow.
bool request_lifecycle::sendLastAnswer(actions &out)
{
    if (!m_lastAnswer || m_headGiven)
        return false;
    m_state = request_state::Ended;
    out.emplace_back(send_answer{std::move(*m_lastAnswer), false});
    return true;
}

void request_lifecycle::on(actions &out, instant, const caller_disconnected &)
{
    if (m_request.claimed() && m_state != request_state::Queued)
        return; // the claimed request runs to completion, so that a repeat gets the recorded answer
    if (m_state == request_state::Queued)
        out.emplace_back(dequeue{});
    if (running(m_attempt))
        out.emplace_back(cancel{m_attempt, m_endpoint, cancel_cause::CallerLeft});
    m_state = request_state::Ended;
    if (holdsClaim()) {
        m_claimSettled = true;
        out.emplace_back(settle{state::claim_outcome::NotRun, {}});
    }
}

void request_lifecycle::on(actions &out, instant now, const deadline_passed &)
{
    if (now < m_request.answerBy())
        return;
    if (m_state == request_state::Queued) {
        out.emplace_back(dequeue{});
        end(out,
            {error_kind::DeadlineExceeded,
             "the request's deadline passed in the queue; retry later", m_mayHaveRun,
             endpointRetryAfter});
    } else if (m_state == request_state::Locating) {
        end(out,
            {error_kind::DeadlineExceeded,
             "the request's deadline passed before its stream was found; retry later", m_mayHaveRun,
             endpointRetryAfter});
    } else if (running(m_attempt)) {
        m_mayHaveRun = true;
        out.emplace_back(cancel{m_attempt, m_endpoint, cancel_cause::DeadlinePassed});
        endDispatched(out, error_kind::DeadlineExceeded,
                      "no complete answer arrived before the deadline; retry later");
    }
}

void request_lifecycle::on(actions &out, instant, const request_banned &)
{
    if (m_state == request_state::Queued)
        out.emplace_back(dequeue{});
    if (running(m_attempt)) {
        m_mayHaveRun = true;
        out.emplace_back(cancel{m_attempt, m_endpoint, cancel_cause::Banned});
    }
    refusal reason = refusalOf(start_check::Banned);
    reason.mayHaveRun = m_mayHaveRun;
    end(out, std::move(reason));
}

void request_lifecycle::on(actions &out, instant, const entry_leaving &leaving)
{
    m_request.entryEnd = leaving.end;
    if (m_state != request_state::Queued || leaving.check != start_check::Leaving || m_headGiven)
        return;
    out.emplace_back(dequeue{});
    refusal reason = leavingRefusal();
    reason.mayHaveRun = m_mayHaveRun;
    end(out, std::move(reason));
}

/// Nothing of the attempt has reached its endpoint.
void request_lifecycle::on(actions &out, instant now, const send_due &due)
{
    if (!running(due.attempt) || m_state != request_state::Dispatched)
        return;
    actions ending;
    if (mayStart(ending, now, due.check))
        return;
    out.emplace_back(cancel{m_attempt, m_endpoint, cancel_cause::SendRefused});
    std::ranges::move(ending, std::back_inserter(out));
}

/// Nothing of the attempt has reached its endpoint, so it is none.
void request_lifecycle::on(actions &out, instant, const send_withheld &withheld)
{
    if (!running(withheld.attempt) || m_state != request_state::Dispatched)
        return;
    ++m_withheldAttempts;
    out.emplace_back(release_endpoint{m_endpoint});
    queueAgain(out, false);
}

void request_lifecycle::endDispatched(actions &out, error_kind kind, const std::string &message)
{
    if (m_request.route.idempotent) {
        end(out, {kind, message, true, endpointRetryAfter});
        return;
    }
    end(out,
        {error_kind::OutcomeUnknown,
         message + "; ask the service behind route '" + m_request.route.name + "' about "
                 + (m_request.claimed() ? "the idempotency key before using a new one"
                                        : "the request before sending it again"),
         true,
         {}});
}

void request_lifecycle::end(actions &out, refusal reason)
{
    if (holdsClaim()) {
        m_claimSettled = true;
        const auto claimEnd
                = m_mayHaveRun ? state::claim_outcome::Unknown : state::claim_outcome::NotRun;
        out.emplace_back(settle{claimEnd, {}});
    }
    m_state = request_state::Ended;
    out.emplace_back(refuse{std::move(reason)});
}

} // namespace yuccascale::kernel::requests

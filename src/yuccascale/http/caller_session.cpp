#include "yuccascale/http/caller_session.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::http {

using namespace kernel::requests;
using kernel::instant;
using kernel::nanoseconds;

namespace {

/// Time limit of a prefill by another engine: a base, and a time for the prompt's tokens. After it
/// the engine that generates the answer prefills the prompt itself.
constexpr kernel::milliseconds prefillBaseTimeout{1'000};
constexpr std::int64_t prefillTokensPerMillisecond = 20;

[[nodiscard]] kernel::milliseconds prefillTimeoutFor(const request &callerRequest) noexcept
{
    return prefillBaseTimeout
            + kernel::milliseconds(callerRequest.promptTokens / prefillTokensPerMillisecond);
}

/// While this entry is leaving: between checks whether a queued request still ends before it.
constexpr kernel::milliseconds queuedCheckInterval{50};
/// While this entry is leaving: between checks whether a sent request has reached its end.
constexpr kernel::milliseconds sentCheckInterval{250};

/// A prefill call in flight.
struct prefill_call
{
    prefill_call(const request &callerRequest, const endpoint_assignment &assignment, instant now)
        : kind(callerRequest.route.kind)
        , pool(callerRequest.route.pool)
        , endpointId(callerRequest.endpointId)
        , endpoint(assignment.prefillEndpoint)
        , address(assignment.prefillAddress)
        , ticket(assignment.ticket)
        , sentAt(now)
    { }

    kernel::state::backend_kind kind;
    std::string pool;
    std::string endpointId; ///< of the request
    std::string endpoint;
    std::string address; ///< IP:port
    std::uint64_t ticket;
    instant sentAt;
};

[[nodiscard]] std::optional<prefilled_prompt> readPrefillAnswer(caller_services &services,
                                                                const prefill_call &call,
                                                                const net::buffered_answer &answer)
{
    const endpoint_driver &driver = services.driverOf(call.kind);
    const answer_head head = answerHeadOf(answer.status, answer.headers);
    if (head.requestId == call.endpointId) {
        services.applyNotice(call.pool, call.endpoint, driver.notice(head));
        if (const auto load = driver.pacedLoad(head, services.clock.now()))
            static_cast<void>(services.pools->report(call.pool, call.endpoint, *load));
    }
    const bool hasAnswer = answer.end == net::call_end::Whole;
    std::optional<prefilled_prompt> prefilled;
    if (hasAnswer)
        prefilled = driver.readPrefillAnswer(call.endpointId, head, answer.body, call.address);
    const prefill_outcome outcome = prefilled ? prefill_outcome::Completed
            : hasAnswer                       ? prefill_outcome::Refused
                                              : prefill_outcome::Failed;
    services.pools->prefillFinished(call.pool, call.ticket, outcome,
                                    services.clock.now() - call.sentAt);
    return prefilled;
}

} // namespace

void caller_session::start(caller_services &services, request callerRequest, double weight,
                           std::shared_ptr<net::http_exchange> exchange, quota_charge charge)
{
    const auto session = std::make_shared<caller_session>(
            services, std::move(callerRequest), weight, std::move(exchange), std::move(charge));
    session->begin();
}

caller_session::caller_session(caller_services &services, request callerRequest, double weight,
                               std::shared_ptr<net::http_exchange> exchange, quota_charge charge)
    : m_services(services)
    , m_loop(services.loopOf(exchange->loop()))
    , m_weight(weight)
    , m_charge(std::move(charge))
    , m_exchange(std::move(exchange))
    , m_timer(m_loop.context)
    , m_session(std::move(callerRequest), services.nextTicket++, services.entry, *this,
                services.events)
{
    ++m_services.runningRequests;
    m_loop.sessions.insert(this);
}

caller_session::~caller_session()
{
    m_loop.sessions.erase(this);
    --m_services.runningRequests;
}

void caller_session::begin()
{
    m_self = shared_from_this();
    const std::weak_ptr<caller_session> weak = m_self;
    m_mailbox = std::make_shared<caller_mailbox>(m_loop.context,
                                                 [weak](caller_mailbox::message message) {
                                                     if (const auto self = weak.lock())
                                                         self->handleMessage(std::move(message));
                                                 });
    m_exchange->onCallerDisconnected([weak] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_session.handle(caller_disconnected{});
        self->finishIfEnded();
    });
    startDeadlineTimer();
    m_session.begin();
    finishIfEnded();
}

void caller_session::startDeadlineTimer()
{
    nanoseconds wait = std::max<nanoseconds>(callerRequest().answerBy() - now(), nanoseconds(1));
    if (m_services.drain.leaving())
        wait = std::min<nanoseconds>(wait,
                                     m_session.queued() ? queuedCheckInterval : sentCheckInterval);
    m_timer.expires_after(wait);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &problem) {
        const auto self = weak.lock();
        if (!problem && self && !self->m_session.ended())
            self->onDeadlineTimer();
    });
}

/// The timer does not count the time that the VM was suspended, and may fire a little early.
void caller_session::onDeadlineTimer()
{
    // afterwards nothing waits for the timer, even while usage is still being committed
    const bool passed = now() >= callerRequest().answerBy();
    if (passed)
        m_session.handle(deadline_passed{});
    else if (m_services.drain.leaving())
        handleLeaving();
    if (!passed && !m_session.ended())
        startDeadlineTimer();
    finishIfEnded();
}

/// The check is costly, and only a queued request can still be refused.
void caller_session::handleLeaving()
{
    const start_check check
            = m_session.queued() ? checkStart(callerRequest()) : start_check::Allowed;
    m_session.handle(entry_leaving{m_services.drain.plan().end(), check});
}

void caller_session::onEntryLeaving()
{
    if (m_session.ended())
        return;
    const auto self = shared_from_this();
    handleLeaving();
    if (!m_session.ended())
        startDeadlineTimer();
    finishIfEnded();
}

/// A request that waited for a connection or a prefill may no longer end before this entry does, or
/// its endpoint may be draining meanwhile.
void caller_session::checkBeforeSend(int attempt, next_leg leg)
{
    m_exchange->checkCaller();
    if (m_session.ended())
        return;
    const start_check check
            = m_services.drain.leaving() ? checkStart(callerRequest()) : start_check::Allowed;
    m_session.handle(
            send_due{attempt, check == start_check::Leaving ? check : start_check::Allowed});
    if (m_session.ended())
        return finishIfEnded();
    if (const auto standing = standingOf(m_assigned, leg == next_leg::Prefill);
        standing != endpoint_standing::Serving)
        withhold(standing);
    else if (leg == next_leg::Request)
        m_session.readyToSend();
    finishIfEnded();
}

/// Looks at the newest list of endpoints, though this entry's pools may not have it yet.
endpoint_standing caller_session::standingOf(const endpoint_assignment &assignment,
                                             bool withPrefill) const
{
    if (assignment.relayed)
        return endpoint_standing::Serving; // the other entry looks at its endpoint
    m_services.pools->apply(m_services.control.view());
    return m_services.pools->standing(callerRequest().route.pool, assignment, withPrefill);
}

void caller_session::withhold(endpoint_standing standing)
{
    if (const auto attempt = std::exchange(m_attempt, nullptr))
        attempt->cancel();
    m_session.withhold(standing);
}

void caller_session::handleMessage(caller_mailbox::message message)
{
    if (auto *assignment = std::get_if<endpoint_assignment>(&message))
        assignEndpoint(std::move(*assignment));
    else
        m_session.handle(std::move(std::get<event>(message)));
    finishIfEnded();
}

/// A request whose caller has left by now is not sent.
void caller_session::assignEndpoint(endpoint_assignment assignment)
{
    m_exchange->checkCaller();
    if (m_session.ended())
        return;
    m_servedElsewhere = assignment.relayed;
    assignment.standing = standingOf(assignment, true);
    m_session.assignEndpoint(std::move(assignment));
}

void caller_session::finishIfEnded()
{
    if (!m_session.ended())
        return;
    if (m_session.lifecycle().attempt() == 0)
        m_services.quotas->giveBack(m_charge);
    m_timer.cancel();
    m_mailbox->close();
    m_self.reset();
}

instant caller_session::now() const
{
    return m_services.clock.now();
}

start_check caller_session::checkStart(const request &callerRequest) const
{
    return m_services.checkStart(callerRequest);
}

std::optional<refusal> caller_session::push(std::uint64_t ticket, const request &callerRequest,
                                            const enqueue &options)
{
    serving_decision decision = m_services.relay->decide(callerRequest, options);
    if (auto *refused = std::get_if<refusal>(&decision)) {
        m_unreached = true;
        return std::move(*refused);
    }
    if (const auto *helper = std::get_if<helper_entry>(&decision)) {
        passOn(ticket, *helper);
        return std::nullopt;
    }
    return m_services.pools->push(ticket, callerRequest, m_weight, options, m_mailbox);
}

void caller_session::passOn(std::uint64_t ticket, const helper_entry &helper)
{
    m_relayRunning = true;
    endpoint_assignment assignment;
    assignment.ticket = ticket;
    assignment.endpoint = helper.node;
    assignment.address = helper.callers;
    assignment.relayed = true;
    m_mailbox->post(std::move(assignment));
}

/// \returns whether the request was at another entry.
bool caller_session::endRelay()
{
    if (!std::exchange(m_relayRunning, false))
        return false;
    m_services.relay->ended();
    return true;
}

void caller_session::remove(std::uint64_t ticket, const request &callerRequest)
{
    if (!endRelay())
        m_services.pools->remove(callerRequest.route.pool, ticket);
}

void caller_session::firstPieceArrived(std::uint64_t ticket, const request &callerRequest)
{
    if (!m_servedElsewhere)
        m_services.pools->firstPieceArrived(callerRequest.route.pool, ticket);
}

finish_findings caller_session::finish(std::uint64_t ticket, const request &callerRequest,
                                       const attempt_result &result)
{
    if (endRelay())
        return {};
    attempt_result judged = result;
    const bool connectionFailed
            = !result.answered && !result.excludedFromHealth && !result.replaced;
    if (connectionFailed) {
        m_services.monitor->attemptFailed(m_assigned.endpoint);
        // without a path to any endpoint, the failure says nothing about this one
        judged.excludedFromHealth = m_services.monitor->state() != reach_state::Reached;
    }
    if (result.answered)
        m_services.metrics.endpointAnswered(m_assigned.endpoint, result.timeToFirstToken,
                                            result.totalTime);
    else if (!judged.excludedFromHealth)
        m_services.metrics.endpointFailed(m_assigned.endpoint);
    return m_services.pools->finish(callerRequest.route.pool, ticket, judged);
}

void caller_session::claim(const request &callerRequest, const std::string &operationId)
{
    m_services.commits.claim(callerRequest, operationId,
                             [mailbox = m_mailbox](claim_decision decision) {
                                 mailbox->post(event{claim_answered{std::move(decision)}});
                             });
}

void caller_session::withdraw(const request &callerRequest, const std::string &operationId)
{
    m_services.commits.withdraw(callerRequest, operationId);
}

void caller_session::settle(const request &callerRequest, const std::string &operationId,
                            const kernel::requests::settle &settlement)
{
    m_services.commits.settle(callerRequest, operationId, settlement.end, settlement.answer);
}

void caller_session::locateStream(const request &callerRequest)
{
    m_services.streams->locate(callerRequest,
                               [mailbox = m_mailbox](std::optional<stream_origin> origin) {
                                   mailbox->post(event{stream_located{std::move(origin)}});
                               });
}

void caller_session::recordStream(const request &callerRequest, const std::string &softwareVersion)
{
    if (!m_servedElsewhere)
        m_services.streams->record(callerRequest, softwareVersion);
}

void caller_session::recordUsage(const request &callerRequest, const token_usage &usage)
{
    if (m_servedElsewhere) {
        m_mailbox->post(event{usage_commit_finished{true}});
        return;
    }
    m_services.commits.recordUsage(callerRequest, usage, callerRequest.deadline,
                                   [mailbox = m_mailbox](bool committed) {
                                       mailbox->post(event{usage_commit_finished{committed}});
                                   });
}

void caller_session::ban(const request &callerRequest, const std::string &fingerprint)
{
    m_services.bans.add(fingerprint);
    m_services.commits.ban(fingerprint, callerRequest.route.name);
    m_services.pools->stopFingerprint(callerRequest.route.pool, fingerprint);
}

void caller_session::send(const request &callerRequest, const endpoint_assignment &assignment,
                          const dispatch &sent)
{
    m_assigned = assignment;
    if (m_services.drain.leaving())
        recordSentWhileLeaving();
    if (assignment.relayed)
        return sendToEntry(callerRequest, assignment, sent);
    const endpoint_driver &driver = m_services.driverOf(callerRequest.route.kind);
    const bool separatePrefill = !assignment.prefillAddress.empty() && sent.resumeFrom == 0;
    attempt_context context{sent.attempt, sent.resumeFrom, callerRequest.answerBy() - now(),
                            sent.lastPieceId, assignment.endpoint};
    if (!separatePrefill)
        context.cacheAddress = assignment.cacheAddress;
    endpoint_attempt attempt;
    attempt.address = assignment.address;
    attempt.attempt = sent.attempt;
    attempt.timeLeft = context.timeLeft;
    attempt.request = driver.prepare(callerRequest, context);
    if (separatePrefill) {
        attempt.prefillAddress = assignment.prefillAddress;
        attempt.prefillRequest = driver.preparePrefill(callerRequest,
                                                       {sent.attempt,
                                                        0,
                                                        context.timeLeft,
                                                        {},
                                                        assignment.prefillEndpoint,
                                                        assignment.cacheAddress});
        attempt.prefillTimeout = std::chrono::ceil<kernel::milliseconds>(
                std::min<nanoseconds>(context.timeLeft, prefillTimeoutFor(callerRequest)));
        attempt.checkBeforePrefill = [weak = weak_from_this(), number = sent.attempt] {
            if (const auto self = weak.lock())
                self->checkBeforeSend(number, next_leg::Prefill);
        };
        // may run after this session has ended, to free the prefilled prompt
        attempt.parsePrefill
                = [services = &m_services, call = prefill_call{callerRequest, assignment, now()}](
                          const net::buffered_answer &answer) {
                      return readPrefillAnswer(*services, call, answer);
                  };
    }
    attempt.reader = driver.reader(callerRequest, context);
    attempt.deliver = eventsFromEndpoint();
    attempt.holdAnswer
            = [exchange = m_exchange](std::size_t bytes) { exchange->holdAnswer(bytes); };
    attempt.checkCaller = [weak = weak_from_this(), number = sent.attempt] {
        if (const auto self = weak.lock())
            self->checkBeforeSend(number, next_leg::Request);
    };
    attempt.onTaken = [services = &m_services, &driver, pool = callerRequest.route.pool,
                       endpoint = assignment.endpoint](const answer_head &head,
                                                       const answer_reader &reader) {
        services->applyNotice(pool, endpoint, driver.notice(head));
        if (const auto load = reader.load(services->clock.now()))
            static_cast<void>(services->pools->report(pool, endpoint, *load));
    };
    m_attempt = m_loop.endpoints.start(std::move(attempt));
}

/// Tells a request that its deadline bounds from one that is begun on an estimate.
void caller_session::recordSentWhileLeaving() const
{
    const auto inMs = [](nanoseconds time) {
        return std::chrono::duration_cast<kernel::milliseconds>(time).count();
    };
    const request &sent = callerRequest();
    const auto estimate = m_services.pools->longestAnswer(sent.route.pool, sent.route.name);
    m_services.events.record(requestSentWhileLeaving,
                             {{"request_id", sent.id},
                              {"received_ms", inMs(sent.receivedAt - m_services.drain.since())},
                              {"deadline_in_ms", inMs(sent.deadline - now())},
                              {"end_in_ms", inMs(m_services.drain.plan().end() - now())},
                              {"recent_answers_ms", inMs(estimate.value_or(nanoseconds{}))}});
}

void caller_session::sendToEntry(const request &callerRequest,
                                 const endpoint_assignment &assignment, const dispatch &sent)
{
    const endpoint_driver &driver = m_services.relay->driver();
    const attempt_context context{sent.attempt, sent.resumeFrom, callerRequest.answerBy() - now(),
                                  sent.lastPieceId, assignment.endpoint};
    endpoint_attempt attempt;
    attempt.address = assignment.address;
    attempt.attempt = sent.attempt;
    attempt.timeLeft = context.timeLeft;
    attempt.request = driver.prepare(callerRequest, context);
    attempt.request.headers.emplace_back(
            relayGrantHeader, issueRelayGrant(m_services.secret, callerRequest.id, grant()));
    attempt.reader = driver.reader(callerRequest, context);
    attempt.deliver = eventsFromEntry(assignment.endpoint);
    attempt.holdAnswer
            = [exchange = m_exchange](std::size_t bytes) { exchange->holdAnswer(bytes); };
    attempt.checkCaller = [weak = weak_from_this(), number = sent.attempt] {
        if (const auto self = weak.lock())
            self->checkBeforeSend(number, next_leg::Request);
    };
    m_attempt = m_loop.endpoints.start(std::move(attempt));
}

relay_grant caller_session::grant() const
{
    const request &relayed = callerRequest();
    relay_grant out;
    out.entry = m_services.entry;
    out.continuedId = relayed.continuedId.empty() ? relayed.id : relayed.continuedId;
    out.attempts = m_session.lifecycle().reachedAttempts() - 1; // without the one that starts now
    out.usageCounted = m_session.lifecycle().usageCounted();
    return out;
}

/// Without a path to any endpoint, a connection that ends does not show that its endpoint crashed.
std::function<void(event)> caller_session::eventsFromEndpoint() const
{
    return [mailbox = m_mailbox, monitor = m_services.monitor](event sessionEvent) {
        auto *failed = std::get_if<attempt_failed>(&sessionEvent);
        const bool crashed = failed && failed->failure == attempt_failure::Crashed;
        if (crashed && monitor->state() != reach_state::Reached)
            failed->failure = attempt_failure::Disconnected;
        mailbox->post(std::move(sessionEvent));
    };
}

/// The other entry has used the attempts of the route, unless nothing was sent to it or by it.
std::function<void(event)> caller_session::eventsFromEntry(const std::string &entry) const
{
    return [mailbox = m_mailbox, relay = m_services.relay.get(), entry](event sessionEvent) {
        if (auto *failed = std::get_if<attempt_failed>(&sessionEvent)) {
            if (failed->failure == attempt_failure::Crashed)
                failed->failure = attempt_failure::Broken;
            failed->last = failed->failure != attempt_failure::NeverSent;
            if (!failed->last)
                relay->unavailable(entry);
        }
        mailbox->post(std::move(sessionEvent));
    };
}

void caller_session::stop(const request &callerRequest, const endpoint_assignment &assignment)
{
    if (m_attempt)
        m_attempt->cancel();
    if (m_servedElsewhere)
        return;
    const auto call = m_services.driverOf(callerRequest.route.kind).cancel(callerRequest);
    if (call)
        m_loop.endpoints.callIgnoringAnswer(assignment.address, *call);
}

void caller_session::deliver(caller_output output)
{
    recordMetrics(output);
    std::visit([this](auto &alternative) { write(alternative); }, output);
}

void caller_session::beginStream(const stream_head *endpointHead)
{
    if (std::exchange(m_streaming, true))
        return;
    const reading_context context{m_services.control.view(), now(), m_services.entry, 0,
                                  m_services.secret};
    const stream_head head
            = m_services.protocol->streamHead(context, callerRequest(), endpointHead);
    m_exchange->begin(head.status, head.headers);
}

void caller_session::write(const begin_stream &began)
{
    beginStream(&began.head);
}

void caller_session::write(const forward &piece)
{
    beginStream(nullptr);
    m_exchange->send(m_services.protocol->streamPiece(piece.payload));
}

void caller_session::write(const finish_stream &last)
{
    beginStream(nullptr);
    m_exchange->send(m_services.protocol->streamEnd(last.payload));
    m_exchange->finish();
}

void caller_session::write(send_answer &answer)
{
    if (m_streaming)
        return m_exchange->abort();
    m_exchange->reply(m_services.protocol->wholeReply(callerRequest(), std::move(answer.answer)));
}

/// \returns whether another entry can be asked to serve the request in this one's place.
bool caller_session::sentNowhere(const refusal &reason) const
{
    const bool refusedAtOnce = m_services.drain.leaving() && m_session.lifecycle().attempt() == 0;
    return (m_unreached || refusedAtOnce) && !reason.mayHaveRun;
}

void caller_session::write(const refuse &refused)
{
    if (!refused.reason.mayHaveRun)
        m_services.quotas->giveBack(m_charge);
    const std::vector<offered_address> others = m_services.addresses(true);
    if (!m_streaming) {
        auto reply = m_services.protocol->errorReply(refused.reason, callerRequest().id, others);
        if (callerRequest().relay && sentNowhere(refused.reason))
            reply.headers.push_back({std::string(relayUnreachedHeader), "1"});
        m_exchange->reply(std::move(reply));
        return;
    }
    const auto bytes
            = m_services.protocol->brokenStreamEnd(refused.reason, callerRequest().id, others);
    if (!bytes)
        return m_exchange->abort();
    m_exchange->send(*bytes);
    m_exchange->finish();
}

void caller_session::recordMetrics(const caller_output &output)
{
    if (std::holds_alternative<begin_stream>(output))
        return;
    const runtime::metrics::series series{callerRequest().route.name, callerRequest().organisation};
    const nanoseconds elapsed = now() - callerRequest().receivedAt;
    if (const auto *refused = std::get_if<refuse>(&output)) {
        m_services.metrics.refused(series, kernel::errorKindName(refused->reason.kind));
        return;
    }
    if (!std::exchange(m_firstPieceSent, true))
        m_services.metrics.firstPiece(series, elapsed);
    if (!std::holds_alternative<forward>(output))
        m_services.metrics.answered(series, elapsed);
}

} // namespace yuccascale::http

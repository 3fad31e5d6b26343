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

[[nodiscard]] kernel::milliseconds prefillTimeoutFor(const request &subject) noexcept
{
    return prefillBaseTimeout
            + kernel::milliseconds(subject.promptTokens / prefillTokensPerMillisecond);
}

} // namespace

void caller_session::start(caller_services &services, request subject, double weight,
                           std::shared_ptr<net::http_exchange> exchange)
{
    const auto session = std::make_shared<caller_session>(services, std::move(subject), weight,
                                                          std::move(exchange));
    session->begin();
}

caller_session::caller_session(caller_services &services, request subject, double weight,
                               std::shared_ptr<net::http_exchange> exchange)
    : m_services(services)
    , m_loop(services.loopOf(exchange->loop()))
    , m_weight(weight)
    , m_exchange(std::move(exchange))
    , m_timer(m_loop.context)
    , m_session(std::move(subject), services.nextTicket++, services.entry, *this, services.events)
{
    ++m_services.runningRequests;
}

caller_session::~caller_session()
{
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
    m_exchange->onCallerLeft([weak] {
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
    m_timer.expires_after(std::max<nanoseconds>(subject().deadline - now(), nanoseconds(1)));
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &problem) {
        const auto self = weak.lock();
        if (problem || !self || self->m_session.ended())
            return;
        // the timer does not count the time that the VM was suspended, and may fire a little early
        if (self->now() < self->subject().deadline)
            return self->startDeadlineTimer();
        self->m_session.handle(deadline_passed{});
        self->finishIfEnded();
    });
}

void caller_session::handleMessage(caller_mailbox::message message)
{
    if (auto *turn = std::get_if<endpoint_assignment>(&message))
        m_session.assignEndpoint(std::move(*turn));
    else
        m_session.handle(std::move(std::get<event>(message)));
    finishIfEnded();
}

void caller_session::finishIfEnded()
{
    if (!m_session.ended())
        return;
    m_timer.cancel();
    m_mailbox->close();
    m_self.reset();
}

instant caller_session::now() const
{
    return m_services.clock.now();
}

start_check caller_session::checkStart(const request &subject) const
{
    return m_services.checkStart(subject);
}

std::optional<refusal> caller_session::push(std::uint64_t ticket, const request &subject,
                                            const enqueue &options)
{
    return m_services.pools->push(ticket, subject, m_weight, options, m_mailbox);
}

void caller_session::remove(std::uint64_t ticket, const request &subject)
{
    m_services.pools->remove(subject.route.pool, ticket);
}

void caller_session::firstPiece(std::uint64_t ticket, const request &subject)
{
    m_services.pools->firstPiece(subject.route.pool, ticket);
}

finish_findings caller_session::finish(std::uint64_t ticket, const request &subject,
                                       const attempt_result &result)
{
    if (result.answered)
        m_services.metrics.endpointAnswered(m_endpoint, result.timeToFirstToken, result.totalTime);
    else if (!result.excludedFromHealth)
        m_services.metrics.endpointFailed(m_endpoint);
    return m_services.pools->finish(subject.route.pool, ticket, result);
}

void caller_session::claim(const request &subject, const std::string &operationId)
{
    m_services.commits.claim(subject, operationId, [mailbox = m_mailbox](claim_outcome verdict) {
        mailbox->post(event{claim_answered{std::move(verdict)}});
    });
}

void caller_session::withdraw(const request &subject, const std::string &operationId)
{
    m_services.commits.withdraw(subject, operationId);
}

void caller_session::settle(const request &subject, const std::string &operationId,
                            const kernel::requests::settle &settlement)
{
    m_services.commits.settle(subject, operationId, settlement.end, settlement.answer);
}

void caller_session::recordUsage(const request &subject, const token_usage &usage)
{
    m_services.commits.recordUsage(subject, usage, subject.deadline,
                                   [mailbox = m_mailbox](bool committed) {
                                       mailbox->post(event{usage_commit_finished{committed}});
                                   });
}

void caller_session::ban(const request &subject, const std::string &fingerprint)
{
    m_services.bans.add(fingerprint);
    m_services.commits.ban(fingerprint, subject.route.name);
    m_services.pools->stopFingerprint(subject.route.pool, fingerprint);
}

void caller_session::send(const request &subject, const endpoint_assignment &turn,
                          const dispatch &sent)
{
    m_endpoint = turn.endpoint;
    const endpoint_driver &driver = m_services.driverOf(subject.route.kind);
    const bool prefilledElsewhere = !turn.prefillAddress.empty() && sent.resumeFrom == 0;
    attempt_context facts{sent.attempt, sent.resumeFrom, subject.deadline - now(), sent.lastPieceId,
                          turn.endpoint};
    if (!prefilledElsewhere)
        facts.cacheAddress = turn.cacheAddress;
    endpoint_attempt attempt;
    attempt.address = turn.address;
    attempt.attempt = sent.attempt;
    attempt.timeLeft = facts.timeLeft;
    attempt.request = driver.prepare(subject, facts);
    if (prefilledElsewhere) {
        attempt.prefillAddress = turn.prefillAddress;
        attempt.prefillRequest = driver.preparePrefill(
                subject,
                {sent.attempt, 0, facts.timeLeft, {}, turn.prefillEndpoint, turn.cacheAddress});
        attempt.prefillTimeout = std::chrono::ceil<kernel::milliseconds>(
                std::min<nanoseconds>(facts.timeLeft, prefillTimeoutFor(subject)));
        attempt.parsePrefill = [services = &m_services, &driver, turn, pool = subject.route.pool,
                                sentAt = now()](const net::buffered_answer &answer) {
            auto filled = driver.readPrefillAnswer(answer.status, answer.body, turn.prefillAddress);
            const bool hasAnswer = answer.end == net::call_end::Whole;
            const prefill_outcome outcome = filled ? prefill_outcome::Completed
                    : hasAnswer                    ? prefill_outcome::Refused
                                                   : prefill_outcome::Failed;
            services->pools->filled(pool, turn.ticket, outcome, services->clock.now() - sentAt);
            return filled;
        };
    }
    attempt.reader = driver.reader(subject, facts);
    attempt.deliver
            = [mailbox = m_mailbox](event sessionEvent) { mailbox->post(std::move(sessionEvent)); };
    attempt.onHead = [services = &m_services, pool = subject.route.pool,
                      endpoint = turn.endpoint](const answer_reader &reader) {
        if (const auto load = reader.load(services->clock.now()))
            static_cast<void>(services->pools->report(pool, endpoint, *load));
    };
    m_attempt = m_loop.endpoints.start(std::move(attempt));
}

void caller_session::stop(const request &subject, const endpoint_assignment &turn)
{
    if (m_attempt)
        m_attempt->cancel();
    const auto call = m_services.driverOf(subject.route.kind).cancel(subject);
    if (call)
        m_loop.endpoints.callIgnoringAnswer(turn.address, *call);
}

void caller_session::deliver(caller_output output)
{
    recordMetrics(output);
    std::visit([this](const auto &alternative) { write(alternative); }, output);
}

void caller_session::beginStream(const stream_head *endpointHead)
{
    if (std::exchange(m_streaming, true))
        return;
    const reading_context context{m_services.control.view(), now(), m_services.entry, 0,
                                  m_services.secret};
    const stream_head head = m_services.protocol->streamHead(context, subject(), endpointHead);
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

void caller_session::write(const send_answer &answer)
{
    m_exchange->reply(m_services.protocol->wholeReply(subject(), answer.answer));
}

void caller_session::write(const refuse &refused)
{
    const std::vector<offered_address> others = m_services.addresses(true);
    if (!m_streaming) {
        m_exchange->reply(m_services.protocol->errorReply(refused.reason, subject().id, others));
        return;
    }
    const auto bytes = m_services.protocol->brokenStreamEnd(refused.reason, subject().id, others);
    if (!bytes)
        return m_exchange->abort();
    m_exchange->send(*bytes);
    m_exchange->finish();
}

void caller_session::recordMetrics(const caller_output &output)
{
    if (std::holds_alternative<begin_stream>(output))
        return;
    const runtime::metrics::series series{subject().route.name, subject().organisation};
    const nanoseconds elapsed = now() - subject().receivedAt;
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

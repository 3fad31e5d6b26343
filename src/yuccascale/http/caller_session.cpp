#include "yuccascale/http/caller_session.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::http {

using namespace kernel::requests;
using kernel::instant;
using kernel::nanoseconds;

caller_session::caller_session(caller_services &services, request subject, double weight)
    : m_services(services)
    , m_weight(weight)
    , m_session(std::move(subject), services.nextTicket++, services.entry, *this, services.events)
{
    ++m_services.running;
    m_session.begin();
}

caller_session::~caller_session()
{
    if (!m_session.ended()) {
        callerLeft();
        runToEnd();
    }
    --m_services.running;
}

/// A claimed request is not stopped with its caller: a repeat gets its answer.
void caller_session::runToEnd()
{
    while (!m_session.ended()) {
        m_outputs.clear();
        static_cast<void>(next(std::chrono::seconds(1)));
    }
}

std::optional<caller_output> caller_session::next(nanoseconds patience)
{
    const instant giveUpAt = now() + patience;
    const instant deadline = subject().deadline;
    while (m_outputs.empty() && !m_session.ended()) {
        const instant current = now();
        if (current >= giveUpAt)
            return std::nullopt;
        const instant until = current < deadline ? std::min(giveUpAt, deadline) : giveUpAt;
        auto letter = m_mailbox->take(until - current);
        if (!letter && now() >= deadline)
            m_session.handle(deadline_passed{});
        else if (!letter)
            continue;
        else if (auto *turn = std::get_if<scheduled_turn>(&*letter))
            m_session.takeTurn(std::move(*turn));
        else
            m_session.handle(std::move(std::get<event>(*letter)));
    }
    if (m_outputs.empty())
        return std::nullopt;
    caller_output first = std::move(m_outputs.front());
    m_outputs.pop_front();
    return first;
}

void caller_session::callerLeft()
{
    m_session.handle(caller_left{});
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
                                            const enqueue &how)
{
    return m_services.pools->push(ticket, subject, m_weight, how, m_mailbox);
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
        m_services.metrics.endpointAnswered(m_endpoint, result.firstToken, result.whole);
    else if (!result.blameless)
        m_services.metrics.endpointFailed(m_endpoint);
    return m_services.pools->finish(subject.route.pool, ticket, result);
}

void caller_session::claim(const request &subject, const std::string &operationId)
{
    claim_verdict verdict = m_services.commits.claim(subject, operationId);
    m_mailbox->put(event{claim_answered{std::move(verdict)}});
}

void caller_session::withdraw(const request &subject, const std::string &operationId)
{
    m_services.commits.withdraw(subject, operationId);
}

void caller_session::settle(const request &subject, const std::string &operationId,
                            const kernel::requests::settle &how)
{
    m_services.commits.settle(subject, operationId, how.end, how.answer);
}

void caller_session::recordUsage(const request &subject, const token_usage &usage)
{
    m_services.commits.recordUsage(subject, usage, subject.deadline,
                                   [mailbox = m_mailbox](bool committed) {
                                       mailbox->put(event{usage_settled{committed}});
                                   });
}

void caller_session::ban(const request &subject, const std::string &fingerprint)
{
    m_services.bans.add(fingerprint);
    m_services.commits.ban(fingerprint, subject.route.name);
    m_services.pools->stopFingerprint(subject.route.pool, fingerprint);
}

void caller_session::send(const request &subject, const scheduled_turn &turn, const dispatch &sent)
{
    m_endpoint = turn.endpoint;
    const endpoint_driver &driver = m_services.driverOf(subject.route.kind);
    const attempt_facts facts{sent.attempt, sent.resumeFrom, subject.deadline - now()};
    endpoint_attempt attempt;
    attempt.address = turn.address;
    attempt.incarnation = turn.incarnation;
    attempt.attempt = sent.attempt;
    attempt.timeLeft = facts.timeLeft;
    attempt.request = driver.prepare(subject, facts);
    if (!turn.prefillAddress.empty() && sent.resumeFrom == 0) {
        attempt.prefillAddress = turn.prefillAddress;
        attempt.prefillRequest = driver.prepare(subject, facts);
        attempt.prefillRequest.headers.emplace_back("X-Prefill-Only", "1");
    }
    attempt.reader = driver.reader(subject, facts);
    attempt.deliver = [mailbox = m_mailbox](event happened) { mailbox->put(std::move(happened)); };
    m_exchange = m_services.endpoints.start(std::move(attempt));
}

void caller_session::stop(const request &subject, const scheduled_turn &turn)
{
    if (m_exchange)
        m_exchange->cancel();
    const auto call = m_services.driverOf(subject.route.kind).cancel(subject);
    if (call)
        m_services.endpoints.callLater(turn.address, *call);
}

void caller_session::give(caller_output output)
{
    measure(output);
    m_outputs.push_back(std::move(output));
}

void caller_session::measure(const caller_output &output)
{
    const runtime::metrics::series series{subject().route.name, subject().organisation};
    const nanoseconds time = now() - subject().receivedAt;
    if (const auto *refused = std::get_if<refuse>(&output)) {
        m_services.metrics.refused(series, kernel::errorKindName(refused->reason.kind));
        return;
    }
    if (!std::exchange(m_firstPieceGiven, true))
        m_services.metrics.firstPiece(series, time);
    if (!std::holds_alternative<forward>(output))
        m_services.metrics.answered(series, time);
}

} // namespace yuccascale::http

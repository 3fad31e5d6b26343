#include "yuccascale/http/caller_session.hpp"

#include "yuccascale/kernel/requests/events.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::http {

using namespace kernel::requests;
using kernel::instant;
using kernel::milliseconds;
using kernel::nanoseconds;

namespace {

[[nodiscard]] std::int64_t wholeMs(nanoseconds time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

} // namespace

caller_session::caller_session(caller_services &services, request subject, double weight)
    : m_services(services)
    , m_life(std::move(subject))
    , m_weight(weight)
    , m_ticket(services.nextTicket++)
    , m_claimOperation("claim/" + services.entry + "/" + std::to_string(m_ticket))
{
    ++m_services.running;
    performAll(m_life.start(m_services.clock.now(), m_services.checkStart(m_life.subject())));
}

caller_session::~caller_session()
{
    if (m_life.state() != request_state::Ended) {
        callerLeft();
        runToEnd();
    }
    --m_services.running;
}

/// A claimed request is not stopped with its caller: a repeat gets its answer.
void caller_session::runToEnd()
{
    while (m_life.state() != request_state::Ended)
        static_cast<void>(next(std::chrono::seconds(1)));
}

bool caller_session::ended() const noexcept
{
    return m_life.state() == request_state::Ended && m_outputs.empty();
}

std::optional<caller_output> caller_session::next(nanoseconds patience)
{
    const instant giveUpAt = m_services.clock.now() + patience;
    while (m_outputs.empty() && m_life.state() != request_state::Ended) {
        const instant now = m_services.clock.now();
        const instant deadline = subject().deadline;
        const instant until = now < deadline ? std::min(giveUpAt, deadline) : giveUpAt;
        if (now >= giveUpAt)
            return std::nullopt;
        auto letter = m_mailbox->take(until - now);
        if (!letter) {
            if (m_services.clock.now() >= deadline)
                handle(deadline_passed{});
            continue;
        }
        if (auto *turn = std::get_if<scheduled_turn>(&*letter))
            takeTurn(std::move(*turn));
        else
            handle(std::get<event>(*letter));
    }
    if (m_outputs.empty())
        return std::nullopt;
    caller_output first = std::move(m_outputs.front());
    m_outputs.pop_front();
    return first;
}

void caller_session::callerLeft()
{
    m_services.events.record(requestCancelled,
                             {{"request_id", subject().id},
                              {"state", requestStateName(m_life.state())},
                              {"reason", "the caller left"}});
    handle(caller_left{});
}

void caller_session::takeTurn(scheduled_turn turn)
{
    m_turn = std::move(turn);
    handle(turn_came{m_turn->endpoint, m_turn->zone, m_services.checkStart(subject())});
}

void caller_session::handle(const event &happened)
{
    note(happened);
    performAll(m_life.handle(m_services.clock.now(), happened));
}

/// Tells the pool how the attempt went, before the request's own decision.
void caller_session::note(const event &happened)
{
    const instant now = m_services.clock.now();
    attempt_result result;
    result.firstToken = m_firstPieceAt == instant{} ? now - m_sentAt : m_firstPieceAt - m_sentAt;
    result.whole = now - m_sentAt;
    if (const auto *piece = std::get_if<piece_arrived>(&happened)) {
        if (piece->attempt == m_life.attempt() && m_firstPieceAt == instant{}) {
            m_firstPieceAt = now;
            m_services.pools->firstPiece(subject().route.pool, m_ticket);
        }
        return;
    }
    if (const auto *finished = std::get_if<stream_finished>(&happened)) {
        if (finished->attempt != m_life.attempt())
            return;
        result.answered = true;
        result.usage = finished->usage;
        finishTurn(result);
    } else if (const auto *arrived = std::get_if<answer_arrived>(&happened)) {
        if (arrived->attempt != m_life.attempt())
            return;
        result.answered = true;
        result.usage = arrived->usage;
        finishTurn(result);
    } else if (const auto *failed = std::get_if<attempt_failed>(&happened)) {
        if (failed->attempt != m_life.attempt())
            return;
        m_services.events.record(failed->how == attempt_failure::Doubtful ? answerDoubtful
                                                                          : requestRetried,
                                 {{"request_id", subject().id},
                                  {"endpoint", m_life.endpoint()},
                                  {"attempt", failed->attempt},
                                  {"failure", attemptFailureName(failed->how)}});
        result.crashed = failed->how == attempt_failure::Crashed;
        result.blameless = failed->how == attempt_failure::SaidNotRun;
        finishTurn(result);
    }
}

void caller_session::finishTurn(const attempt_result &result)
{
    if (!m_turn)
        return;
    const std::string endpoint = m_turn->endpoint;
    m_turn.reset();
    const finish_findings findings
            = m_services.pools->finish(subject().route.pool, m_ticket, result);
    if (result.crashed)
        m_services.events.record(endpointCrashed, {{"endpoint", endpoint}});
    if (findings.breakerOpened)
        m_services.events.record(endpointSick, {{"endpoint", endpoint}});
    if (findings.breakerClosed)
        m_services.events.record(endpointRecovered, {{"endpoint", endpoint}});
    if (findings.guiltyFingerprint.empty())
        return;
    m_services.bans.add(findings.guiltyFingerprint);
    m_services.commits.ban(findings.guiltyFingerprint, subject().route.name);
    m_services.events.record(requestGuilty,
                             {{"fingerprint", findings.guiltyFingerprint},
                              {"route", subject().route.name},
                              {"endpoint", endpoint}});
}

void caller_session::performAll(const std::vector<action> &actions)
{
    for (const action &next : actions)
        std::visit([this](const auto &kind) { perform(kind); }, next);
}

void caller_session::perform(const enqueue &how)
{
    if (how.retry && m_services.bans.contains(subject().fingerprint)) {
        handle(found_guilty{});
        return;
    }
    auto refused = m_services.pools->push(m_ticket, subject(), m_weight, how, m_mailbox);
    if (refused) {
        refused->mayHaveRun = m_life.mayHaveRun();
        handle(queue_refused{std::move(*refused)});
    }
}

void caller_session::perform(const dequeue &)
{
    m_services.pools->remove(subject().route.pool, m_ticket);
}

void caller_session::perform(const release_turn &)
{
    attempt_result unused;
    unused.blameless = true;
    finishTurn(unused);
}

void caller_session::perform(const submit_claim &)
{
    claim_verdict verdict = m_services.commits.claim(subject(), m_claimOperation);
    handle(claim_answered{std::move(verdict), m_services.checkStart(subject())});
}

void caller_session::perform(const withdraw_claim &)
{
    m_services.commits.withdraw(subject(), m_claimOperation);
}

void caller_session::perform(const dispatch &sent)
{
    const instant now = m_services.clock.now();
    const endpoint_driver &driver = m_services.driverOf(subject().route.kind);
    attempt_facts facts{sent.attempt, sent.resumeFrom, subject().deadline - now, {}};
    endpoint_attempt attempt;
    attempt.address = m_turn->address;
    attempt.incarnation = m_turn->incarnation;
    attempt.attempt = sent.attempt;
    attempt.timeLeft = facts.timeLeft;
    attempt.request = driver.prepare(subject(), facts);
    if (!m_turn->prefillAddress.empty() && sent.resumeFrom == 0) {
        attempt.prefillAddress = m_turn->prefillAddress;
        attempt.prefillRequest = driver.prepare(subject(), facts);
        attempt.prefillRequest.headers.emplace_back("X-Prefill-Only", "1");
    }
    attempt.reader = driver.reader(subject(), facts);
    attempt.deliver = [mailbox = m_mailbox](event happened) { mailbox->put(std::move(happened)); };
    m_sentAt = now;
    m_firstPieceAt = {};
    m_services.events.record(requestRouted,
                             {{"request_id", subject().id},
                              {"route", subject().route.name},
                              {"organisation", subject().organisation},
                              {"endpoint", m_turn->endpoint},
                              {"zone", m_turn->zone},
                              {"attempt", sent.attempt},
                              {"resume_from", sent.resumeFrom},
                              {"prefill", m_turn->prefillEndpoint},
                              {"waited_ms", wholeMs(now - subject().receivedAt)},
                              {"predicted_first_ms", wholeMs(m_turn->predictedFirstToken)},
                              {"reason", m_turn->reason}});
    m_exchange = m_services.endpoints.start(std::move(attempt));
}

void caller_session::perform(const cancel &stopped)
{
    if (m_exchange)
        m_exchange->cancel();
    const auto call = m_services.driverOf(subject().route.kind).cancel(subject());
    if (call && m_turn)
        m_services.endpoints.callLater(m_turn->address, *call);
    m_services.events.record(requestCancelled,
                             {{"request_id", subject().id},
                              {"endpoint", stopped.endpoint},
                              {"attempt", stopped.attempt}});
    attempt_result unfinished;
    unfinished.blameless = true;
    finishTurn(unfinished);
}

void caller_session::perform(const forward &piece)
{
    m_outputs.emplace_back(piece);
}

void caller_session::perform(const commit_usage &usage)
{
    m_services.commits.recordUsage(subject(), usage.usage, subject().deadline,
                                   [mailbox = m_mailbox](bool committed) {
                                       mailbox->put(event{usage_settled{committed}});
                                   });
}

void caller_session::perform(const settle &end)
{
    m_services.commits.settle(subject(), m_claimOperation, end.end, end.answer);
}

void caller_session::perform(const finish_stream &last)
{
    m_services.events.record(requestAnswered,
                             {{"request_id", subject().id},
                              {"pieces", m_life.delivered()},
                              {"took_ms", wholeMs(m_services.clock.now() - subject().receivedAt)}});
    m_outputs.emplace_back(last);
}

void caller_session::perform(const give_answer &answer)
{
    m_services.events.record(requestAnswered,
                             {{"request_id", subject().id},
                              {"status", answer.answer.status},
                              {"recorded", static_cast<int>(answer.recorded)},
                              {"took_ms", wholeMs(m_services.clock.now() - subject().receivedAt)}});
    m_outputs.emplace_back(answer);
}

void caller_session::perform(const refuse &refused)
{
    m_services.events.record(requestRefused,
                             {{"request_id", subject().id},
                              {"route", subject().route.name},
                              {"organisation", subject().organisation},
                              {"kind", kernel::errorKindName(refused.reason.kind)},
                              {"may_have_run", static_cast<int>(refused.reason.mayHaveRun)},
                              {"retry_after_ms", wholeMs(refused.reason.retryAfter)}});
    m_outputs.emplace_back(refused);
}

} // namespace yuccascale::http

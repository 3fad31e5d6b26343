#include "yuccascale/kernel/state/claims.hpp"

#include "yuccascale/kernel/free_memory.hpp"
#include "yuccascale/kernel/state/answers.hpp"

#include <xxhash.h>

#include <algorithm>

namespace yuccascale::kernel::state {

namespace {

/// The length prefixes keep two different triples from producing the same key.
std::string claimKey(const std::string &organisation, const std::string &route,
                     const std::string &idempotencyKey)
{
    return std::to_string(organisation.size()) + ":" + organisation + std::to_string(route.size())
            + ":" + route + idempotencyKey;
}

command_result refusedAsTooOld()
{
    return refused(error_kind::OutcomeUnknown,
                   "the claim of this idempotency key is no longer kept, so the request may have "
                   "run; check its outcome with the service, and use a new key for a new request",
                   {{"state", "too_old"}});
}

} // namespace

command_result claims::claim(const std::string &operationId, const claim_request &request)
{
    const std::string key = claimKey(request.organisation, request.route, request.idempotencyKey);
    const auto found = m_records.find(key);
    if (found != m_records.end())
        return claimAgain(found->second, operationId, request);
    const bool digestMayBeDropped
            = request.issuedMs != 0 && request.issuedMs <= m_digestsDroppedUntilMs;
    if (digestMayBeDropped || m_expired.contains(digestOf(key)))
        return refusedAsTooOld();
    return grant(key, operationId, request);
}

command_result claims::claimAgain(claim_record &record, const std::string &operationId,
                                  const claim_request &request)
{
    if (record.fingerprint != request.fingerprint) {
        return refused(
                error_kind::InvalidArgument,
                "the idempotency key was already used for a different request; use a new key",
                {{"state", "other_request"}});
    }
    const bool sameOperation = !operationId.empty() && record.operationId == operationId;
    if (sameOperation && (record.is(claim_state::Running) || record.is(claim_state::NotRun)))
        return accepted({{"state", "claimed"}});
    if (!record.is(claim_state::NotRun))
        return refusalFor(record);
    record.operationId = operationId;
    record.entry = request.entry;
    record.wallMs = request.wallMs;
    record.state = static_cast<int>(claim_state::Running);
    return accepted({{"state", "claimed"}});
}

command_result claims::refusalFor(const claim_record &record)
{
    if (record.is(claim_state::Running)) {
        return refused(
                error_kind::Conflict,
                "a request with this idempotency key is still running; repeat the request later",
                {{"state", "running"}, {"entry", record.entry}, {"wallMs", record.wallMs}});
    }
    if (record.is(claim_state::Unknown)) {
        return refused(error_kind::OutcomeUnknown,
                       "the request with this idempotency key may have run and its outcome is "
                       "unknown; check it with the service",
                       {{"state", "unknown"}});
    }
    json detail{
            {"state", "answered"}, {"status", record.status}, {"contentType", record.contentType}};
    if (!record.answerKept) {
        return refused(error_kind::Conflict,
                       "the request with this idempotency key ran and was answered, but its answer "
                       "is not kept; check its outcome with the service",
                       std::move(detail));
    }
    detail["answer"] = record.answer;
    return refused(
            error_kind::Conflict,
            "the request with this idempotency key already ran; its recorded answer is returned",
            std::move(detail));
}

command_result claims::grant(const std::string &key, const std::string &operationId,
                             const claim_request &request)
{
    if (!ensureCapacity()) {
        return refused(error_kind::Overloaded,
                       "all " + std::to_string(m_bounds.claims)
                               + " claims that are kept are of running requests; send the request "
                                 "again later",
                       {{"state", "refused"}});
    }
    claim_record record;
    record.key = key;
    record.operationId = operationId;
    record.fingerprint = request.fingerprint;
    record.entry = request.entry;
    record.wallMs = request.wallMs;
    insert(std::move(record));
    return accepted({{"state", "claimed"}});
}

void claims::insert(claim_record record)
{
    m_keysOldestFirst.push_back(record.key);
    std::string key = record.key;
    m_records.emplace(std::move(key), std::move(record));
}

/// Expires the oldest claims that are not running until one more fits. Running claims move to the
/// end of the queue.
/// \returns false when all claims are running.
bool claims::ensureCapacity()
{
    for (std::size_t remainingChecks = m_keysOldestFirst.size();
         m_records.size() >= m_bounds.claims; --remainingChecks) {
        if (remainingChecks == 0)
            return false;
        const std::string key = std::move(m_keysOldestFirst.front());
        m_keysOldestFirst.pop_front();
        const auto found = m_records.find(key);
        if (found->second.is(claim_state::Running)) {
            m_keysOldestFirst.push_back(key);
            continue;
        }
        expire(found->second);
        m_records.erase(found);
    }
    while (!m_answeredOldestFirst.empty() && !m_records.contains(m_answeredOldestFirst.front()))
        m_answeredOldestFirst.pop_front();
    return true;
}

void claims::expire(const claim_record &record)
{
    if (record.answerKept)
        m_answerBytes -= record.answer.size();
    if (record.is(claim_state::NotRun))
        return;
    const digest key = digestOf(record.key);
    if (m_expired.insert(key).second)
        m_expiredOldestFirst.push_back({key, record.wallMs});
    while (m_expiredOldestFirst.size() > m_bounds.expiredClaims) {
        const expired_claim &oldest = m_expiredOldestFirst.front();
        m_digestsDroppedUntilMs = std::max(m_digestsDroppedUntilMs, oldest.wallMs);
        m_expired.erase(oldest.key);
        m_expiredOldestFirst.pop_front();
    }
}

command_result claims::settle(const settle_claim &settlement)
{
    const auto found = m_records.find(
            claimKey(settlement.organisation, settlement.route, settlement.idempotencyKey));
    if (found == m_records.end()) {
        return refused(error_kind::NotFound,
                       "there is no claim of this organisation, route and idempotency key, or it "
                       "has expired; there is nothing to settle");
    }
    claim_record &record = found->second;
    if (record.entry != settlement.entry) {
        return refused(error_kind::Forbidden,
                       "the claim was made by entry " + record.entry
                               + "; only that entry may settle it");
    }
    if (record.operationId != settlement.claimOperation) {
        return refused(error_kind::InvalidArgument,
                       "the settlement is for an earlier claim of the idempotency key; set "
                       "claimOperation to the operation id of the current claim");
    }
    if (record.is(claim_state::Answered))
        return accepted();
    if (settlement.end == claim_outcome::Answered)
        keepAnswer(record, settlement);
    else if (settlement.end == claim_outcome::NotRun)
        record.state = static_cast<int>(claim_state::NotRun);
    else if (record.is(claim_state::Running))
        record.state = static_cast<int>(claim_state::Unknown);
    return accepted();
}

void claims::keepAnswer(claim_record &record, const settle_claim &settlement)
{
    record.state = static_cast<int>(claim_state::Answered);
    record.status = settlement.status;
    record.contentType = settlement.contentType;
    if (settlement.answer.size() > m_bounds.maxRecordedAnswerBytes)
        return;
    record.answer = settlement.answer;
    record.answerKept = true;
    m_answerBytes += record.answer.size();
    m_answeredOldestFirst.push_back(record.key);
    dropOldAnswers();
}

void claims::dropOldAnswers()
{
    while (m_answerBytes > m_bounds.claimAnswerBytes) {
        const auto found = m_records.find(m_answeredOldestFirst.front());
        m_answeredOldestFirst.pop_front();
        if (found == m_records.end() || !found->second.answerKept)
            continue;
        claim_record &oldest = found->second;
        m_answerBytes -= oldest.answer.size();
        freeMemory(oldest.answer);
        oldest.answerKept = false;
    }
}

std::size_t claims::retire(const std::string &entry)
{
    std::size_t markedUnknown = 0;
    for (auto &[key, record] : m_records) {
        if (record.entry != entry || !record.is(claim_state::Running))
            continue;
        record.state = static_cast<int>(claim_state::Unknown);
        ++markedUnknown;
    }
    return markedUnknown;
}

claims::digest claims::digestOf(const std::string &key) noexcept
{
    const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
    return {hash.low64, hash.high64};
}

void claims::save(snapshot_writer &out) const
{
    out.put(m_digestsDroppedUntilMs);
    out.putAll(m_expiredOldestFirst);
    out.putAll(m_answeredOldestFirst);
    out.put(m_keysOldestFirst.size());
    for (const std::string &key : m_keysOldestFirst)
        out.put(m_records.at(key));
}

void claims::load(snapshot_reader &in)
{
    m_digestsDroppedUntilMs = in.get<std::int64_t>();
    in.getAll<expired_claim>([&](const expired_claim &claim) {
        m_expired.insert(claim.key);
        m_expiredOldestFirst.push_back(claim);
    });
    in.getAll<std::string>(
            [&](std::string key) { m_answeredOldestFirst.push_back(std::move(key)); });
    in.getAll<claim_record>([&](claim_record record) {
        if (record.answerKept)
            m_answerBytes += record.answer.size();
        insert(std::move(record));
    });
}

} // namespace yuccascale::kernel::state

#pragma once

#include "yuccascale/kernel/state/commands.hpp"
#include "yuccascale/kernel/state/limits.hpp"
#include "yuccascale/kernel/state/snapshot_stream.hpp"

#include <array>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>

/// \file
/// \brief Claims of non-idempotent requests: the request of an idempotency key runs at most once.

namespace yuccascale::kernel::state {

/// \brief The committed claims and their outcomes.
///
/// An accepted result of a claim_request permits the request to run. A refused result carries
/// detail.state: "running", "answered" (with status, contentType and answer; answer is left out
/// when it was too large or is no longer kept), "unknown", "other_request", "too_old", or "refused"
/// when too many claims are running.
class claims
{
public:
    explicit claims(const limits &bounds)
        : m_bounds(bounds)
    { }

    [[nodiscard]] command_result claim(const std::string &operationId,
                                       const claim_request &request);
    [[nodiscard]] command_result settle(const settle_claim &settlement);

    /// \brief Sets the running claims of an entry to unknown; only that entry may still settle
    /// them.
    /// \returns the number of claims that were changed.
    std::size_t retire(const std::string &entry);

    void save(snapshot_writer &out) const;
    void load(snapshot_reader &in);

private:
    enum class claim_state { Running, Answered, NotRun, Unknown };
    using digest = std::array<std::uint64_t, 2>;

    struct claim_record
    {
        std::string key; ///< organisation, route and idempotency key
        std::string operationId;
        std::string fingerprint;
        std::string entry;
        std::int64_t wallMs = 0;
        int state = 0;
        int status = 0;
        std::string contentType;
        std::string answer;
        bool answerKept = false;

        NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(claim_record, key, operationId, fingerprint,
                                                    entry, wallMs, state, status, contentType,
                                                    answer, answerKept)

        [[nodiscard]] bool is(claim_state other) const noexcept
        {
            return state == static_cast<int>(other);
        }
    };

    struct expired_claim
    {
        digest key{};
        std::int64_t wallMs = 0;

        NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(expired_claim, key, wallMs)
    };

    struct digest_hash
    {
        std::size_t operator()(const digest &value) const noexcept { return value[0]; }
    };

    [[nodiscard]] static digest digestOf(const std::string &key) noexcept;
    [[nodiscard]] static command_result refusalFor(const claim_record &record);
    [[nodiscard]] command_result claimAgain(claim_record &record, const std::string &operationId,
                                            const claim_request &request);
    [[nodiscard]] command_result grant(const std::string &key, const std::string &operationId,
                                       const claim_request &request);
    void insert(claim_record record);
    [[nodiscard]] bool ensureCapacity();
    void expire(const claim_record &record);
    void keepAnswer(claim_record &record, const settle_claim &settlement);
    void dropOldAnswers();

    const limits &m_bounds;
    std::unordered_map<std::string, claim_record> m_records;
    std::deque<std::string> m_keysOldestFirst;     ///< running claims move to the end at the limit
    std::deque<std::string> m_answeredOldestFirst; ///< keys whose answers are kept
    std::size_t m_answerBytes = 0;
    std::unordered_set<digest, digest_hash> m_expired;
    std::deque<expired_claim> m_expiredOldestFirst;
    /// Digests of keys issued until then may have been dropped
    std::int64_t m_digestsDroppedUntilMs = 0;
};

} // namespace yuccascale::kernel::state

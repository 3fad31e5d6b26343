#include "yuccascale/kernel/requests/claim_verdict.hpp"

#include <array>

namespace yuccascale::kernel::requests {

namespace {

constexpr std::array<std::string_view, 9> stateNames{
        "granted",  "answered",    "running", "unknown",  "key_reused",
        "not_sent", "answer_lost", "refused", "not_kept",
};

/// Allowance for wall clock skew between two VMs and for the commit that ends a claim.
constexpr milliseconds maxClockSkew{3'000};

complete_answer recordedAnswer(const json &detail)
{
    complete_answer recorded;
    recorded.status = detail.value("status", 200);
    recorded.contentType = detail.value("contentType", std::string("application/json"));
    recorded.body = detail.value("answer", std::string());
    return recorded;
}

} // namespace

claim_decision claimDecision(const state::command_result &answer, wall_time now,
                             milliseconds deadline)
{
    if (answer.accepted)
        return {claim_state::Granted, {}, {}};
    const std::string state
            = answer.detail.is_object() ? answer.detail.value("state", std::string()) : "";
    if (state == "answered" && answer.detail.contains("answer"))
        return {claim_state::Answered, recordedAnswer(answer.detail), {}};
    if (state == "running") {
        const wall_time claimedAt{milliseconds(answer.detail.value("wallMs", std::int64_t{0}))};
        const bool expired = now > claimedAt + deadline + maxClockSkew;
        return {expired ? claim_state::Unknown : claim_state::Running, {}, {}};
    }
    if (state == "unknown")
        return {claim_state::Unknown, {}, {}};
    if (state == "other_request")
        return {claim_state::KeyReused, {}, {}};
    if (state == "answered" || state == "too_old")
        return {claim_state::NotKept, {}, {answer.kind, "claim", answer.message}};
    return {claim_state::Refused, {}, {answer.kind, "claim", answer.message}};
}

claim_decision claimDecision(const error &failure)
{
    if (failure.kind == error_kind::OutcomeUnknown)
        return {claim_state::AnswerLost, {}, failure};
    return {claim_state::NotSent, {}, failure};
}

std::string_view claimStateName(claim_state state) noexcept
{
    return stateNames[static_cast<std::size_t>(state)];
}

} // namespace yuccascale::kernel::requests

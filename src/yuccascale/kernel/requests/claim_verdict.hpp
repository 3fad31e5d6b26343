#pragma once

#include "yuccascale/kernel/requests/request.hpp"
#include "yuccascale/kernel/state/commands.hpp"

#include <string>

/// \file
/// \brief Interprets the log's answer to a claim for the request that submitted it.

namespace yuccascale::kernel::requests {

/// \brief Outcomes of a claim.
enum class claim_state {
    Granted,    ///< the request may run, once
    Answered,   ///< the request ran before; its answer is recorded
    Running,    ///< another request with this key is running
    Unknown,    ///< the request may have run; its outcome cannot be determined
    KeyReused,  ///< the key was used by a different request
    NotSent,    ///< the claim did not reach the log
    AnswerLost, ///< the claim may be committed; retry with the same operation id
    Refused,    ///< the log refused the claim for another reason
    NotKept,    ///< the request may have run, and its answer is no longer kept
};

/// \brief Outcome of a claim, with the recorded answer if there is one.
struct claim_decision
{
    claim_state state = claim_state::Refused;
    complete_answer recorded; ///< for Answered
    error reason;             ///< for Refused and NotKept
};

/// \brief Interprets the state machine's answer to a claim_request.
///
/// An entry ends each request at its deadline. A claim that is still open well after it belongs to
/// an entry that crashed, so its outcome is never recorded.
/// \param now wall clock of this VM, which may differ from the clock of the claiming entry
/// \param deadline time limit of the route's requests
[[nodiscard]] claim_decision claimDecision(const state::command_result &answer, wall_time now,
                                           milliseconds deadline);

/// \brief Interprets a failure to submit the claim.
[[nodiscard]] claim_decision claimDecision(const error &failure);

/// \returns the name of \a state in logs, such as "granted".
[[nodiscard]] std::string_view claimStateName(claim_state state) noexcept;

} // namespace yuccascale::kernel::requests

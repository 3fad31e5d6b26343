#pragma once

#include "yuccascale/kernel/requests/request.hpp"
#include "yuccascale/kernel/state/commands.hpp"

#include <string>

/// \file
/// \brief What the log's answer to a claim means for the request that made it.

namespace yuccascale::kernel::requests {

/// \brief Answers to a claim.
enum class claim_state {
    Granted,    ///< the request may run, once
    Answered,   ///< it ran; its answer is recorded
    Running,    ///< another request with this key runs now
    Unknown,    ///< it may have run and nobody knows the end
    KeyReused,  ///< the key belongs to another request
    NotSent,    ///< the claim did not reach the log
    AnswerLost, ///< the claim may be in the log; send the same operation id again
    Refused,    ///< the log refuses it for another reason
    NotKept,    ///< it may have run, and its answer is not kept
};

/// \brief A claim's answer with the recorded answer, if there is one.
struct claim_outcome
{
    claim_state state = claim_state::Refused;
    complete_answer recorded; ///< of Answered
    error reason;             ///< of Refused and NotKept
};

/// \brief Reads the state machine's answer to a claim_request.
///
/// An entry ends each request at its deadline. A claim that is still open well after that belongs
/// to an entry that died, and nobody will tell its end. \param now this VM's wall clock, which may
/// differ from that of the claim's entry \param deadline of the route
[[nodiscard]] claim_outcome claimOutcome(const state::command_result &answer, wall_time now,
                                         milliseconds deadline);

/// \brief Reads the failure of a submit.
[[nodiscard]] claim_outcome claimOutcome(const error &failure);

/// \returns the name of \a state in logs, such as "granted".
[[nodiscard]] std::string_view claimStateName(claim_state state) noexcept;

} // namespace yuccascale::kernel::requests

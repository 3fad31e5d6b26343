#pragma once

#include "yuccascale/kernel/state/commands.hpp"

#include <string>
#include <utility>

/// \file
/// \brief Makers of the state machine's answers.

namespace yuccascale::kernel::state {

/// \returns an accepting answer with \a detail.
[[nodiscard]] inline command_result accepted(json detail = {})
{
    command_result answer;
    answer.accepted = true;
    answer.detail = std::move(detail);
    return answer;
}

/// \returns a refusal whose \a message names the remedy.
[[nodiscard]] inline command_result refused(error_kind kind, std::string message, json detail = {})
{
    command_result answer;
    answer.kind = kind;
    answer.message = std::move(message);
    answer.detail = std::move(detail);
    return answer;
}

} // namespace yuccascale::kernel::state

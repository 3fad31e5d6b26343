#pragma once

#include "yuccascale/kernel/state/commands.hpp"

#include <string>
#include <utility>

/// \file
/// \brief Helpers that build the results of commands.

namespace yuccascale::kernel::state {

/// \returns an accepted result with \a detail.
[[nodiscard]] inline command_result accepted(json detail = {})
{
    command_result answer;
    answer.accepted = true;
    answer.detail = std::move(detail);
    return answer;
}

/// \returns a refused result whose \a message gives the reason and the remedy.
[[nodiscard]] inline command_result refused(error_kind kind, std::string message, json detail = {})
{
    command_result answer;
    answer.kind = kind;
    answer.message = std::move(message);
    answer.detail = std::move(detail);
    return answer;
}

} // namespace yuccascale::kernel::state

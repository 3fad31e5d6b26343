#pragma once

#include "yuccascale/kernel/json.hpp"

#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// \brief The answer that every engine stand-in generates for a prompt. It depends on the prompt
///        alone, so that callers can verify it.

namespace yuccascale::fakes {

constexpr std::int64_t bytesPerToken = 4;

/// \returns the prompt of a chat request (its message contents joined by line breaks) or a
///          completion request.
[[nodiscard]] std::string promptOf(const kernel::json &body);

/// \returns the number of tokens of \a prompt.
[[nodiscard]] std::int64_t promptTokens(std::string_view prompt) noexcept;

/// \returns the hash of \a prompt that seeds its answer.
[[nodiscard]] std::uint64_t promptHash(std::string_view prompt) noexcept;

/// \returns piece \a index of the answer; a piece is one output token.
[[nodiscard]] std::string answerPiece(std::uint64_t promptHash, std::int64_t index);

/// \returns the whole answer of \a pieces pieces.
[[nodiscard]] std::string answerText(std::uint64_t promptHash, std::int64_t pieces);

} // namespace yuccascale::fakes

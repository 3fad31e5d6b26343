#pragma once

#include <cstdint>

/// \file
/// \brief Cost of a request in prompt-token equivalents.

namespace yuccascale::kernel::policy {

/// \brief Weights of the kinds of token, relative to an uncached prompt token.
struct cost_weights
{
    double cachedPrompt = 0.05; ///< a prompt token found in the prefix cache
    double output = 5.0;        ///< a generated token
};

/// \returns the cost of a request, at least 1.
[[nodiscard]] constexpr double requestCost(std::int64_t promptTokens, std::int64_t cachedTokens,
                                           std::int64_t outputTokens,
                                           const cost_weights &weights = {}) noexcept
{
    const std::int64_t cached = cachedTokens < promptTokens ? cachedTokens : promptTokens;
    const double cost = static_cast<double>(promptTokens - cached)
            + weights.cachedPrompt * static_cast<double>(cached)
            + weights.output * static_cast<double>(outputTokens);
    return cost < 1.0 ? 1.0 : cost;
}

} // namespace yuccascale::kernel::policy

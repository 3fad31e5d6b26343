#pragma once

#include "yuccascale/kernel/policy/routing.hpp"

/// \file
/// \brief Estimates the time from dispatch to the complete answer from finished requests.

namespace yuccascale::kernel::policy {

/// \brief Predicts waiting_request::predictedService.
class service_estimate
{
public:
    /// \returns the predicted time from dispatch to the complete answer.
    [[nodiscard]] nanoseconds predict(std::int64_t promptTokens,
                                      std::int64_t outputTokens) const noexcept;

    /// \brief Updates the estimate from a finished attempt; ignores failed ones.
    void observe(const routing_outcome &outcome) noexcept;

private:
    double m_firstTokenFactor = 1.0; ///< observed time to first token, relative to an idle engine
    double m_secondsPerToken = 0.010;
};

} // namespace yuccascale::kernel::policy

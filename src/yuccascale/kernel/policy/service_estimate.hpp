#pragma once

#include "yuccascale/kernel/policy/routing.hpp"

/// \file
/// \brief Time from dispatch to the whole answer, learnt from finished requests of one pool.

namespace yuccascale::kernel::policy {

/// \brief Predicts waiting_request::predictedService.
class service_estimate
{
public:
    /// \returns the time that a request takes from dispatch on.
    [[nodiscard]] nanoseconds predict(std::int64_t promptTokens,
                                      std::int64_t outputTokens) const noexcept;

    /// \brief Learns from a finished try; failed ones teach nothing.
    void observe(const routing_outcome &outcome) noexcept;

private:
    double m_firstTokenFactor = 1.0; ///< of the first token's time on an idle engine
    double m_secondsPerToken = 0.010;
};

} // namespace yuccascale::kernel::policy

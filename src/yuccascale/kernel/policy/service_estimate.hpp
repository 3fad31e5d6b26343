#pragma once

#include "yuccascale/kernel/policy/routing.hpp"

#include <optional>

/// \file
/// \brief Estimates the time from dispatch to the complete answer from finished requests.

namespace yuccascale::kernel::policy {

/// \brief Fits a straight line to observations, with less weight for older ones.
class line_fit
{
public:
    void observe(double x, double y) noexcept;

    /// \returns whether there are enough observations for a prediction.
    [[nodiscard]] bool known() const noexcept;

    /// \returns the value of the line at \a x, at least 0. Without different values of x so far,
    ///          the mean of y.
    [[nodiscard]] double at(double x) const noexcept;

private:
    double m_weight = 0;
    double m_meanX = 0;
    double m_meanY = 0;
    double m_varianceX = 0;
    double m_covariance = 0;
};

/// \brief Predicts waiting_request::predictedService of one kind of request.
class service_estimate
{
public:
    /// \returns the predicted time from dispatch to the complete answer; nothing before the first
    ///          few observations.
    [[nodiscard]] std::optional<nanoseconds> predict(std::int64_t promptTokens,
                                                     std::int64_t outputTokens) const noexcept;

    /// \brief Updates the estimate from a finished attempt; ignores failed ones.
    void observe(const routing_outcome &outcome) noexcept;

private:
    line_fit m_firstTokenSeconds; ///< by prompt tokens
    double m_secondsPerToken = 0; ///< between output tokens
};

} // namespace yuccascale::kernel::policy

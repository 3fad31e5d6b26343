#pragma once

#include "yuccascale/kernel/policy/routing.hpp"

#include <span>
#include <vector>

/// \file
/// \brief Estimates the requests at endpoints that report a pace, and the time that they take.

namespace yuccascale::kernel::policy {

/// \brief Estimates how many requests each endpoint has, running or waiting.
///
/// Addresses reports that are seconds old for some endpoints and new for others. This entry's
/// requests are known exactly. What a report says of others moves to the mean of the pool as the
/// requests that it counted end.
class occupancy_estimator
{
public:
    /// \param indexes indexes into \a views, whose speeds are known, of the endpoints to estimate
    /// \returns one number for each index, valid until the next call.
    [[nodiscard]] std::span<const double> estimate(instant now,
                                                   std::span<const endpoint_view> views,
                                                   std::span<const std::size_t> indexes);

private:
    std::vector<double> m_weights; ///< of the reports
    std::vector<double> m_others;  ///< requests of other entries, by the reports
    std::vector<double> m_requests;
};

/// \returns the expected time of a whole answer at the endpoint, without a queue, in seconds.
[[nodiscard]] double answerSecondsAt(instant now, const endpoint_view &view) noexcept;

/// \returns prompt tokens a second at the endpoint while it prefills \a tokens.
/// \param usualRate used where the endpoint's own is not known
[[nodiscard]] double prefillRateAt(instant now, const endpoint_view &view, double tokens,
                                   double usualRate) noexcept;

/// \returns the expected time for which a request waits for a slot, in seconds.
/// \param requests there before it
[[nodiscard]] double slotWaitAt(instant now, const endpoint_view &view, double requests) noexcept;

/// \returns the requests that may be at the endpoint before further ones are held back.
[[nodiscard]] double roomAt(instant now, const endpoint_view &view, double slotFactor) noexcept;

/// \returns the time for which requests of others that no report shows are still there, in seconds.
[[nodiscard]] double unseenSecondsAt(instant now, const endpoint_view &view) noexcept;

} // namespace yuccascale::kernel::policy

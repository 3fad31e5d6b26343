#pragma once

#include "yuccascale/kernel/policy/admission.hpp"

#include <map>
#include <string>

/// \file
/// \brief Measures what an entry gets through, for admission.

namespace yuccascale::kernel::policy {

/// \brief Keeps a pool's rate of dispatched cost and the weights of the active organisations.
///
/// \example
///     meter.dispatched(now, request);
///     admission->refuse(now, request, meter.view(now, request, *queue));
class queue_meter
{
public:
    /// \brief Notes a request that arrived, admitted or not.
    void arrived(instant now, const waiting_request &request);

    /// \brief Notes a request that left the queue for an endpoint.
    void dispatched(instant now, const waiting_request &request);

    /// \returns what admission needs to judge \a request.
    [[nodiscard]] queue_view view(instant now, const waiting_request &request,
                                  const fair_queue &queue);

private:
    struct organisation_activity
    {
        double weight = 1.0;
        instant lastArrival{};
    };

    void decay(instant now);

    double m_dispatchedCost = 0;  ///< decayed sum of dispatched cost
    double m_measuredSeconds = 0; ///< decayed time of the measurement
    instant m_lastDecayAt{};
    std::map<std::string, organisation_activity, std::less<>> m_activeOrganisations;
};

} // namespace yuccascale::kernel::policy

#pragma once

#include "yuccascale/kernel/policy/admission.hpp"

#include <map>
#include <string>

/// \file
/// \brief Measures the dispatch rate of an entry for admission.

namespace yuccascale::kernel::policy {

/// \brief Tracks the rate of dispatched cost of a pool and the weights of its active organisations.
///
/// \example
///     meter.dispatched(now, request);
///     admission->refuse(now, request, meter.view(now, request, *queue));
class queue_meter
{
public:
    /// \brief Records a request that arrived, whether admitted or not.
    void arrived(instant now, const waiting_request &request);

    /// \brief Records a request that was dispatched to an endpoint.
    void dispatched(instant now, const waiting_request &request);

    /// \returns the state of the queue for the admission of \a request.
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
    double m_measuredSeconds = 0; ///< decayed duration of the measurement
    instant m_lastDecayAt{};
    std::map<std::string, organisation_activity, std::less<>> m_activeOrganisations;
};

} // namespace yuccascale::kernel::policy

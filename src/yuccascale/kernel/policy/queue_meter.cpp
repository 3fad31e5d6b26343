#include "yuccascale/kernel/policy/queue_meter.hpp"

#include <algorithm>
#include <cmath>

namespace yuccascale::kernel::policy {

namespace {

constexpr double decaySeconds = 5.0;
constexpr nanoseconds activityTimeout
        = seconds(5); ///< an organisation is active for this time after a request

} // namespace

void queue_meter::decay(instant now)
{
    const double elapsed = std::chrono::duration<double>(now - m_lastDecayAt).count();
    if (elapsed <= 0)
        return;
    const double retained = std::exp(-elapsed / decaySeconds);
    m_dispatchedCost *= retained;
    m_measuredSeconds = m_measuredSeconds * retained + decaySeconds * (1.0 - retained);
    m_lastDecayAt = now;
}

void queue_meter::arrived(instant now, const waiting_request &request)
{
    m_activeOrganisations[request.organisation] = {request.weight, now};
    std::erase_if(m_activeOrganisations, [now](const auto &item) {
        return now - item.second.lastArrival > activityTimeout;
    });
}

void queue_meter::dispatched(instant now, const waiting_request &request)
{
    decay(now);
    m_dispatchedCost += request.cost;
}

queue_view queue_meter::view(instant now, const waiting_request &request, const fair_queue &queue)
{
    decay(now);
    double weights = 0;
    for (const auto &[name, active] : m_activeOrganisations)
        weights += active.weight;
    queue_view view;
    view.waiting = queue.size();
    view.costWaiting = queue.costWaiting();
    view.costWaitingOfOrganisation = queue.costWaiting(request.organisation);
    view.costPerSecond = m_measuredSeconds > 0 ? m_dispatchedCost / m_measuredSeconds : 0;
    view.shareOfOrganisation = weights > 0 ? std::min(request.weight / weights, 1.0) : 1.0;
    if (view.costPerSecond > 0) {
        const double wait = view.costWaiting / view.costPerSecond;
        view.predictedWait
                = std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(wait));
    }
    return view;
}

} // namespace yuccascale::kernel::policy

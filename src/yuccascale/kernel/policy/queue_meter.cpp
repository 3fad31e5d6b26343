#include "yuccascale/kernel/policy/queue_meter.hpp"

#include <algorithm>
#include <cmath>

namespace yuccascale::kernel::policy {

namespace {

constexpr double memorySeconds = 5.0;
constexpr nanoseconds activeFor = seconds(5); ///< an organisation counts so long after a request

} // namespace

void queue_meter::decay(instant now)
{
    const double passed = std::chrono::duration<double>(now - m_last).count();
    if (passed <= 0)
        return;
    const double kept = std::exp(-passed / memorySeconds);
    m_cost *= kept;
    m_seconds = m_seconds * kept + memorySeconds * (1.0 - kept);
    m_last = now;
}

void queue_meter::arrived(instant now, const waiting_request &request)
{
    m_active[request.organisation] = {request.weight, now};
    std::erase_if(m_active,
                  [now](const auto &item) { return now - item.second.lastArrival > activeFor; });
}

void queue_meter::dispatched(instant now, const waiting_request &request)
{
    decay(now);
    m_cost += request.cost;
}

queue_view queue_meter::view(instant now, const waiting_request &request, const fair_queue &queue)
{
    decay(now);
    double weights = 0;
    for (const auto &[name, active] : m_active)
        weights += active.weight;
    queue_view view;
    view.waiting = queue.size();
    view.costWaiting = queue.costWaiting();
    view.costWaitingOfOrganisation = queue.costWaiting(request.organisation);
    view.costPerSecond = m_seconds > 0 ? m_cost / m_seconds : 0;
    view.shareOfOrganisation = weights > 0 ? std::min(request.weight / weights, 1.0) : 1.0;
    if (view.costPerSecond > 0) {
        const double wait = view.costWaiting / view.costPerSecond;
        view.predictedWait
                = std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(wait));
    }
    return view;
}

} // namespace yuccascale::kernel::policy

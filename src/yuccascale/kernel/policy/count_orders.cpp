#include "yuccascale/kernel/policy/count_orders.hpp"

#include <algorithm>

namespace yuccascale::kernel::policy {

namespace {

/// Time until the next order in a zone that refused one.
constexpr seconds refusedInterval{3};
/// Bounds of the time until an order that does not show is sent again.
constexpr seconds minRepeat{4};
constexpr seconds maxRepeat{30};
constexpr double learningRate = 0.3;

} // namespace

void count_orders::listed(instant now, const std::string &zone, state::endpoint_tenure tenure,
                          int count)
{
    const auto sent = m_sent.find({zone, tenure});
    if (sent == m_sent.end() || count < sent->second.count)
        return;
    const nanoseconds took = now - sent->second.sentAt;
    if (took <= maxRepeat && !sent->second.refused)
        m_startTime += std::chrono::duration_cast<nanoseconds>(learningRate * (took - m_startTime));
    m_sent.erase(sent);
}

bool count_orders::mayRaise(instant now, const std::string &zone, state::endpoint_tenure tenure,
                            int count) const
{
    const auto sent = m_sent.find({zone, tenure});
    if (sent == m_sent.end())
        return true;
    const nanoseconds repeat = std::clamp<nanoseconds>(2 * m_startTime, minRepeat, maxRepeat);
    const nanoseconds since = now - sent->second.sentAt;
    if (sent->second.refused)
        return since >= refusedInterval;
    return count > sent->second.count || since >= repeat;
}

void count_orders::ordered(instant now, const count_order &order)
{
    m_sent[{order.zone, order.tenure}] = {order.count, now, false};
}

void count_orders::answered(instant now, const count_order &order, bool accepted)
{
    if (order.tenure == state::endpoint_tenure::Cheap)
        m_refusesCheap[order.zone] = !accepted;
    const auto sent = m_sent.find({order.zone, order.tenure});
    if (accepted || sent == m_sent.end() || sent->second.count != order.count)
        return;
    sent->second.refused = true;
    sent->second.sentAt = now;
}

bool count_orders::refusesCheap(const std::string &zone) const
{
    const auto found = m_refusesCheap.find(zone);
    return found != m_refusesCheap.end() && found->second;
}

} // namespace yuccascale::kernel::policy

#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/orders/drivers.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// \file
/// \brief Outside systems that record what they receive: engines, the platform and the usage
///        interface.

namespace yuccascale::fakes {

/// An order message that arrived, and whether it took effect.
struct received_order
{
    kernel::instant at{};
    std::string target;
    std::uint64_t orderId = 0;
    std::uint64_t senderFence = 0; ///< of the leader whose process sent it
    std::string bytes;
    bool tookEffect = false;
    int restartCount = 0; ///< of the target; incremented when it crashes
    int runningRequestsAtEffect
            = 0; ///< requests in flight on the target when the order took effect
};

/// An engine or the platform: decides about an order from the message alone, never from
/// senderFence, which is only recorded.
class fake_target
{
public:
    fake_target(std::string name, bool fences, bool remembersOrders)
        : m_name(std::move(name))
        , m_fences(fences)
        , m_remembersOrders(remembersOrders)
    { }

    kernel::orders::target_reply receive(kernel::instant now, std::uint64_t senderFence,
                                         const kernel::orders::order_message &message,
                                         kernel::nanoseconds duration)
    {
        received_order received{
                now,   m_name,         message.orderId, senderFence, message.path + message.body,
                false, m_restartCount, runningRequests};
        const std::uint64_t fence = fenceOf(message);
        const auto found = m_orders.find(message.orderId);
        using kernel::orders::target_state;
        if (m_fences && fence < m_highestFence) {
            history.push_back(received);
            return {target_state::Refused, "fencing number below the highest received", {}};
        }
        m_highestFence = std::max(m_highestFence, fence);
        if (found != m_orders.end() && (m_fences || m_remembersOrders)) {
            history.push_back(received);
            return queryOrder(now, message.orderId);
        }
        received.tookEffect = true;
        history.push_back(received);
        m_orders[message.orderId] = now + duration;
        return queryOrder(now, message.orderId);
    }

    [[nodiscard]] kernel::orders::target_reply queryOrder(kernel::instant now,
                                                          std::uint64_t orderId) const
    {
        using kernel::orders::target_state;
        const auto found = m_orders.find(orderId);
        if (found == m_orders.end())
            return {target_state::Unknown, {}, {}};
        return {now < found->second ? target_state::Running : target_state::Done, {}, {}};
    }

    void crash()
    {
        runningRequests = 0;
        ++m_restartCount;
        m_highestFence = 0;
        m_orders.clear();
    }

    [[nodiscard]] const std::string &name() const { return m_name; }

    std::vector<received_order> history;
    int runningRequests = 0;

private:
    static std::uint64_t fenceOf(const kernel::orders::order_message &message)
    {
        if (!message.body.empty())
            return kernel::json::parse(message.body).at("fence").get<std::uint64_t>();
        return std::stoull(message.path.substr(message.path.rfind('=') + 1));
    }

    std::string m_name;
    bool m_fences;
    bool m_remembersOrders;
    std::uint64_t m_highestFence = 0;
    int m_restartCount = 0;
    std::map<std::uint64_t, kernel::instant> m_orders; ///< completion time by order id
};

/// A report received by the usage interface.
struct received_report
{
    std::int64_t windowStartMs = 0;
    std::uint64_t senderFence = 0;
    std::string bytes;
};

} // namespace yuccascale::fakes

#pragma once

#include "yuccascale/kernel/policy/cheap_headroom.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>

/// \file
/// \brief Which orders of one pool were sent and do not show in the platform's list yet.
///
/// Orders may be lost, refused, or executed late. The list is the truth: an order is sent again
/// when it does not show in time, and never because of what was ordered alone.

namespace yuccascale::kernel::policy {

/// \brief Orders of one pool by zone and tenure; learns how long an endpoint takes until it serves.
///        Not thread-safe.
class count_orders
{
public:
    /// \brief Takes note of the number that the list shows.
    void listed(instant now, const std::string &zone, state::endpoint_tenure tenure, int count);

    /// \returns whether a rise to \a count may be ordered now: it is not under way already.
    [[nodiscard]] bool mayRaise(instant now, const std::string &zone, state::endpoint_tenure tenure,
                                int count) const;

    /// \brief Records an order that is sent now.
    void ordered(instant now, const count_order &order);

    /// \brief Records the platform's answer; false also stands for none.
    void answered(instant now, const count_order &order, bool accepted);

    /// \returns whether the platform did not accept the last order of cheap endpoints there.
    [[nodiscard]] bool refusesCheap(const std::string &zone) const;

    /// \returns the learnt time from an order until an endpoint serves.
    [[nodiscard]] nanoseconds startTime() const noexcept { return m_startTime; }

private:
    using zone_tenure = std::pair<std::string, state::endpoint_tenure>;

    struct sent_order
    {
        int count = 0;
        instant sentAt{};
        bool refused = false;
    };

    std::map<zone_tenure, sent_order> m_sent;
    std::map<std::string, bool> m_refusesCheap; ///< by zone
    nanoseconds m_startTime = seconds(4);
};

} // namespace yuccascale::kernel::policy

#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief How many cheap endpoints to order beside the steady ones.
///
/// Load: demand that swings above what the steady endpoints carry, in seconds, with cheap endpoints
/// at a fraction of the price that a zone may lose all at once. Endpoints ordered when a swing is
/// seen come after it, so the cheap ones are held ready. The steady ones are left as they are.

namespace yuccascale::kernel::policy {

/// \brief An order for a number of endpoints of one tenure in one availability zone.
struct count_order
{
    std::string pool;
    std::string zone;
    state::endpoint_tenure tenure = state::endpoint_tenure::Cheap;
    int count = 0;

    [[nodiscard]] bool operator==(const count_order &) const = default;
};

/// \brief Decides on orders; one instance for each term of a leader. Not thread-safe.
class cheap_headroom
{
public:
    /// \returns the orders to give now.
    [[nodiscard]] std::vector<count_order> decide(instant now, const state::table_set &tables,
                                                  std::span<const feed::listed_endpoint> listed);

    /// \brief Learns that none are to be had in a zone at the moment.
    void refused(instant now, const count_order &order);

private:
    using pool_zone = std::pair<std::string, std::string>; ///< pool and zone

    std::map<pool_zone, instant> m_nextOrderAt;
};

} // namespace yuccascale::kernel::policy

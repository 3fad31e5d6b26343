#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief Decides how many cheap endpoints to order in addition to the steady ones.
///
/// Demand can rise above the capacity of the steady endpoints within seconds. Endpoints ordered at
/// that time start too late, so cheap endpoints are kept ready in advance. They cost a fraction of
/// the price of steady ones, but a zone may lose all of them at once. Steady endpoints are not
/// changed.

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

/// \returns the listed endpoints of a pool in a zone that are not draining.
[[nodiscard]] int countListed(std::span<const feed::listed_endpoint> listed,
                              const std::string &pool, const std::string &zone,
                              state::endpoint_tenure tenure);

/// \brief Decides on orders of cheap endpoints; one instance per term of a leader. Not thread-safe.
class cheap_headroom
{
public:
    /// \returns the orders to submit now.
    [[nodiscard]] std::vector<count_order> decide(instant now, const state::table_set &tables,
                                                  std::span<const feed::listed_endpoint> listed);

    /// \returns the orders of one pool to submit now.
    [[nodiscard]] std::vector<count_order>
    decidePool(instant now, const std::string &name, const state::pool &pool,
               std::span<const feed::listed_endpoint> listed);

    /// \brief Records that the platform refused an order because the zone has no endpoints
    /// available.
    void refused(instant now, const count_order &order);

private:
    using pool_zone = std::pair<std::string, std::string>; ///< pool and zone

    std::map<pool_zone, instant> m_nextOrderAt;
};

} // namespace yuccascale::kernel::policy

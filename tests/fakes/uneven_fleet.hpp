#pragma once

#include "yuccascale/kernel/requests/pool_scheduler.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// \file
/// \brief Simulates endpoints of different speeds, some of them slowed down for a while, and many
/// entries that decide apart by late and lost reports.

namespace yuccascale::fakes {

/// \brief How requests are placed in an uneven_fleet.
enum class uneven_rule {
    Truth,  ///< by the true time of the first token at each endpoint
    Former, ///< by the entries, without the fourth figure of the load report
    Paced,  ///< by the entries, with the fourth figure
};

/// \brief Fleet and load of a simulation.
struct uneven_options
{
    uneven_rule rule = uneven_rule::Paced;
    bool plainService = false;
    int endpoints = 57;
    int slots = 16;
    int listedSlots = 16;
    int entries = 80;
    std::vector<double> speeds = {0.6, 1.0, 1.6}; ///< in turn
    double slowShare = 0.2;                       ///< of the time
    double slowFactor = 2.5;
    kernel::nanoseconds slowTime = kernel::milliseconds(600);
    kernel::nanoseconds reportDelay = kernel::milliseconds(200);
    double reportLoss = 0.2;     ///< share of the reports that never arrive
    double longPerSecond = 49.4; ///< 13,300 shared and 3,720 own prompt tokens
    double shortPerSecond = 445; ///< 383 prompt tokens, or requests to a plain service
    double serviceWorkSeconds = 0.015;
    kernel::nanoseconds duration = kernel::seconds(12);
    kernel::nanoseconds warmUp = kernel::seconds(4); ///< not counted
    std::uint64_t seed = 1;
};

/// \brief What callers and endpoints got in a simulation.
struct uneven_result
{
    std::vector<double> longSeconds;  ///< sorted, until the first token, from the arrival
    std::vector<double> shortSeconds; ///< sorted, until the first token or the answer
    std::map<double, double> shareBySpeed;
    std::vector<int> requests; ///< by endpoint
    int slowRequests = 0;      ///< sent to an endpoint while it was slowed down
    int beyondSlots = 0;       ///< sent to an endpoint with all slots taken
    int refused = 0;

    /// \returns the requests of the busiest endpoint, in times of the mean.
    [[nodiscard]] double busiest() const;
    /// \returns the share of the requests that were sent to an endpoint while it was slowed down.
    [[nodiscard]] double slowShare() const;
    [[nodiscard]] static double quantile(const std::vector<double> &sorted, double share);
};

/// \brief Plays a simulation to its end.
[[nodiscard]] uneven_result playUnevenFleet(const uneven_options &options);

} // namespace yuccascale::fakes

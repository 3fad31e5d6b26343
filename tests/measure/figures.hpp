#pragma once

#include <algorithm>
#include <vector>

/// \file
/// \brief The results of a run, and their means over several runs.

namespace yuccascale::measure {

constexpr double plotStepSeconds = 10;

/// Results of a run.
struct figures
{
    double offered = 0;
    double inTime = 0;
    double refused = 0;    ///< at admission or from the queue, never sent to an engine
    double late = 0;       ///< not fully answered by the deadline
    double lost = 0;       ///< with their engine and not retried
    double worstShare = 0; ///< smallest ratio of an organisation's served cost to its fair share
    double worstWait = 0;  ///< that organisation's 95th percentile wait for the first token, s
    double roleChanges = 0;
    double cost = 0;                 ///< endpoint price times hours
    double cheapShare = 0;           ///< share of the served cost that ran on cheap endpoints
    double firstToken = 0;           ///< 95th percentile, seconds
    double tokenGap = 0;             ///< 95th percentile, milliseconds
    double nonIdempotentOnCheap = 0; ///< non-idempotent requests sent to cheap endpoints
    std::vector<double> goodput;     ///< in-time answers per second, one value per plotStepSeconds

    void add(const figures &other);
    void scale(double factor);
    [[nodiscard]] double inTimeShare() const { return inTime / std::max(offered, 1.0); }
    [[nodiscard]] double costPerAnswer() const { return cost / std::max(inTime, 1.0); }
};

} // namespace yuccascale::measure

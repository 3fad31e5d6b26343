#include "yuccascale/kernel/policy/capacity_plan.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace yuccascale::kernel::policy {

namespace {

constexpr double normalUtilisation = 0.8;   ///< with all endpoints there
constexpr double survivalUtilisation = 1.0; ///< after the loss of the largest cheap zone
constexpr double steadyUtilisation = 0.7;   ///< of work bound to steady endpoints

int roundUp(double engines) noexcept
{
    return static_cast<int>(std::ceil(engines - 1e-9));
}

/// Fewest cheap endpoints beside \a steady ones; negative when no number is enough.
int leastCheap(const capacity_need &need, int steady) noexcept
{
    const int most = need.cheapZones > 0 ? need.most - steady : 0;
    for (int cheap = 0; cheap <= most; ++cheap) {
        const int zones = std::max(need.cheapZones, 1);
        if (carries(need, {steady, cheap, (cheap + zones - 1) / zones}))
            return cheap;
    }
    return -1;
}

} // namespace

bool carries(const capacity_need &need, const capacity_held &held) noexcept
{
    const int floor = std::max(roundUp(need.steadyLoad / steadyUtilisation), 1);
    const int all = held.steady + held.cheap;
    return held.steady >= floor && all >= need.least
            && all >= roundUp(need.load / normalUtilisation)
            && all - held.largestCheapZone >= roundUp(need.load / survivalUtilisation);
}

capacity_plan planCapacity(const capacity_need &need) noexcept
{
    const int floor = need.steadyLoad > 0 ? roundUp(need.steadyLoad / steadyUtilisation) : 0;
    const int fewestSteady = std::clamp(std::max(floor, 1), 1, std::max(need.most, 1));
    capacity_plan best{std::clamp(roundUp(need.load / normalUtilisation), fewestSteady,
                                  std::max(need.most, fewestSteady)),
                       0};
    double bestPrice = std::numeric_limits<double>::infinity();
    for (int steady = fewestSteady; steady <= need.most; ++steady) {
        const int cheap = leastCheap(need, steady);
        if (cheap < 0)
            continue;
        const double price = steady * need.steadyPrice + cheap * need.cheapPrice;
        if (price < bestPrice) {
            best = {steady, cheap};
            bestPrice = price;
        }
    }
    return best;
}

} // namespace yuccascale::kernel::policy

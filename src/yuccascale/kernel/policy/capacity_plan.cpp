#include "yuccascale/kernel/policy/capacity_plan.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace yuccascale::kernel::policy {

namespace {

constexpr double normalUtilisation = 0.8;   ///< while all endpoints serve
constexpr double zoneLossUtilisation = 1.0; ///< after the loss of the largest cheap zone
constexpr double steadyUtilisation = 0.7;   ///< of steady endpoints by work that only they may run

int roundUp(double engines) noexcept
{
    return static_cast<int>(std::ceil(engines - 1e-9));
}

/// \returns the smallest sufficient number of cheap endpoints in addition to \a steady ones;
/// negative when no number is sufficient.
int minCheap(const capacity_requirements &requirements, int steady) noexcept
{
    const int maxCheap = requirements.cheapZones > 0 ? requirements.maxEndpoints - steady : 0;
    for (int cheap = 0; cheap <= maxCheap; ++cheap) {
        const int zones = std::max(requirements.cheapZones, 1);
        if (coversLoad(requirements, {steady, cheap, (cheap + zones - 1) / zones}))
            return cheap;
    }
    return -1;
}

} // namespace

bool coversLoad(const capacity_requirements &requirements, const serving_capacity &serving) noexcept
{
    const int requiredSteady = std::max(roundUp(requirements.steadyLoad / steadyUtilisation), 1);
    const int total = serving.steady + serving.cheap;
    const int lost = requirements.toleratesZoneLoss ? serving.largestCheapZone : 0;
    return serving.steady >= requiredSteady && total >= requirements.minEndpoints
            && total >= roundUp(requirements.load / normalUtilisation)
            && total - lost >= roundUp(requirements.load / zoneLossUtilisation);
}

capacity_plan planCapacity(const capacity_requirements &requirements) noexcept
{
    const int requiredSteady = requirements.steadyLoad > 0
            ? roundUp(requirements.steadyLoad / steadyUtilisation)
            : 0;
    const int minSteady
            = std::clamp(std::max(requiredSteady, 1), 1, std::max(requirements.maxEndpoints, 1));
    capacity_plan best{std::clamp(roundUp(requirements.load / normalUtilisation), minSteady,
                                  std::max(requirements.maxEndpoints, minSteady)),
                       0};
    double bestPrice = std::numeric_limits<double>::infinity();
    for (int steady = minSteady; steady <= requirements.maxEndpoints; ++steady) {
        const int cheap = minCheap(requirements, steady);
        if (cheap < 0)
            continue;
        const double price = steady * requirements.steadyPrice + cheap * requirements.cheapPrice;
        if (price < bestPrice) {
            best = {steady, cheap};
            bestPrice = price;
        }
    }
    return best;
}

} // namespace yuccascale::kernel::policy

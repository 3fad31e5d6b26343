#include "yuccascale/kernel/policy/spread_choice.hpp"

#include <algorithm>

namespace yuccascale::kernel::policy {

namespace {

constexpr double minRequestsPerSecond = 1e-3;

/// \returns the time up to which \a requests fill the candidates, from the earliest on.
[[nodiscard]] double levelOf(std::span<const spread_candidate> candidates, double requests)
{
    double speed = 0;
    double weighted = 0;
    for (std::size_t count = 0; count < candidates.size(); ++count) {
        speed += candidates[count].requestsPerSecond;
        weighted += candidates[count].requestsPerSecond * candidates[count].seconds;
        const double level = (requests + weighted) / speed;
        if (count + 1 == candidates.size() || level <= candidates[count + 1].seconds)
            return level;
    }
    return 0;
}

} // namespace

void spreadProbabilities(std::span<spread_candidate> candidates, double unseen, double tieSeconds)
{
    if (candidates.empty())
        return;
    for (spread_candidate &each : candidates)
        each.requestsPerSecond = std::max(each.requestsPerSecond, minRequestsPerSecond);
    std::ranges::sort(candidates, {}, &spread_candidate::seconds);
    const double level = std::max(levelOf(candidates, std::max(unseen, 0.0)),
                                  candidates.front().seconds + tieSeconds);
    double sum = 0;
    for (spread_candidate &each : candidates) {
        each.probability = std::max(level - each.seconds, 0.0) * each.requestsPerSecond;
        sum += each.probability;
    }
    for (spread_candidate &each : candidates)
        each.probability = sum > 0 ? each.probability / sum : 0.0;
    if (sum <= 0)
        candidates.front().probability = 1;
}

std::optional<spread_candidate> drawSpread(std::span<spread_candidate> candidates, double unseen,
                                           double tieSeconds, std::mt19937_64 &random)
{
    if (candidates.empty())
        return std::nullopt;
    spreadProbabilities(candidates, unseen, tieSeconds);
    double left = std::uniform_real_distribution<double>(0, 1)(random);
    for (const spread_candidate &each : candidates) {
        left -= each.probability;
        if (left < 0)
            return each;
    }
    return candidates.front();
}

} // namespace yuccascale::kernel::policy

#include "fakes/load_plan.hpp"

#include "fakes/answer_text.hpp"

#include <algorithm>
#include <random>

namespace yuccascale::fakes {

namespace {

std::string randomText(std::mt19937_64 &random, std::int64_t tokens)
{
    std::string out;
    while (static_cast<std::int64_t>(out.size()) < tokens * bytesPerToken) {
        std::string word = std::to_string(random() % 1'000'000'000'000ULL);
        word.push_back(' ');
        out += word;
    }
    out.resize(static_cast<std::size_t>(std::max<std::int64_t>(0, tokens * bytesPerToken)));
    return out;
}

std::int64_t randomAround(std::mt19937_64 &random, std::int64_t mean)
{
    return std::uniform_int_distribution<std::int64_t>(mean / 2, mean + mean / 2)(random);
}

planned_request makeRequest(const load_plan &plan, const load_phase &phase, std::size_t index,
                            const std::string &sharedPrefix, std::mt19937_64 &random)
{
    planned_request out;
    out.organisation = index;
    out.service = std::uniform_real_distribution<>(0, 1)(random) < plan.serviceShare;
    out.outputTokens = std::max<std::int64_t>(1, randomAround(random, phase.outputTokens));
    const std::int64_t ownTokens = std::max<std::int64_t>(
            8, randomAround(random, phase.promptTokens) - plan.sharedPrefix);
    out.prompt = sharedPrefix + randomText(random, ownTokens);
    return out;
}

} // namespace

std::vector<planned_request> scheduleOf(const load_plan &plan)
{
    std::vector<planned_request> out;
    for (std::size_t index = 0; index < plan.organisations.size(); ++index) {
        std::mt19937_64 random(plan.seed * 1'000 + index);
        const std::string prefix = randomText(random, plan.sharedPrefix);
        std::exponential_distribution<> gap(plan.organisations[index].requestsPerSecond);
        double phaseStart = 0;
        double now = gap(random);
        for (const load_phase &phase : plan.phases) {
            for (; now < phaseStart + phase.seconds; now += gap(random)) {
                out.push_back(makeRequest(plan, phase, index, prefix, random));
                out.back().atSeconds = now;
                out.back().id = "load-" + std::to_string(plan.seed) + "-"
                        + plan.organisations[index].name + "-" + std::to_string(out.size());
            }
            phaseStart += phase.seconds;
        }
    }
    std::ranges::sort(out, {}, &planned_request::atSeconds);
    return out;
}

} // namespace yuccascale::fakes

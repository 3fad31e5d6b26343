#include "fakes/reading_engines.hpp"

#include <algorithm>

namespace yuccascale::fakes {

using namespace kernel;
using namespace kernel::requests;

namespace {

constexpr double prefillTokensPerMs = 50;
constexpr double mixedTokensPerMs = 15;
constexpr double fetchMsPerToken = 0.002;
constexpr milliseconds decodeStep{20}; ///< from the last prompt token to the first output token
constexpr int zones = 3;

[[nodiscard]] nanoseconds toDuration(double ms)
{
    return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace

simulated_prefill_pool::simulated_prefill_pool(int prefillCount, int mixedCount, double speed)
{
    m_pool.name = "pool";
    for (int number = 0; number < prefillCount + mixedCount; ++number) {
        const bool prefillOnly = number < prefillCount;
        state::endpoint row;
        row.name = "e" + std::to_string(number);
        row.address = "10.0.0.1:" + std::to_string(100 + number);
        row.zone = "z" + std::to_string(number % zones);
        row.role = prefillOnly ? state::engine_role::Prefill : state::engine_role::Mixed;
        row.slots = 16;
        m_engines[row.name] = {speed * (prefillOnly ? prefillTokensPerMs : mixedTokensPerMs),
                               !prefillOnly,
                               {},
                               {}};
        m_pool.endpoints.push_back(std::move(row));
    }
}

bool simulated_prefill_pool::hasCached(const std::string &name, std::uint64_t part,
                                       instant now) const
{
    const auto engine = m_engines.find(name);
    if (engine == m_engines.end())
        return false;
    const auto found = engine->second.cachedParts.find(part);
    return found != engine->second.cachedParts.end() && found->second <= now;
}

instant simulated_prefill_pool::prefillPrompt(instant now, const std::string &name,
                                              const std::string &source, const request &subject)
{
    engine &target = m_engines.at(name);
    std::int64_t uncachedTokens = 0;
    std::int64_t fetchedTokens = 0;
    for (const prompt_part &part : subject.parts) {
        if (hasCached(name, part.id, now))
            continue;
        if (hasCached(source, part.id, now)) {
            fetchedTokens += part.tokens;
            continue;
        }
        uncachedTokens += part.tokens;
        if (!m_prefilledParts.insert(part.id).second)
            m_recomputedTokens += part.tokens;
    }
    const instant begin = std::max(now, target.busyUntil);
    target.busyUntil = begin + toDuration(static_cast<double>(uncachedTokens) / target.tokensPerMs);
    return target.busyUntil + toDuration(static_cast<double>(fetchedTokens) * fetchMsPerToken);
}

instant simulated_prefill_pool::send(instant now, const endpoint_assignment &assignment,
                                     const request &subject)
{
    const bool separatePrefill = !assignment.prefillEndpoint.empty();
    const std::string &prefillEngine
            = separatePrefill ? assignment.prefillEndpoint : assignment.endpoint;
    instant ready = prefillPrompt(now, prefillEngine,
                                  assignment.cacheAddress.empty() ? "" : assignment.cacheEndpoint,
                                  subject);
    if (separatePrefill)
        ready += toDuration(static_cast<double>(subject.promptTokens) * fetchMsPerToken);
    for (const prompt_part &part : subject.parts)
        m_engines.at(assignment.endpoint).cachedParts.try_emplace(part.id, ready);
    return ready + decodeStep;
}

} // namespace yuccascale::fakes

#include "fakes/reading_engines.hpp"

#include <algorithm>

namespace yuccascale::fakes {

using namespace kernel;
using namespace kernel::requests;

namespace {

constexpr double prefillTokensPerMs = 50;
constexpr double mixedTokensPerMs = 15;
constexpr double fetchMsPerToken = 0.002;
constexpr milliseconds step{20}; ///< from the last prompt token to the first output token
constexpr int zones = 3;

[[nodiscard]] nanoseconds toDuration(double ms)
{
    return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace

reading_engines::reading_engines(int prefill, int generating)
{
    m_pool.name = "pool";
    for (int number = 0; number < prefill + generating; ++number) {
        const bool fills = number < prefill;
        state::endpoint row;
        row.name = "e" + std::to_string(number);
        row.address = "10.0.0.1:" + std::to_string(100 + number);
        row.zone = "z" + std::to_string(number % zones);
        row.role = fills ? state::engine_role::Prefill : state::engine_role::Mixed;
        row.slots = 16;
        m_engines[row.name] = {fills ? prefillTokensPerMs : mixedTokensPerMs, !fills, {}, {}};
        m_pool.endpoints.push_back(std::move(row));
    }
}

bool reading_engines::holds(const std::string &name, std::uint64_t part, instant now) const
{
    const auto engine = m_engines.find(name);
    if (engine == m_engines.end())
        return false;
    const auto found = engine->second.parts.find(part);
    return found != engine->second.parts.end() && found->second <= now;
}

instant reading_engines::read(instant now, const std::string &name, const std::string &source,
                              const request &subject)
{
    engine &at = m_engines.at(name);
    std::int64_t toRead = 0;
    std::int64_t fetched = 0;
    for (const prompt_part &part : subject.parts) {
        if (holds(name, part.id, now))
            continue;
        if (holds(source, part.id, now)) {
            fetched += part.tokens;
            continue;
        }
        toRead += part.tokens;
        if (!m_readBefore.insert(part.id).second)
            m_readAgain += part.tokens;
    }
    const instant begin = std::max(now, at.busyUntil);
    at.busyUntil = begin + toDuration(static_cast<double>(toRead) / at.tokensPerMs);
    return at.busyUntil + toDuration(static_cast<double>(fetched) * fetchMsPerToken);
}

instant reading_engines::send(instant now, const endpoint_assignment &turn, const request &subject)
{
    const bool apart = !turn.prefillEndpoint.empty();
    const std::string &reader = apart ? turn.prefillEndpoint : turn.endpoint;
    instant ready = read(now, reader, turn.cacheAddress.empty() ? "" : turn.cacheEndpoint, subject);
    if (apart)
        ready += toDuration(static_cast<double>(subject.promptTokens) * fetchMsPerToken);
    for (const prompt_part &part : subject.parts)
        m_engines.at(turn.endpoint).parts.try_emplace(part.id, ready);
    return ready + step;
}

} // namespace yuccascale::fakes

#include "yuccascale/kernel/requests/endpoint_reach.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace yuccascale::kernel::requests {

namespace {

/// Different endpoints that fail within this time raise the suspicion.
constexpr seconds failureWindow{2};
constexpr std::size_t suspiciousEndpoints = 2;
/// Probes in one round while the paths are suspected, and while they are lost.
constexpr std::size_t suspectedProbes = 6;
constexpr std::size_t lostProbes = 2;
constexpr milliseconds roundInterval{500};
/// With this many silent endpoints one round is conclusive. Fewer may all be silent for a second by
/// chance.
constexpr std::size_t conclusiveProbes = 3;
constexpr milliseconds fewEndpointsSilence{1'500};
/// After an answered probe, failures raise no suspicion for this long.
constexpr seconds trustTime{1};
constexpr unsigned allEighths = 8;

/// Orders the endpoints so that those with the same key are far apart.
template<typename Key>
void takeInTurns(std::vector<reach_endpoint> &endpoints, Key keyOf)
{
    std::map<std::string, std::size_t> seen;
    std::vector<std::pair<std::size_t, reach_endpoint>> ranked;
    for (reach_endpoint &endpoint : endpoints) {
        const std::size_t rank = seen[keyOf(endpoint)]++;
        ranked.emplace_back(rank, std::move(endpoint));
    }
    std::ranges::stable_sort(ranked, {}, [](const auto &item) { return item.first; });
    endpoints.clear();
    for (auto &[rank, endpoint] : ranked)
        endpoints.push_back(std::move(endpoint));
}

} // namespace

void endpoint_reach::setEndpoints(std::vector<reach_endpoint> endpoints)
{
    std::ranges::sort(endpoints, {}, [this](const reach_endpoint &endpoint) {
        return std::hash<std::string>{}(endpoint.name) ^ m_seed;
    });
    takeInTurns(endpoints,
                [](const reach_endpoint &endpoint) { return endpoint.pool + "/" + endpoint.zone; });
    takeInTurns(endpoints, [](const reach_endpoint &endpoint) { return endpoint.zone; });
    m_endpoints = std::move(endpoints);
}

void endpoint_reach::attemptFailed(instant now, const std::string &endpoint)
{
    if (m_state == reach_state::Returning)
        return enter(now, reach_state::Lost);
    if (m_state != reach_state::Reached || now < m_trustedUntil)
        return;
    m_failures.push_back({endpoint, now});
    if (failedEndpoints(now) >= std::min(suspiciousEndpoints, m_endpoints.size()))
        enter(now, reach_state::Suspected);
}

std::size_t endpoint_reach::failedEndpoints(instant now)
{
    while (!m_failures.empty() && now - m_failures.front().at > failureWindow)
        m_failures.pop_front();
    std::set<std::string_view> names;
    for (const failure &failed : m_failures)
        names.insert(failed.endpoint);
    return names.size();
}

std::size_t endpoint_reach::roundSize() const noexcept
{
    const std::size_t wanted = m_state == reach_state::Suspected ? suspectedProbes : lostProbes;
    return std::min(wanted, m_endpoints.size());
}

std::vector<reach_endpoint> endpoint_reach::takeProbes(instant now)
{
    std::vector<reach_endpoint> out;
    if (m_endpoints.empty())
        enter(now, reach_state::Reached);
    if (m_state == reach_state::Reached || m_pendingProbes > 0 || now < m_nextRoundAt)
        return out;
    m_nextRoundAt = now + roundInterval;
    m_anyConnected = false;
    m_pendingProbes = roundSize();
    for (std::size_t index = 0; index < m_pendingProbes; ++index)
        out.push_back(m_endpoints[m_nextProbe++ % m_endpoints.size()]);
    return out;
}

void endpoint_reach::probed(instant now, bool connected)
{
    if (m_pendingProbes == 0)
        return;
    --m_pendingProbes;
    m_anyConnected = m_anyConnected || connected;
    if (m_state == reach_state::Suspected && connected)
        return enter(now, reach_state::Reached);
    if (m_pendingProbes == 0)
        finishRound(now);
}

void endpoint_reach::finishRound(instant now)
{
    switch (m_state) {
    case reach_state::Reached:
        return;
    case reach_state::Suspected:
        return finishSuspicion(now);
    case reach_state::Lost:
        if (m_anyConnected)
            enter(now, reach_state::Returning);
        return;
    case reach_state::Returning:
        if (!m_anyConnected)
            return enter(now, reach_state::Lost);
        m_directShare *= 2;
        if (m_directShare >= allEighths)
            enter(now, reach_state::Reached);
        return;
    }
}

void endpoint_reach::finishSuspicion(instant now)
{
    const bool conclusive
            = m_endpoints.size() >= conclusiveProbes || now - m_suspectedAt >= fewEndpointsSilence;
    if (conclusive)
        enter(now, reach_state::Lost);
}

void endpoint_reach::enter(instant now, reach_state state)
{
    m_state = state;
    m_failures.clear();
    switch (state) {
    case reach_state::Reached:
        m_trustedUntil = now + trustTime;
        return;
    case reach_state::Suspected:
        m_suspectedAt = now;
        m_nextRoundAt = now;
        return;
    case reach_state::Lost:
        m_directShare = 0;
        return;
    case reach_state::Returning:
        m_directShare = 1;
        return;
    }
}

bool endpoint_reach::goesDirectly(std::string_view requestId) const
{
    switch (m_state) {
    case reach_state::Reached:
    case reach_state::Suspected:
        return true;
    case reach_state::Lost:
        return false;
    case reach_state::Returning:
        break;
    }
    return std::hash<std::string_view>{}(requestId) % allEighths < m_directShare;
}

} // namespace yuccascale::kernel::requests

#include "yuccascale/kernel/requests/suspects.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::kernel::requests {

void crash_suspects::started(const std::string &endpoint, const std::string &fingerprint)
{
    m_running[endpoint].insert(fingerprint);
}

void crash_suspects::finished(const std::string &endpoint, const std::string &fingerprint,
                              bool answered)
{
    const auto found = m_running.find(endpoint);
    if (found != m_running.end()) {
        const auto one = found->second.find(fingerprint);
        if (one != found->second.end())
            found->second.erase(one);
        if (found->second.empty())
            m_running.erase(found);
    }
    if (answered)
        m_suspects.erase(fingerprint);
}

std::string crash_suspects::crashed(instant now, const std::string &endpoint,
                                    const std::string &zone)
{
    removeExpired(now);
    const auto known = m_crashes.find(endpoint);
    const bool alreadyCounted
            = known != m_crashes.end() && now - known->second.at < m_limits.sameCrashWindow;
    const auto found = m_running.find(endpoint);
    if (alreadyCounted || found == m_running.end())
        return {};
    const bool isZoneLoss = zoneLost(now, endpoint, zone);
    m_crashes[endpoint] = {now, zone};
    const std::multiset<std::string> lost = std::move(found->second);
    m_running.erase(found);
    if (isZoneLoss)
        return {};
    std::vector<std::string> common;
    for (const std::string &fingerprint : lost) {
        if (m_suspects.contains(fingerprint))
            common.push_back(fingerprint);
    }
    const bool same = !common.empty()
            && std::ranges::all_of(common, [&](const auto &one) { return one == common.front(); });
    if (same) {
        m_suspects.erase(common.front());
        return common.front();
    }
    for (const std::string &fingerprint : lost)
        m_suspects.emplace(fingerprint, now);
    return {};
}

bool crash_suspects::isSuspect(const std::string &fingerprint) const
{
    return m_suspects.contains(fingerprint);
}

bool crash_suspects::runsAnotherSuspect(const std::string &endpoint,
                                        const std::string &fingerprint) const
{
    const auto found = m_running.find(endpoint);
    if (found == m_running.end())
        return false;
    return std::ranges::any_of(found->second, [&](const std::string &running) {
        return running != fingerprint && m_suspects.contains(running);
    });
}

bool crash_suspects::zoneLost(instant now, const std::string &endpoint,
                              const std::string &zone) const
{
    return std::ranges::any_of(m_crashes, [&](const auto &entry) {
        const auto &[name, last] = entry;
        return name != endpoint && last.zone == zone && now - last.at < m_limits.zoneLossWindow;
    });
}

void crash_suspects::removeExpired(instant now)
{
    std::erase_if(m_suspects,
                  [&](const auto &entry) { return now - entry.second > m_limits.retention; });
    std::erase_if(m_crashes,
                  [&](const auto &entry) { return now - entry.second.at > m_limits.retention; });
}

} // namespace yuccascale::kernel::requests

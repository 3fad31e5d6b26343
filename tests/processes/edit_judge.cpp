#include "processes/edit_judge.hpp"

#include <algorithm>

namespace yuccascale::processes {

namespace {

constexpr int unauthorized = 401;
constexpr int unavailable = 503;

} // namespace

void edit_judge::disturbed(test_time at)
{
    const std::lock_guard lock(m_mutex);
    m_disturbedAt = std::max(m_disturbedAt, at);
}

/// Requires m_mutex to be held.
bool edit_judge::binds(test_time at) const
{
    return at >= m_disturbedAt + m_bounds.contact;
}

void edit_judge::keyAcknowledged(const std::string &key, test_time at)
{
    const std::lock_guard lock(m_mutex);
    m_keys.emplace_back(at, key);
}

std::optional<std::string> edit_judge::keyInForce(test_time now) const
{
    const std::lock_guard lock(m_mutex);
    if (!binds(now))
        return std::nullopt;
    std::optional<std::string> newest;
    for (const auto &[at, key] : m_keys) {
        if (at + m_bounds.propagation <= now)
            newest = key;
    }
    return newest;
}

/// A fault that began while the request ran excuses nothing: the promise held when it was sent.
void edit_judge::answered(const std::string &entry, int status, test_time sentAt)
{
    const std::lock_guard lock(m_mutex);
    ++m_judged;
    m_notReady += status == unavailable ? 1 : 0;
    if (status == unauthorized)
        m_violations.push_back("CONFIG: " + entry + " refuses a key " + inMs(sentAt - m_disturbedAt)
                               + " after the last fault");
}

void edit_judge::reachedDraining(const std::string &endpoint, test_time drainedAt, test_time at)
{
    const std::lock_guard lock(m_mutex);
    if (at > drainedAt + m_bounds.drain && binds(at))
        m_violations.push_back("DRAIN: " + endpoint + " is reached " + inMs(at - drainedAt)
                               + " after its drain was acknowledged");
}

void edit_judge::recovered(const std::string &entry, milliseconds took)
{
    const std::lock_guard lock(m_mutex);
    if (took > m_bounds.recovery)
        m_violations.push_back("RECOVER: " + entry + " serves nothing for " + inMs(took));
}

std::vector<std::string> edit_judge::violations() const
{
    const std::lock_guard lock(m_mutex);
    return m_violations;
}

std::pair<int, int> edit_judge::judged() const
{
    const std::lock_guard lock(m_mutex);
    return {m_judged, m_notReady};
}

} // namespace yuccascale::processes

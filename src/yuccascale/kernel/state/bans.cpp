#include "yuccascale/kernel/state/bans.hpp"

#include "yuccascale/kernel/state/answers.hpp"

#include <algorithm>

namespace yuccascale::kernel::state {

command_result bans::ban(const ban_fingerprint &ban)
{
    if (ban.fingerprint.empty())
        return refused(error_kind::InvalidArgument,
                       "a ban needs a fingerprint; set its fingerprint field");
    const auto found = m_bans.find(ban.fingerprint);
    if (found == m_bans.end() && m_bans.size() >= m_bounds.bans) {
        const auto earliestExpiring = std::ranges::min_element(
                m_bans, {}, [](const auto &entry) { return entry.second.untilWallMs; });
        m_bans.erase(earliestExpiring);
    }
    ban_fingerprint &stored = m_bans[ban.fingerprint];
    const std::int64_t until = std::max(stored.untilWallMs, ban.untilWallMs);
    stored = ban;
    stored.untilWallMs = until;
    publish();
    return accepted();
}

void bans::expire(std::int64_t wallMs)
{
    const std::size_t expiredCount = std::erase_if(
            m_bans, [&](const auto &entry) { return entry.second.untilWallMs <= wallMs; });
    if (expiredCount != 0)
        publish();
}

void bans::publish()
{
    auto next = std::make_shared<std::set<std::string>>();
    for (const auto &[fingerprint, ban] : m_bans)
        next->insert(fingerprint);
    m_fingerprints = std::move(next);
    ++m_version;
}

void bans::save(snapshot_writer &out) const
{
    out.put(m_version);
    out.put(m_bans.size());
    for (const auto &[fingerprint, ban] : m_bans)
        out.put(ban);
}

void bans::load(snapshot_reader &in)
{
    const auto version = in.get<std::uint64_t>();
    in.getAll<ban_fingerprint>([&](const ban_fingerprint &ban) { m_bans[ban.fingerprint] = ban; });
    publish();
    m_version = version;
}

} // namespace yuccascale::kernel::state

#include "yuccascale/kernel/requests/part_suspects.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <string_view>

namespace yuccascale::kernel::requests {

namespace {

/// Fingerprints of whole requests do not begin with it.
constexpr std::string_view partBanScheme = "parts:";
constexpr char poolSeparator = ':';
constexpr char partSeparator = '+';
constexpr int hexBase = 16;

[[nodiscard]] bool containsAll(const part_set &set, const part_set &subset)
{
    return std::ranges::includes(set, subset);
}

[[nodiscard]] std::string banPrefix(std::string_view pool)
{
    std::string prefix(partBanScheme);
    prefix += pool;
    prefix += poolSeparator;
    return prefix;
}

/// \returns the parts of a list in hexadecimal; empty when it cannot be read.
[[nodiscard]] part_set readParts(std::string_view list)
{
    part_set parts;
    while (!list.empty()) {
        std::uint64_t part = 0;
        const auto read = std::from_chars(list.data(), list.data() + list.size(), part, hexBase);
        if (read.ec != std::errc())
            return {};
        parts.insert(part);
        list.remove_prefix(static_cast<std::size_t>(read.ptr - list.data()));
        if (list.starts_with(partSeparator))
            list.remove_prefix(1);
        else if (!list.empty())
            return {};
    }
    return parts;
}

} // namespace

part_set sharedParts(std::span<const prompt_part> parts)
{
    part_set shared;
    if (parts.empty())
        return shared;
    for (const prompt_part &part : parts.first(parts.size() - 1))
        shared.insert(part.id);
    return shared;
}

std::string partBanOf(std::string_view pool, const part_set &parts)
{
    std::string ban = banPrefix(pool);
    for (const std::uint64_t part : parts) {
        std::array<char, 16> digits{};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), part, hexBase);
        if (part != *parts.begin())
            ban += partSeparator;
        ban.append(digits.data(), end.ptr);
    }
    return ban;
}

bool isBannedByParts(const std::set<std::string> &bans, std::string_view pool,
                     std::span<const prompt_part> parts)
{
    if (parts.empty() || bans.empty())
        return false;
    const std::string prefix = banPrefix(pool);
    const auto first = bans.lower_bound(prefix);
    if (first == bans.end() || !first->starts_with(prefix))
        return false;
    const part_set shared = sharedParts(parts);
    for (auto ban = first; ban != bans.end() && ban->starts_with(prefix); ++ban) {
        const part_set banned = readParts(std::string_view(*ban).substr(prefix.size()));
        if (!banned.empty() && containsAll(shared, banned))
            return true;
    }
    return false;
}

bool part_suspects::crashed(instant now, const std::string &endpoint, const part_set &parts,
                            std::size_t lostRequests)
{
    removeExpired(now);
    auto known = std::ranges::find_if(m_crashes, [&](const crash &one) {
        return one.endpoint == endpoint && now - one.at < m_limits.sameCrashWindow;
    });
    const bool first = known == m_crashes.end();
    if (first)
        known = m_crashes.insert(m_crashes.end(), {endpoint, now, {}, 0});
    const std::size_t partsBefore = known->parts.size();
    known->parts.insert(parts.begin(), parts.end());
    known->lostRequests += lostRequests;
    const bool isNew = first || known->parts.size() > partsBefore;
    m_evidenceChanged = m_evidenceChanged || isNew;
    if (m_crashes.size() > m_limits.maxCrashes)
        m_crashes.pop_front();
    return isNew;
}

void part_suspects::removeExpired(instant now)
{
    std::erase_if(m_crashes, [&](const crash &old) { return now - old.at > m_limits.retention; });
    std::erase_if(m_bannedUntil, [&](const auto &ban) { return ban.second <= now; });
}

part_set part_suspects::answered(instant now, const part_set &parts)
{
    constexpr seconds step{1};
    if (m_answers.empty() || now - m_answers.back().from >= step)
        m_answers.push_back({now, 0});
    ++m_answers.back().answers;
    while (now - m_answers.front().from > m_limits.rateWindow)
        m_answers.pop_front();
    return clear(parts);
}

part_set part_suspects::clear(const part_set &parts)
{
    part_set cleared;
    for (crash &one : m_crashes) {
        for (const std::uint64_t part : parts) {
            if (one.parts.erase(part) > 0)
                cleared.insert(part);
        }
    }
    m_evidenceChanged = m_evidenceChanged || !cleared.empty();
    return cleared;
}

std::vector<part_set> part_suspects::takeCauses(instant now)
{
    std::vector<part_set> found;
    if (!m_evidenceChanged || now < m_evaluateFrom)
        return found;
    m_evidenceChanged = false;
    m_evaluateFrom = now + m_limits.evaluationInterval;
    removeExpired(now);
    const std::map<std::uint64_t, crash_set> byPart = crashesByPart();
    for (const auto &[part, crashes] : byPart) {
        if (!isUnlikelyForASoundPart(now, crashes))
            continue;
        part_set cause;
        bool explainedByAnother = false;
        for (const auto &[other, otherCrashes] : byPart) {
            if (otherCrashes == crashes)
                cause.insert(other);
            else if (std::ranges::includes(otherCrashes, crashes))
                explainedByAnother = true;
        }
        if (!explainedByAnother && m_bannedUntil.emplace(cause, now + m_limits.banTime).second)
            found.push_back(cause);
    }
    return found;
}

bool part_suspects::isBanned(instant now, std::span<const prompt_part> parts) const
{
    if (m_bannedUntil.empty())
        return false;
    const part_set shared = sharedParts(parts);
    return std::ranges::any_of(m_bannedUntil, [&](const auto &ban) {
        return now < ban.second && containsAll(shared, ban.first);
    });
}

std::map<std::uint64_t, part_suspects::crash_set> part_suspects::crashesByPart() const
{
    std::map<std::uint64_t, crash_set> byPart;
    for (std::size_t index = 0; index < m_crashes.size(); ++index) {
        for (const std::uint64_t part : m_crashes[index].parts)
            byPart[part].insert(index);
    }
    return byPart;
}

std::size_t part_suspects::independentCount(const crash_set &crashes) const
{
    std::size_t count = 0;
    instant last{};
    for (const std::size_t index : crashes) {
        const instant at = m_crashes[index].at;
        if (count > 0 && at - last < m_limits.independentAfter)
            continue;
        last = at;
        ++count;
    }
    return count;
}

/// \returns the share of this entry's requests that were lately lost in crashes other than these.
double part_suspects::lossRateOutside(instant now, const crash_set &crashes) const
{
    std::size_t lost = 0;
    for (std::size_t index = 0; index < m_crashes.size(); ++index) {
        const bool recent = now - m_crashes[index].at <= m_limits.rateWindow;
        if (recent && !crashes.contains(index))
            lost += m_crashes[index].lostRequests;
    }
    std::size_t ended = lost;
    for (const answer_count &count : m_answers) {
        if (now - count.from <= m_limits.rateWindow)
            ended += count.answers;
    }
    // one more of each kind, so that few requests prove little
    return static_cast<double>(lost + 1) / static_cast<double>(ended + 2);
}

bool part_suspects::isUnlikelyForASoundPart(instant now, const crash_set &crashes) const
{
    const std::size_t count = independentCount(crashes);
    if (count < m_limits.leastCrashes)
        return false;
    const double chance = std::pow(lossRateOutside(now, crashes), static_cast<double>(count));
    return chance <= m_limits.chanceOfError;
}

} // namespace yuccascale::kernel::requests

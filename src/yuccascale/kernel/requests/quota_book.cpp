#include "yuccascale/kernel/requests/quota_book.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::kernel::requests {

namespace {

/// Entries send a message each half second. One that is silent for longer than that and a usual
/// delay counts less and less, and after silenceTime is out of reach or gone.
constexpr milliseconds usualSilence{600};
constexpr milliseconds silenceTime{1'000};
/// How long the result for all entries is used again.
constexpr milliseconds fleetLifetime{20};
/// Reports in one message; the others follow in the next one.
constexpr std::size_t maxReports = 64;

} // namespace

quota_book::quota_book(quota_tolerance tolerance, std::uint64_t run)
    : m_tolerance(tolerance)
    , m_run(run)
    , m_random(run)
{ }

void quota_book::setOrganisations(instant now,
                                  const std::map<std::string, state::organisation> &organisations)
{
    if (m_tolerance.window <= nanoseconds::zero())
        return;
    std::erase_if(m_quotas, [&](const auto &kept) {
        const auto found = organisations.find(kept.first);
        return found == organisations.end() || found->second.quota.empty();
    });
    std::erase_if(m_totals, [&](const auto &kept) { return !m_quotas.contains(kept.first); });
    for (const auto &[name, row] : organisations) {
        if (row.quota.empty())
            continue;
        const state::token_quota &limits = row.quota.front();
        const auto [found, added]
                = m_quotas.try_emplace(name, organisation_quota(now, limits, m_tolerance));
        if (!added && found->second.limits() != limits)
            found->second.setLimits(now, limits, fleet(now));
    }
}

double quota_book::tokensOf(const request &callerRequest) const
{
    const auto found = m_quotas.find(callerRequest.organisation);
    if (found == m_quotas.end())
        return 0;
    const state::token_quota &limits = found->second.limits();
    if (!limits.countsTokens)
        return 1;
    return callerRequest.statedTokens ? static_cast<double>(*callerRequest.statedTokens)
                                      : limits.plainTokens;
}

quota_decision quota_book::ask(instant now, const std::string &organisation, double tokens)
{
    const auto found = m_quotas.find(organisation);
    if (found == m_quotas.end() || tokens <= 0)
        return {};
    const quota_draws draws{m_draw(m_random), m_draw(m_random)};
    const quota_decision decision = found->second.ask(now, tokens, draws, fleet(now));
    quota_totals &totals = m_totals[organisation];
    totals.asked += tokens;
    (decision.admitted ? totals.admitted : totals.refused) += tokens;
    totals.refusedRequests += decision.admitted ? 0 : 1;
    return decision;
}

void quota_book::giveBack(instant now, const std::string &organisation, double tokens)
{
    const auto found = m_quotas.find(organisation);
    if (found == m_quotas.end())
        return;
    found->second.giveBack(now, tokens, fleet(now));
    m_totals[organisation].admitted -= tokens;
}

void quota_book::heard(instant now, std::string_view entry)
{
    const auto found = m_heard.find(entry);
    if (found == m_heard.end())
        m_heard.emplace(entry, now);
    else
        found->second = std::max(found->second, now);
}

quota_fleet quota_book::fleet(instant now)
{
    if (m_reached && now - m_reachedAt < fleetLifetime)
        return *m_reached;
    std::erase_if(m_heard, [&](const auto &entry) { return now - entry.second > silenceTime; });
    double heardEntries = 1;
    for (const auto &[name, heardAt] : m_heard) {
        const double left = static_cast<double>((silenceTime - (now - heardAt)).count());
        const auto whole = static_cast<double>(nanoseconds(silenceTime - usualSilence).count());
        heardEntries += std::clamp(left / whole, 0.0, 1.0);
    }
    m_reachedAt = now;
    m_reached = {m_entries, std::min(heardEntries / m_entries, 1.0)};
    return *m_reached;
}

void quota_book::apply(instant now, std::string_view entry,
                       const std::vector<quota_report> &reports)
{
    const quota_fleet reached = fleet(now);
    for (const quota_report &report : reports) {
        const auto found = m_quotas.find(report.organisation);
        if (found != m_quotas.end())
            found->second.apply(now, entry, report, reached);
    }
}

bool quota_book::reportSoon(instant now, const std::string &organisation) const
{
    const auto found = m_quotas.find(organisation);
    return found != m_quotas.end() && found->second.reportSoon(now, m_entries);
}

std::vector<quota_report> quota_book::takeReports(instant now)
{
    std::vector<std::pair<double, std::string>> due;
    for (const auto &[name, quota] : m_quotas) {
        if (quota.reportDue())
            due.emplace_back(quota.unreported(now), name);
    }
    std::ranges::sort(due, std::greater<>());
    if (due.size() > maxReports)
        due.resize(maxReports);
    std::vector<quota_report> reports;
    reports.reserve(due.size());
    for (const auto &[unreported, name] : due) {
        reports.push_back(m_quotas.at(name).takeReport(now));
        reports.back().organisation = name;
        reports.back().run = static_cast<std::uint32_t>(m_run);
    }
    return reports;
}

} // namespace yuccascale::kernel::requests

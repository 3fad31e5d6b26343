#include "yuccascale/kernel/requests/organisation_quota.hpp"

#include <algorithm>
#include <cmath>

namespace yuccascale::kernel::requests {

namespace {

/// Share of the tolerance by which the level may exceed the burst. The rest covers what entries
/// admit before they hear of a surge.
constexpr double bandShare = 0.25;
/// Time in which a level above zero may be used up.
constexpr double useUpSeconds = 0.5;
constexpr milliseconds askedMemory{500};
/// The reports of others arrive within this time, unless a message is lost.
constexpr milliseconds answerTime{750};
/// Demand older than answerTime and younger than this shows an entry's part of the whole.
constexpr milliseconds beforeTime{2'000};
/// An entry without a report for this time is taken to be asked for nothing.
constexpr milliseconds reportLifetime{1'500};
/// What others admit is extrapolated from their reports for this time.
constexpr milliseconds extrapolationTime{1'500};
/// What others report for the first time within it was admitted before the level was counted.
constexpr milliseconds firstReportsTime{1'500};
constexpr milliseconds sumsLifetime{20};
/// Part of the level that one entry may use before the others can have answered.
constexpr double unansweredShare = 0.5;
/// Below it, groups that do not hear each other are too many for a debt of one request each.
constexpr double leastShareForDebt = 0.4;
constexpr milliseconds leastReportInterval{100};
/// Part of an entry's even share of the capacity that a report need not predict.
constexpr double unpredictedShare = 0.25;
/// Silence of this part of the entries is a cut rather than late messages.
constexpr double leastCutShare = 0.15;
constexpr milliseconds usualSilence{600};
constexpr double greatestSurge = 5;
/// Of the capacity; while the level is above it, reports wait for the next interval.
constexpr double lowShare = 0.6;
constexpr int reportRepeats = 2;
constexpr double leastRetrySeconds = 0.2;

[[nodiscard]] double inSeconds(nanoseconds time) noexcept
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

organisation_quota::organisation_quota(instant now, state::token_quota limits,
                                       quota_tolerance tolerance)
    : m_limits(limits)
    , m_tolerance(tolerance)
    , m_startedAt(now)
    , m_settledAt(now)
    , m_asked(askedMemory)
    , m_admitted(askedMemory)
    , m_window(tolerance.window)
    , m_unanswered(answerTime)
    , m_askedUnanswered(answerTime)
    , m_askedBefore(beforeTime)
    , m_reportedAt(now)
{ }

void organisation_quota::setLimits(instant now, const state::token_quota &limits,
                                   const quota_fleet &fleet)
{
    settle(now, fleet);
    m_limits = limits;
    m_level = std::min(m_level, capacity(fleet.heardShare));
}

double organisation_quota::tolerated() const noexcept
{
    const double ofWindow = m_limits.ratePerSecond * inSeconds(m_tolerance.window) + m_limits.burst;
    return ofWindow * m_tolerance.over + m_tolerance.slack;
}

/// Groups of entries that do not hear each other also overshoot apart, so they get less of the
/// band.
double organisation_quota::capacity(double heardShare) const noexcept
{
    return heardShare * (m_limits.burst + heardShare * bandShare * tolerated());
}

void organisation_quota::settle(instant now, const quota_fleet &fleet)
{
    const nanoseconds past = std::max(now - m_settledAt, nanoseconds::zero());
    m_level += m_limits.ratePerSecond * fleet.heardShare * inSeconds(past);
    m_level = std::min(m_level, capacity(fleet.heardShare));
    // a greater debt is older than the window
    m_level = std::max(m_level, -m_limits.ratePerSecond * inSeconds(m_tolerance.window));
    m_settledAt = std::max(now, m_settledAt);
}

double organisation_quota::admittedPerSecondAt(double level, double heardShare) const noexcept
{
    const double rate = m_limits.ratePerSecond * heardShare;
    if (level >= 0)
        return rate + level / useUpSeconds;
    const double deepest = (1 - bandShare) * tolerated() * heardShare;
    return deepest > 0 ? rate * std::max(1 + level / deepest, 0.0) : 0.0;
}

const organisation_quota::others_sum &organisation_quota::others(instant now)
{
    if (m_othersSummedAt && now - *m_othersSummedAt < sumsLifetime)
        return m_othersSum;
    m_othersSummedAt = now;
    m_othersSum = {};
    std::erase_if(m_others, [&](const auto &entry) {
        return now - entry.second.heardAt > 2 * m_tolerance.window;
    });
    for (const auto &[name, entry] : m_others) {
        const nanoseconds age = std::max(now - entry.heardAt, nanoseconds::zero());
        if (age > reportLifetime)
            continue;
        m_othersSum.askedPerSecond += entry.askedPerSecond;
        const double unreported = entry.admittedPerSecond
                * inSeconds(std::min<nanoseconds>(age, extrapolationTime));
        m_othersSum.unreported += unreported;
        m_othersSum.silentUnreported += age > usualSilence ? unreported : 0;
    }
    return m_othersSum;
}

/// \returns this entry's part of what was asked for so long ago that the others have told theirs.
double organisation_quota::provenShare(instant now)
{
    const double before = m_askedBefore.sum(now) - m_askedUnanswered.sum(now);
    const double own = before / inSeconds(beforeTime - answerTime);
    if (own <= 0)
        return unansweredShare;
    return std::max(own / (own + others(now).askedPerSecond), unansweredShare);
}

/// The same surge may have begun at all entries.
bool organisation_quota::unansweredSurge(instant now, double tokens, const quota_fleet &fleet)
{
    const double unanswered = m_unanswered.sum(now);
    if (fleet.entries <= 1 || unanswered <= 0)
        return false;
    const double refilled = m_limits.ratePerSecond * fleet.heardShare * inSeconds(answerTime);
    const double usable = std::max(m_level, 0.0) + unanswered + refilled;
    return unanswered + tokens > provenShare(now) * usable;
}

/// Entries that went silent together may see the same surge as this one.
double organisation_quota::unheardSurge(instant now, const quota_fleet &fleet)
{
    if (1 - fleet.heardShare < leastCutShare)
        return 0;
    const double before = (m_askedBefore.sum(now) - m_askedUnanswered.sum(now))
            / inSeconds(beforeTime - answerTime);
    if (before <= 0)
        return 0;
    const double growth = std::min(m_asked.perSecond(now) / before, greatestSurge);
    return others(now).silentUnreported * std::max(growth - 1, 0.0);
}

bool organisation_quota::admits(instant now, double tokens, double draw, const quota_fleet &fleet)
{
    if (unansweredSurge(now, tokens, fleet))
        return false;
    const others_sum &elsewhere = others(now);
    const double level = m_level - elsewhere.unreported - unheardSurge(now, fleet);
    if (fleet.heardShare < leastShareForDebt && draw * tokens >= level)
        return false;
    const double band = bandShare * tolerated() * fleet.heardShare * fleet.heardShare;
    if (level > 0 && level >= band)
        return true;
    const double asked = m_asked.perSecond(now) + elsewhere.askedPerSecond;
    return draw * asked < admittedPerSecondAt(level, fleet.heardShare);
}

quota_decision organisation_quota::ask(instant now, double tokens, const quota_draws &draws,
                                       const quota_fleet &fleet)
{
    settle(now, fleet);
    m_asked.add(now, tokens);
    m_askedUnanswered.add(now, tokens);
    m_askedBefore.add(now, tokens);
    m_repeats = reportRepeats;
    if (!admits(now, tokens, draws.admission, fleet)) {
        const others_sum &elsewhere = others(now);
        const double asked = m_asked.perSecond(now) + elsewhere.askedPerSecond;
        return {false,
                retryAfter(m_level - elsewhere.unreported, asked, draws.retry, fleet.heardShare)};
    }
    m_level -= tokens;
    m_admitted.add(now, tokens);
    m_admittedTotal += tokens;
    m_window.add(now, tokens);
    m_unanswered.add(now, tokens);
    return {};
}

/// What was refused in the last second fits into the quota over the time asked / rate, so the
/// returns are spread evenly over that time, after the debt is repaid.
nanoseconds organisation_quota::retryAfter(double level, double askedPerSecond, double draw,
                                           double heardShare) const
{
    const double rate = std::max(m_limits.ratePerSecond * heardShare, 1e-9);
    const double debt = std::max(-level, 0.0) / rate;
    const double spread = std::max(askedPerSecond / rate, 1.0);
    const double longest = std::max(inSeconds(m_tolerance.window), 2 * leastRetrySeconds);
    const double wait = std::clamp(debt + draw * spread, leastRetrySeconds, longest);
    return std::chrono::ceil<milliseconds>(std::chrono::duration<double>(wait));
}

void organisation_quota::giveBack(instant now, double tokens, const quota_fleet &fleet)
{
    settle(now, fleet);
    m_level = std::min(m_level + tokens, capacity(fleet.heardShare));
    m_admitted.add(now, -tokens);
    m_admittedTotal -= tokens;
    m_window.add(now, -tokens);
    m_unanswered.add(now, -tokens);
    m_repeats = reportRepeats;
}

void organisation_quota::apply(instant now, std::string_view entry, const quota_report &report,
                               const quota_fleet &fleet)
{
    settle(now, fleet);
    const auto found = m_others.find(entry);
    const bool sameRun = found != m_others.end() && found->second.run == report.run;
    double admitted = 0;
    if (sameRun)
        admitted = report.admittedTotal - found->second.admittedTotal;
    else if (now - m_startedAt > firstReportsTime)
        admitted = report.admittedInWindow;
    m_level = std::min(m_level - admitted, capacity(fleet.heardShare));
    const other_entry heard{report.run, report.admittedTotal, report.askedPerSecond,
                            report.admittedPerSecond, now};
    if (found == m_others.end())
        m_others.emplace(entry, heard);
    else
        found->second = heard;
    m_othersSummedAt.reset();
}

double organisation_quota::unreported(instant now) const
{
    const nanoseconds age = std::max(now - m_reportedAt, nanoseconds::zero());
    const double predicted
            = m_reportedPerSecond * inSeconds(std::min<nanoseconds>(age, extrapolationTime));
    return m_admittedTotal - m_reportedTotal - predicted;
}

bool organisation_quota::reportSoon(instant now, int entries) const
{
    return entries > 1 && now - m_reportedAt >= leastReportInterval
            && m_level < lowShare * capacity(1.0)
            && unreported(now) > unpredictedShare * capacity(1.0) / entries;
}

quota_report organisation_quota::takeReport(instant now)
{
    m_repeats = std::max(m_repeats - 1, 0);
    m_reportedAt = now;
    m_reportedTotal = m_admittedTotal;
    m_reportedPerSecond = m_admitted.perSecond(now);
    quota_report report;
    report.askedPerSecond = m_asked.perSecond(now);
    report.admittedPerSecond = m_reportedPerSecond;
    report.admittedTotal = m_admittedTotal;
    report.admittedInWindow = m_window.sum(now);
    return report;
}

} // namespace yuccascale::kernel::requests

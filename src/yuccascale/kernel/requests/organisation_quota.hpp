#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/requests/quota_report.hpp"
#include "yuccascale/kernel/requests/recent_rate.hpp"
#include "yuccascale/kernel/state/tables.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief The quota of one organisation over all entries, as one entry keeps it.
///
/// Addresses demand of many times the quota, at all entries at once, at a few or moving between
/// them, while the entries hear of each other half a second late or not at all.

namespace yuccascale::kernel::requests {

/// \brief What the platform tolerates beyond rate and burst.
struct quota_tolerance
{
    nanoseconds window{}; ///< any span of this length counts; zero: no quota is kept
    double over = 0;      ///< share of the tokens of a window
    double slack = 0;     ///< tokens in addition
};

/// \brief The entries that share the quota.
struct quota_fleet
{
    int entries = 1;
    /// Part of the entries that this one hears of, itself included.
    double heardShare = 1.0;
};

/// \brief Random numbers for one decision, evenly distributed from 0 to 1.
struct quota_draws
{
    double admission = 0;
    double retry = 0;
};

/// \brief Whether a request is within the quota.
struct quota_decision
{
    bool admitted = true;
    nanoseconds retryAfter{}; ///< when refused
};

/// \brief A copy of the organisation's token bucket, which falls by what all entries admit.
///
/// \example
///     organisation_quota quota(now, limits, tolerance);
///     if (!quota.ask(now, tokens, draws, fleet).admitted)
///         refuse();
class organisation_quota
{
public:
    /// \brief Starts with nothing saved up, since other entries may just have used it.
    organisation_quota(instant now, state::token_quota limits, quota_tolerance tolerance);

    /// \brief Another quota is in force. What is saved up is cut to it at once.
    void setLimits(instant now, const state::token_quota &limits, const quota_fleet &fleet);
    [[nodiscard]] const state::token_quota &limits() const noexcept { return m_limits; }

    /// \brief Decides about a request and counts it when it is admitted.
    [[nodiscard]] quota_decision ask(instant now, double tokens, const quota_draws &draws,
                                     const quota_fleet &fleet);

    /// \brief Returns the tokens of a request that was admitted and surely did not run.
    void giveBack(instant now, double tokens, const quota_fleet &fleet);

    /// \brief Counts what another entry admitted since its last report.
    void apply(instant now, std::string_view entry, const quota_report &report,
               const quota_fleet &fleet);

    /// \returns the tokens that the last report did not predict.
    [[nodiscard]] double unreported(instant now) const;

    /// \returns whether the others have to know of a surge before the next interval.
    [[nodiscard]] bool reportSoon(instant now, int entries) const;

    /// \returns whether something was asked since the last reports.
    [[nodiscard]] bool reportDue() const noexcept { return m_repeats > 0; }

    /// \returns the report, without the name of the organisation; it counts as sent.
    [[nodiscard]] quota_report takeReport(instant now);

private:
    struct other_entry
    {
        std::uint32_t run = 0;
        double admittedTotal = 0;
        double askedPerSecond = 0;
        double admittedPerSecond = 0;
        instant heardAt{};
    };

    /// What the other entries are doing, as far as their reports tell.
    struct others_sum
    {
        double askedPerSecond = 0;
        double unreported = 0;       ///< estimate of what they admitted since their reports
        double silentUnreported = 0; ///< part of it, of entries that are late
    };

    void settle(instant now, const quota_fleet &fleet);
    [[nodiscard]] double tolerated() const noexcept;
    [[nodiscard]] double capacity(double heardShare) const noexcept;
    [[nodiscard]] double admittedPerSecondAt(double level, double heardShare) const noexcept;
    [[nodiscard]] bool admits(instant now, double tokens, double draw, const quota_fleet &fleet);
    [[nodiscard]] bool unansweredSurge(instant now, double tokens, const quota_fleet &fleet);
    [[nodiscard]] double provenShare(instant now);
    [[nodiscard]] double unheardSurge(instant now, const quota_fleet &fleet);
    [[nodiscard]] const others_sum &others(instant now);
    [[nodiscard]] nanoseconds retryAfter(double level, double askedPerSecond, double draw,
                                         double heardShare) const;

    state::token_quota m_limits;
    quota_tolerance m_tolerance;
    double m_level = 0; ///< at m_settledAt, without the estimate of others_sum
    instant m_startedAt;
    instant m_settledAt;
    recent_rate m_asked;
    recent_rate m_admitted;
    double m_admittedTotal = 0;
    windowed_sum m_window;     ///< admitted in the last window
    windowed_sum m_unanswered; ///< admitted in the time that the others need to answer
    windowed_sum m_askedUnanswered;
    windowed_sum m_askedBefore; ///< asked for in a longer time
    std::map<std::string, other_entry, std::less<>> m_others;
    others_sum m_othersSum;
    std::optional<instant> m_othersSummedAt;
    int m_repeats = 0; ///< reports to be sent without a further request
    instant m_reportedAt;
    double m_reportedTotal = 0;
    double m_reportedPerSecond = 0;
};

} // namespace yuccascale::kernel::requests

#pragma once

#include "yuccascale/kernel/requests/organisation_quota.hpp"
#include "yuccascale/kernel/requests/request.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief The quotas of all organisations, as one entry keeps them.

namespace yuccascale::kernel::requests {

/// \brief Tokens of an organisation at this entry since it started.
struct quota_totals
{
    double asked = 0;
    double admitted = 0; ///< without what was returned
    double refused = 0;
    std::uint64_t refusedRequests = 0;
};

/// \brief Decides which requests are within their organisation's quota. Not thread-safe.
///
/// \example
///     quota_book book(tolerance, run);
///     book.setOrganisations(now, tables.organisations);
///     const quota_decision decision = book.ask(now, request);
class quota_book
{
public:
    /// \param run differs between all processes; also the seed of its random numbers
    quota_book(quota_tolerance tolerance, std::uint64_t run);

    /// \brief Takes over the quotas of the tables in force.
    void setOrganisations(instant now,
                          const std::map<std::string, state::organisation> &organisations);

    /// \brief Sets the number of entries that run, this one included.
    void setEntries(int entries) noexcept
    {
        m_entries = std::max(entries, 1);
        m_reached.reset();
    }

    /// \returns whether any organisation has a quota; if not, nothing is counted or sent.
    [[nodiscard]] bool inForce() const noexcept { return !m_quotas.empty(); }

    /// \returns the tokens that a request counts; 0 when its organisation has no quota.
    [[nodiscard]] double tokensOf(const request &callerRequest) const;

    [[nodiscard]] quota_decision ask(instant now, const std::string &organisation, double tokens);
    void giveBack(instant now, const std::string &organisation, double tokens);

    /// \brief Another entry has sent a message.
    void heard(instant now, std::string_view entry);

    /// \brief Counts what another entry reports. Organisations without a quota are ignored.
    void apply(instant now, std::string_view entry, const std::vector<quota_report> &reports);

    /// \returns whether the others have to know of a surge before the next interval.
    [[nodiscard]] bool reportSoon(instant now, const std::string &organisation) const;

    /// \returns the reports that are due, those with most unreported tokens first.
    [[nodiscard]] std::vector<quota_report> takeReports(instant now);

    [[nodiscard]] const std::map<std::string, quota_totals> &totals() const noexcept
    {
        return m_totals;
    }

private:
    [[nodiscard]] quota_fleet fleet(instant now);

    quota_tolerance m_tolerance;
    std::uint64_t m_run;
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_draw{0, 1};
    std::map<std::string, organisation_quota> m_quotas;  ///< by organisation
    std::map<std::string, quota_totals> m_totals;        ///< by organisation
    std::map<std::string, instant, std::less<>> m_heard; ///< by entry
    int m_entries = 1;
    std::optional<quota_fleet> m_reached; ///< at m_reachedAt
    instant m_reachedAt{};
};

} // namespace yuccascale::kernel::requests

#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/events.hpp"
#include "yuccascale/kernel/requests/quota_book.hpp"
#include "yuccascale/runtime/settings.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Quotas of organisations at this entry, shared by all its requests.

namespace yuccascale::http {

/// \brief Tokens that a request was counted with.
struct quota_charge
{
    std::string organisation;
    double tokens = 0; ///< 0: nothing was counted
};

/// \brief Admits requests within their organisation's quota. Thread-safe.
class caller_quotas
{
public:
    /// \param run differs between all processes
    caller_quotas(const runtime::promise_settings &promises, const kernel::clock &clock,
                  kernel::event_sink &events, std::uint64_t run);

    void setOrganisations(const std::map<std::string, kernel::state::organisation> &organisations);
    void setEntries(int entries);

    /// \brief Counts a request that this entry received from its caller; one that another entry
    ///        passed on was counted there.
    /// \param charge what was counted, for giveBack()
    /// \returns the refusal of a request beyond the quota.
    [[nodiscard]] std::optional<kernel::requests::refusal>
    admit(const kernel::requests::request &callerRequest, quota_charge &charge);

    /// \brief Returns what was counted and clears \a charge; nothing the second time.
    void giveBack(quota_charge &charge);

    /// \brief Another entry has sent a message.
    void heard(std::string_view entry, const std::vector<kernel::requests::quota_report> &reports);

    /// \returns the reports that are due; nothing while no quota is in force.
    [[nodiscard]] std::optional<std::vector<kernel::requests::quota_report>> takeReports();

    /// \brief Sets the function that sends the reports before the next interval; call before the
    ///        first request.
    void setSurgeListener(std::function<void()> listener) { m_surgeListener = std::move(listener); }

    /// \returns the metrics in the Prometheus text format; empty while no quota is in force.
    [[nodiscard]] std::string metricsText() const;

private:
    struct refused_since
    {
        kernel::instant loggedAt{};
        std::uint64_t requests = 0;
        double tokens = 0;
    };

    void logRefusal(kernel::instant now, const std::string &organisation, double tokens);

    const kernel::clock &m_clock;
    kernel::event_sink &m_events;
    mutable std::mutex m_mutex;
    kernel::requests::quota_book m_book;
    std::map<std::string, refused_since> m_refused; ///< by organisation
    std::function<void()> m_surgeListener;
};

} // namespace yuccascale::http

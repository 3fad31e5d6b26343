#include "yuccascale/http/caller_quotas.hpp"

#include "yuccascale/kernel/requests/events.hpp"

#include <array>
#include <sstream>
#include <utility>

namespace yuccascale::http {

using namespace kernel::requests;
using kernel::instant;

namespace {

constexpr kernel::seconds logInterval{1};
constexpr std::string_view tokensMetric = "yuccascale_quota_tokens_total";

[[nodiscard]] quota_tolerance toleranceOf(const runtime::promise_settings &promises)
{
    return {promises.quotaWindow, promises.quotaOver, promises.quotaSlack};
}

} // namespace

caller_quotas::caller_quotas(const runtime::promise_settings &promises, const kernel::clock &clock,
                             kernel::event_sink &events, std::uint64_t run)
    : m_clock(clock)
    , m_events(events)
    , m_book(toleranceOf(promises), run)
{ }

void caller_quotas::setOrganisations(
        const std::map<std::string, kernel::state::organisation> &organisations)
{
    const std::scoped_lock guard(m_mutex);
    m_book.setOrganisations(m_clock.now(), organisations);
    std::erase_if(m_refused,
                  [&](const auto &refused) { return !organisations.contains(refused.first); });
}

void caller_quotas::setEntries(int entries)
{
    const std::scoped_lock guard(m_mutex);
    m_book.setEntries(entries);
}

std::optional<refusal> caller_quotas::admit(const request &callerRequest, quota_charge &charge)
{
    if (callerRequest.relay)
        return std::nullopt;
    const instant now = m_clock.now();
    const std::string &organisation = callerRequest.organisation;
    std::unique_lock guard(m_mutex);
    const double tokens = m_book.tokensOf(callerRequest);
    if (tokens <= 0)
        return std::nullopt;
    const quota_decision decision = m_book.ask(now, organisation, tokens);
    if (!decision.admitted) {
        logRefusal(now, organisation, tokens);
        return refusal{kernel::error_kind::QuotaExceeded,
                       "the organisation has used up its quota; retry later", false,
                       decision.retryAfter};
    }
    charge = {organisation, tokens};
    const bool surge = m_book.reportSoon(now, organisation);
    guard.unlock();
    if (surge && m_surgeListener)
        m_surgeListener();
    return std::nullopt;
}

void caller_quotas::logRefusal(instant now, const std::string &organisation, double tokens)
{
    refused_since &refused = m_refused[organisation];
    ++refused.requests;
    refused.tokens += tokens;
    if (refused.loggedAt != instant{} && now - refused.loggedAt < logInterval)
        return;
    m_events.record(organisationOverQuota,
                    {{"organisation", organisation},
                     {"requests", refused.requests},
                     {"tokens", refused.tokens}});
    refused = {now, 0, 0};
}

void caller_quotas::giveBack(quota_charge &charge)
{
    if (charge.tokens <= 0)
        return;
    const std::scoped_lock guard(m_mutex);
    m_book.giveBack(m_clock.now(), charge.organisation, std::exchange(charge.tokens, 0));
}

void caller_quotas::heard(std::string_view entry, const std::vector<quota_report> &reports)
{
    const std::scoped_lock guard(m_mutex);
    if (!m_book.inForce())
        return;
    m_book.heard(m_clock.now(), entry);
    m_book.apply(m_clock.now(), entry, reports);
}

std::optional<std::vector<quota_report>> caller_quotas::takeReports()
{
    const std::scoped_lock guard(m_mutex);
    if (!m_book.inForce())
        return std::nullopt;
    return m_book.takeReports(m_clock.now());
}

std::string caller_quotas::metricsText() const
{
    const std::scoped_lock guard(m_mutex);
    if (m_book.totals().empty())
        return {};
    std::ostringstream out;
    out.precision(15);
    out << "# HELP " << tokensMetric
        << " Tokens, or requests, of organisations that have a quota.\n# TYPE " << tokensMetric
        << " counter\n";
    for (const auto &[organisation, totals] : m_book.totals()) {
        const std::array<std::pair<std::string_view, double>, 3> outcomes{
                {{"asked", totals.asked},
                 {"admitted", totals.admitted},
                 {"refused", totals.refused}}};
        for (const auto &[outcome, tokens] : outcomes)
            out << tokensMetric << "{organisation=\"" << organisation << "\",outcome=\"" << outcome
                << "\"} " << tokens << '\n';
    }
    return out.str();
}

} // namespace yuccascale::http

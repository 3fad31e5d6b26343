#include "fleet_run.hpp"

#include <algorithm>
#include <numeric>

/// \file
/// \brief The leader and the platform in a run, and the final figures.

namespace yuccascale::measure {

using namespace kernel::policy;
using kernel::nanoseconds;

namespace {

constexpr double roleChangeSeconds = 6;
constexpr double reclaimNotice = 3;
constexpr double bootSeconds = 60;
constexpr double steadyPrice = 1.0;
constexpr double cheapPrice = 0.3;
const std::array<std::string, 3> zones{"perth-a", "perth-b", "bunbury"};

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto at = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

} // namespace

std::vector<endpoint_offer> platformOffers(double weightLoadSeconds)
{
    using kernel::state::endpoint_tenure;
    std::vector<endpoint_offer> all;
    const auto start = std::chrono::duration_cast<nanoseconds>(
            std::chrono::duration<double>(bootSeconds + weightLoadSeconds));
    for (const std::string &zone : zones) {
        all.push_back({"steady-engine", zone, endpoint_tenure::Steady, steadyPrice, start});
        all.push_back({"cheap-engine", zone, endpoint_tenure::Cheap, cheapPrice, start});
    }
    return all;
}

std::vector<engine_view> fleet_run::engineViews() const
{
    std::vector<engine_view> views;
    for (const engine &candidate : m_engines) {
        const engine_standin &standin = *candidate.standin;
        if (standin.hasEnded())
            continue;
        views.push_back({&standin.row(), standin.row().role, standin.isChangingRole(),
                         standin.leaving(), standin.load(),
                         event_loop::toInstant(standin.roleSince())});
    }
    return views;
}

void fleet_run::decideRoles()
{
    constexpr double interval = 2;
    constexpr double smoothing = 0.3;
    const auto updateAverage = [](double &value, double &tokensSinceDecision) {
        value += smoothing * (tokensSinceDecision / interval - value);
        tokensSinceDecision = 0;
    };
    updateAverage(m_demand.prefillTokensPerSecond, m_promptTokensSinceDecision);
    updateAverage(m_demand.decodeTokensPerSecond, m_outputTokensSinceDecision);
    m_demand.measuredAt = m_loop.now();
    const std::vector<engine_view> views = engineViews();
    for (const role_change &change : m_roles->decide(m_loop.now(), m_demand, {}, views)) {
        for (engine &candidate : m_engines) {
            if (candidate.standin->row().name == change.endpoint
                && candidate.standin->isServing()) {
                candidate.standin->changeRole(change.newRole, roleChangeSeconds);
                m_figures.roleChanges += m_loop.seconds() < m_scenario.duration ? 1 : 0;
            }
        }
    }
}

void fleet_run::decidePlacement()
{
    if (!m_placement)
        return;
    const std::vector<endpoint_offer> offers = platformOffers(m_scenario.weightLoadSeconds);
    const std::vector<engine_view> views = engineViews();
    for (const placement_change &change :
         m_placement->decide(m_loop.now(), m_demand, {}, views, m_starting, offers)) {
        if (change.start) {
            startEndpoint(change.offer);
            continue;
        }
        for (engine &candidate : m_engines) {
            if (candidate.standin->row().name == change.endpoint)
                candidate.standin->drain();
        }
    }
}

void fleet_run::startEndpoint(const endpoint_offer &offer)
{
    const bool cheap = offer.tenure == endpoint_tenure::Cheap;
    if (cheap && m_reclaimedUntil[offer.zone] > m_loop.seconds()) {
        m_placement->reclaimed(m_loop.now(), offer.zone, offer.kind);
        return;
    }
    m_starting.push_back(offer);
    const double booted = m_loop.seconds() + bootSeconds;
    m_weightStoreFreeAt = std::max(m_weightStoreFreeAt, booted) + m_scenario.weightLoadSeconds;
    const double ordered = m_loop.seconds();
    m_loop.scheduleAfter(m_weightStoreFreeAt - m_loop.seconds(), [this, offer, ordered] {
        const auto found
                = std::ranges::find_if(m_starting, [&offer](const endpoint_offer &candidate) {
                      return candidate.zone == offer.zone && candidate.tenure == offer.tenure;
                  });
        m_starting.erase(found);
        addEngine(offer, engine_role::Mixed);
        m_engines.back().standin->startedAt = ordered; // charged from the time of the order
    });
}

void fleet_run::applyDisturbance(const disturbance &event)
{
    using kind = disturbance::kind;
    if (event.type == kind::Withdraw)
        m_engines[7].standin->reclaim(reclaimNotice);
    if (event.type == kind::Drain)
        m_engines[8].standin->drain();
    if (event.type != kind::LoseCheapZone)
        return;
    std::map<std::string, int> cheap;
    for (const engine &candidate : m_engines) {
        const bool counts = !candidate.standin->hasEnded()
                && candidate.standin->row().tenure == endpoint_tenure::Cheap;
        cheap[candidate.standin->row().zone] += counts ? 1 : 0;
    }
    const std::string zone = std::ranges::max_element(cheap, {}, [](const auto &candidate) {
                                 return candidate.second;
                             })->first;
    m_reclaimedUntil[zone] = m_loop.seconds() + 240;
    for (engine &candidate : m_engines) {
        if (!candidate.standin->hasEnded()
            && candidate.standin->row().tenure == endpoint_tenure::Cheap
            && candidate.standin->row().zone == zone)
            candidate.standin->reclaim(reclaimNotice);
    }
    if (m_placement)
        m_placement->reclaimed(m_loop.now(), zone, "cheap-engine");
}

/// \returns the smallest ratio of an organisation's served cost to its max-min fair share of the
///          total served cost.
double fleet_run::worstShareOf(int &worst) const
{
    double remaining = 0;
    for (const double served : m_servedCost)
        remaining += served;
    std::array<double, organisationCount> fairShares{};
    std::vector<int> byOfferedCost(organisationCount);
    std::iota(byOfferedCost.begin(), byOfferedCost.end(), 0);
    std::ranges::sort(byOfferedCost, {},
                      [this](int index) { return m_offeredCost[static_cast<std::size_t>(index)]; });
    for (std::size_t position = 0; position < byOfferedCost.size(); ++position) {
        const auto index = static_cast<std::size_t>(byOfferedCost[position]);
        fairShares[index]
                = std::min(m_offeredCost[index],
                           remaining / static_cast<double>(byOfferedCost.size() - position));
        remaining -= fairShares[index];
    }
    double lowestRatio = 2;
    for (std::size_t index = 0; index < fairShares.size(); ++index) {
        const double ratio = fairShares[index] > 0 ? m_servedCost[index] / fairShares[index] : 1;
        if (ratio < lowestRatio) {
            lowestRatio = ratio;
            worst = static_cast<int>(index);
        }
    }
    return lowestRatio;
}

void fleet_run::completeFigures(figures &result) const
{
    int worst = 0;
    result.worstShare = worstShareOf(worst);
    result.worstWait = quantile(m_firstTokenWaits[static_cast<std::size_t>(worst)], 0.95);
    std::vector<double> all;
    for (const simulated_request &candidate : m_jobs) {
        if (candidate.firstTokenAt >= 0)
            all.push_back(candidate.firstTokenAt - candidate.arrivedAt);
    }
    result.firstToken = quantile(all, 0.95);
    result.tokenGap = m_gaps.quantile(0.95);
    result.cheapShare = m_totalCost > 0 ? m_cheapCost / m_totalCost : 0;
    for (const engine &candidate : m_engines) {
        const double until
                = candidate.standin->endedAt < 0 ? m_scenario.duration : candidate.standin->endedAt;
        result.cost += std::max(std::min(until, m_scenario.duration) - candidate.standin->startedAt,
                                0.0)
                / 3'600 * candidate.standin->row().pricePerHour;
    }
}

} // namespace yuccascale::measure

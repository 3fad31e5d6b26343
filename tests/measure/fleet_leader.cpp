#include "fleet_run.hpp"

#include <algorithm>
#include <numeric>

/// \file
/// \brief The leader's side of a run, the platform, and the figures at its end.

namespace yuccascale::measure {

using namespace kernel::policy;
using kernel::nanoseconds;

namespace {

constexpr double nonHomePenaltySeconds = 6;
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
    for (const engine &each : m_engines) {
        const engine_standin &its = *each.itself;
        if (its.gone())
            continue;
        views.push_back({&its.row(), its.row().role, its.changing(), its.leaving(), its.load(),
                         event_loop::toInstant(its.roleSince())});
    }
    return views;
}

void fleet_run::decideRoles()
{
    constexpr double interval = 2;
    constexpr double smoothing = 0.3;
    const auto follow = [](double &value, double &since) {
        value += smoothing * (since / interval - value);
        since = 0;
    };
    follow(m_demand.prefillTokensPerSecond, m_promptSince);
    follow(m_demand.decodeTokensPerSecond, m_outputSince);
    m_demand.measuredAt = m_loop.now();
    const std::vector<engine_view> views = engineViews();
    for (const role_change &change : m_roles->decide(m_loop.now(), m_demand, {}, views)) {
        for (engine &each : m_engines) {
            if (each.itself->row().name == change.endpoint && each.itself->serves()) {
                each.itself->changeRole(change.newRole, nonHomePenaltySeconds);
                m_figures.roleChanges += m_loop.seconds() < m_script.duration ? 1 : 0;
            }
        }
    }
}

void fleet_run::decidePlacement()
{
    if (!m_placement)
        return;
    const std::vector<endpoint_offer> known = platformOffers(m_script.weightLoadSeconds);
    const std::vector<engine_view> views = engineViews();
    for (const placement_change &change :
         m_placement->decide(m_loop.now(), m_demand, {}, views, m_starting, known)) {
        if (change.start) {
            startEndpoint(change.offer);
            continue;
        }
        for (engine &each : m_engines) {
            if (each.itself->row().name == change.endpoint)
                each.itself->drain();
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
    m_storeFreeAt = std::max(m_storeFreeAt, booted) + m_script.weightLoadSeconds;
    const double ordered = m_loop.seconds();
    m_loop.after(m_storeFreeAt - m_loop.seconds(), [this, offer, ordered] {
        const auto found = std::ranges::find_if(m_starting, [&offer](const endpoint_offer &each) {
            return each.zone == offer.zone && each.tenure == offer.tenure;
        });
        m_starting.erase(found);
        addEngine(offer, engine_role::Mixed);
        m_engines.back().itself->startedAt = ordered; // paid from the order on
    });
}

void fleet_run::disturb(const disturbance &what)
{
    using kind = disturbance::kind;
    if (what.what == kind::Withdraw)
        m_engines[7].itself->leave(reclaimNotice);
    if (what.what == kind::Drain)
        m_engines[8].itself->drain();
    if (what.what != kind::LoseCheapZone)
        return;
    std::map<std::string, int> cheap;
    for (const engine &each : m_engines) {
        const bool counts
                = !each.itself->gone() && each.itself->row().tenure == endpoint_tenure::Cheap;
        cheap[each.itself->row().zone] += counts ? 1 : 0;
    }
    const std::string zone = std::ranges::max_element(cheap, {}, [](const auto &each) {
                                 return each.second;
                             })->first;
    m_reclaimedUntil[zone] = m_loop.seconds() + 240;
    for (engine &each : m_engines) {
        if (!each.itself->gone() && each.itself->row().tenure == endpoint_tenure::Cheap
            && each.itself->row().zone == zone)
            each.itself->leave(reclaimNotice);
    }
    if (m_placement)
        m_placement->reclaimed(m_loop.now(), zone, "cheap-engine");
}

/// The worst ratio of what an organisation got to its max-min fair share of all that was served.
double fleet_run::worstShareOf(int &worst) const
{
    double left = 0;
    for (const double served : m_served)
        left += served;
    std::array<double, organisationCount> fair{};
    std::vector<int> open(organisationCount);
    std::iota(open.begin(), open.end(), 0);
    std::ranges::sort(open, {},
                      [this](int index) { return m_wanted[static_cast<std::size_t>(index)]; });
    for (std::size_t done = 0; done < open.size(); ++done) {
        const auto index = static_cast<std::size_t>(open[done]);
        fair[index] = std::min(m_wanted[index], left / static_cast<double>(open.size() - done));
        left -= fair[index];
    }
    double least = 2;
    for (std::size_t index = 0; index < fair.size(); ++index) {
        const double ratio = fair[index] > 0 ? m_served[index] / fair[index] : 1;
        if (ratio < least) {
            least = ratio;
            worst = static_cast<int>(index);
        }
    }
    return least;
}

void fleet_run::settle(figures &result) const
{
    int worst = 0;
    result.worstShare = worstShareOf(worst);
    result.worstWait = quantile(m_waits[static_cast<std::size_t>(worst)], 0.95);
    std::vector<double> all;
    for (const job &each : m_jobs) {
        if (each.firstToken >= 0)
            all.push_back(each.firstToken - each.arrived);
    }
    result.firstToken = quantile(all, 0.95);
    result.tokenGap = m_gaps.quantile(0.95);
    result.cheapShare = m_allWork > 0 ? m_cheapWork / m_allWork : 0;
    for (const engine &each : m_engines) {
        const double until = each.itself->endedAt < 0 ? m_script.duration : each.itself->endedAt;
        result.cost += std::max(std::min(until, m_script.duration) - each.itself->startedAt, 0.0)
                / 3'600 * each.itself->row().pricePerHour;
    }
}

} // namespace yuccascale::measure

#include "yuccascale/kernel/policy/demand_capacity.hpp"

#include <algorithm>

namespace yuccascale::kernel::policy {

namespace {

using state::endpoint_tenure;

/// Bound of a pool over all zones below which it is small: one endpoint is then more than 2 in 100
/// of it, and some in a zone, so that steps and margins are too coarse.
constexpr int minBound = 48;
/// Steady endpoints that stay in a zone, of those that were there: when the zone's cheap ones are
/// reclaimed and one of these crashes, two are left.
constexpr int minSteadyInZone = 3;
/// Observation before the first reduction of steady endpoints, which is some waves, and of cheap
/// ones, which cost little and are the room for a rise.
constexpr seconds observationTime{10};
constexpr seconds cheapObservationTime{30};
/// Endpoints given back in one zone and step.
constexpr int maxStep = 3;
/// Fewer cheap endpoints than this beyond the plan are kept.
constexpr int minCheapExcess = 2;
/// A reduction that does not show in the list by then is taken for lost.
constexpr seconds lostAfter{4};
/// Until the reports show the effect of a reduction that the list shows.
constexpr seconds effectTime{3};
/// Strain within this time of a reduction is taken for its effect.
constexpr seconds undoTime{8};
/// What an undone reduction took is kept for the first time, and twice as long after each further
/// one: the measure is wrong then, and each trial is felt.
constexpr seconds firstKeptTime{30};
constexpr seconds longestKeptTime{240};
/// Reductions go to the largest plan of this time, since plans vary with the waves in their window.
constexpr seconds planMemory{10};
/// Without reductions after steady endpoints were ordered or a reduction was undone.
constexpr seconds pauseAfterRise{10};
/// Shares of requests that are taken for a sign of too little capacity, and what is added to them
/// at most when that share is usual at full capacity.
constexpr double maxStrain = 0.05;
constexpr double maxUsualStrain = 0.10;

bool exceeds(double share, double usual) noexcept
{
    return share > maxStrain + std::min(usual, maxUsualStrain);
}

bool isStrained(const pool_strain &now, const pool_strain &usual) noexcept
{
    return exceeds(now.late, usual.late) || exceeds(now.rejected, usual.rejected)
            || exceeds(now.waiting, usual.waiting);
}

/// The mean of the listed endpoints.
double slotsOf(const std::string &pool, std::span<const feed::listed_endpoint> listed)
{
    double slots = 0;
    int count = 0;
    for (const feed::listed_endpoint &endpoint : listed) {
        if (endpoint.pool != pool)
            continue;
        slots += endpoint.row.slots;
        ++count;
    }
    return count > 0 ? std::max(slots / count, 1.0) : 1.0;
}

/// Only the zones that the pool uses count.
bool isSmall(const state::endpoint_scaling &scaling, std::span<const zone_supply> zones) noexcept
{
    return scaling.most * static_cast<int>(zones.size()) < minBound;
}

bool offersCheap(const state::endpoint_scaling &scaling) noexcept
{
    return scaling.cheapPrice > 0 && scaling.cheapPrice <= maxCheapPrice;
}

int listedOf(const zone_supply &zone, endpoint_tenure tenure) noexcept
{
    return tenure == endpoint_tenure::Steady ? zone.steady : zone.cheap;
}

void setListed(zone_supply &zone, endpoint_tenure tenure, int count) noexcept
{
    (tenure == endpoint_tenure::Steady ? zone.steady : zone.cheap) = count;
}

} // namespace

std::vector<reasoned_order> demand_capacity::decide(instant now, const state::table_set &tables,
                                                    std::span<const feed::listed_endpoint> listed,
                                                    const work_source &workOf)
{
    std::vector<reasoned_order> orders;
    for (const auto &[name, pool] : tables.pools) {
        if (pool.scaling.empty())
            continue;
        const state::endpoint_scaling scaling = soundBounds(pool.scaling.front());
        pool_state &state = m_pools[name];
        if (state.lastKnownAt == instant{})
            state.lastKnownAt = now;
        decision current{now, name, scaling, state, suppliesOf(now, name, scaling, listed, state),
                         {},  false};
        state.small = isSmall(scaling, current.zones);
        if (state.small) {
            for (count_order &order : m_headroom.decidePool(now, name, pool, listed))
                orders.push_back({std::move(order), "small pool: up to the zone's bound"});
            continue;
        }
        decidePool(current, workOf(name), slotsOf(name, listed));
        std::ranges::move(current.orders, std::back_inserter(orders));
    }
    return orders;
}

void demand_capacity::answered(instant now, const count_order &order, bool accepted)
{
    const auto pool = m_pools.find(order.pool);
    if (pool != m_pools.end() && !pool->second.small)
        pool->second.orders.answered(now, order, accepted);
    else if (!accepted)
        m_headroom.refused(now, order);
}

std::vector<capacity_status> demand_capacity::status() const
{
    std::vector<capacity_status> out;
    for (const auto &[name, state] : m_pools) {
        if (!state.small)
            out.push_back(state.status);
    }
    return out;
}

/// A zone without steady endpoints so far may not be the pool's to use.
std::vector<zone_supply> demand_capacity::suppliesOf(instant now, const std::string &pool,
                                                     const state::endpoint_scaling &scaling,
                                                     std::span<const feed::listed_endpoint> listed,
                                                     pool_state &state)
{
    std::vector<zone_supply> zones;
    for (const auto &[zone, price] : scaling.zonePrices) {
        zone_supply supply{zone, price};
        supply.steady = countListed(listed, pool, zone, endpoint_tenure::Steady);
        supply.cheap = countListed(listed, pool, zone, endpoint_tenure::Cheap);
        int &mostSteady = state.mostSteady[zone];
        mostSteady = std::max(mostSteady, supply.steady);
        if (mostSteady == 0)
            continue;
        supply.minSteady = std::min(mostSteady, minSteadyInZone);
        if (now < state.keptUntil)
            supply.minSteady = std::max(supply.minSteady, state.kept[zone].steady);
        supply.cheapAvailable = !state.orders.refusesCheap(zone);
        state.orders.listed(now, zone, endpoint_tenure::Steady, supply.steady);
        state.orders.listed(now, zone, endpoint_tenure::Cheap, supply.cheap);
        zones.push_back(std::move(supply));
    }
    return zones;
}

void demand_capacity::decidePool(decision &current, const measured_work &work, double slots)
{
    pool_state &state = current.state;
    noteKnown(current, work);
    learnUsual(state, work);
    current.strained = isStrained(work.strain, state.usual);
    zone_plan plan = planZones(work, slots, current.scaling, current.zones);
    if (state.knownSince && current.now - *state.knownSince >= observationTime) {
        state.observed = true;
        rememberPlan(current, plan);
    } else {
        planWithoutDemand(current, plan);
    }
    followReduction(current);
    undoReduction(current);
    raise(current, plan);
    const std::string_view held = reasonToHold(current, plan);
    if (held.empty())
        reduce(current, plan);
    state.status = {current.pool, work, std::move(plan), servingIn(current.zones), held};
}

void demand_capacity::noteKnown(decision &current, const measured_work &work)
{
    pool_state &state = current.state;
    if (!work.known()) {
        state.knownSince.reset();
        return;
    }
    state.lastKnownAt = current.now;
    if (!state.knownSince)
        state.knownSince = current.now;
}

void demand_capacity::learnUsual(pool_state &state, const measured_work &work)
{
    if (state.reduced || !state.knownSince)
        return;
    const double rate = 1.0 / ++state.usualSamples;
    state.usual.late += rate * (work.strain.late - state.usual.late);
    state.usual.rejected += rate * (work.strain.rejected - state.usual.rejected);
    state.usual.waiting += rate * (work.strain.waiting - state.usual.waiting);
}

/// Keeps what there is, and orders what is missing by what is known so far; fills zones without
/// cheap endpoints, and all zones when the demand stays unknown. Before the first observation
/// steady ones are not ordered: rates are not learnt and caches are empty then, so that the load
/// seems larger.
void demand_capacity::planWithoutDemand(decision &current, zone_plan &plan)
{
    const pool_state &state = current.state;
    const bool unknownForLong = current.now - state.lastKnownAt >= observationTime;
    const bool some = state.knownSince.has_value();
    plan.satisfiable = false;
    plan.total = {};
    for (const zone_supply &zone : current.zones) {
        zone_counts &counts = plan.zones[zone.zone];
        const zone_counts needed = some ? counts : zone_counts{};
        counts = {std::max(zone.steady, zone.minSteady), zone.cheap};
        if (state.observed)
            counts.steady = std::max(counts.steady, needed.steady);
        counts.cheap = std::max(counts.cheap, needed.cheap);
        if (offersCheap(current.scaling) && (zone.cheap == 0 || unknownForLong))
            counts.cheap = std::max(current.scaling.most - counts.steady, 0);
        plan.total.steady += counts.steady;
        plan.total.cheap += counts.cheap;
    }
}

void demand_capacity::rememberPlan(decision &current, const zone_plan &plan)
{
    auto &recent = current.state.recent;
    recent.push_back({current.now, plan.zones});
    while (current.now - recent.front().at > planMemory)
        recent.pop_front();
}

/// \returns the number that a reduction may go down to.
int demand_capacity::leastOf(const decision &current, const zone_supply &zone,
                             endpoint_tenure tenure)
{
    const bool steady = tenure == endpoint_tenure::Steady;
    int least = steady ? zone.minSteady : 0;
    for (const planned_counts &plan : current.state.recent) {
        const auto counts = plan.zones.find(zone.zone);
        if (counts != plan.zones.end())
            least = std::max(least, steady ? counts->second.steady : counts->second.cheap);
    }
    const auto kept = current.state.kept.find(zone.zone);
    if (!steady && current.now < current.state.keptUntil && kept != current.state.kept.end())
        least = std::max(least, kept->second.cheap);
    return least;
}

void demand_capacity::raise(decision &current, const zone_plan &plan)
{
    for (const zone_supply &zone : current.zones) {
        const zone_counts &planned = plan.zones.at(zone.zone);
        const int most = current.scaling.most;
        const int steady = std::max(planned.steady, zone.minSteady);
        raiseTenure(current, zone, endpoint_tenure::Steady, zone.steady,
                    std::min(steady, most - zone.cheap), "the load needs more steady endpoints");
        if (!offersCheap(current.scaling))
            continue;
        if (steady <= most - zone.cheap || steady <= zone.steady) {
            raiseCheap(current, zone, plan);
        } else if (!reductionUnderWay(current)) {
            count_order order{current.pool, zone.zone, endpoint_tenure::Cheap, most - steady};
            current.state.last = reduction{current.now, std::nullopt, {order}, {}};
            current.orders.push_back({std::move(order), "room for steady endpoints"});
        }
    }
}

/// A zone that refused is asked again, for as many as the other zones have.
void demand_capacity::raiseCheap(decision &current, const zone_supply &zone, const zone_plan &plan)
{
    const int steady = std::max({plan.zones.at(zone.zone).steady, zone.minSteady, zone.steady});
    const int room = std::max(current.scaling.most - steady, 0);
    int wanted = plan.zones.at(zone.zone).cheap;
    if (!zone.cheapAvailable) {
        for (const auto &[other, counts] : plan.zones)
            wanted = std::max(wanted, counts.cheap);
    }
    if (current.strained || (wanted == 0 && !zone.cheapAvailable))
        wanted = room;
    raiseTenure(current, zone, endpoint_tenure::Cheap, zone.cheap, std::min(wanted, room),
                current.strained ? "callers wait" : "the load needs more cheap endpoints");
}

bool demand_capacity::reductionUnderWay(const decision &current)
{
    const auto &last = current.state.last;
    return last && !last->shownAt && current.now - last->orderedAt < lostAfter;
}

void demand_capacity::raiseTenure(decision &current, const zone_supply &zone,
                                  endpoint_tenure tenure, int listedCount, int wanted,
                                  std::string_view reason)
{
    pool_state &state = current.state;
    if (wanted <= listedCount || !state.orders.mayRaise(current.now, zone.zone, tenure, wanted))
        return;
    count_order order{current.pool, zone.zone, tenure, wanted};
    state.orders.ordered(current.now, order);
    if (tenure == endpoint_tenure::Steady)
        state.reduceFrom = std::max(state.reduceFrom, current.now + pauseAfterRise);
    current.orders.push_back({std::move(order), reason});
}

void demand_capacity::followReduction(decision &current)
{
    auto &last = current.state.last;
    if (!last || last->shownAt)
        return;
    const bool shown = std::ranges::all_of(last->orders, [&](const count_order &order) {
        const auto zone = std::ranges::find(current.zones, order.zone, &zone_supply::zone);
        return zone == current.zones.end() || listedOf(*zone, order.tenure) <= order.count;
    });
    if (shown)
        last->shownAt = current.now;
}

void demand_capacity::undoReduction(decision &current)
{
    pool_state &state = current.state;
    if (!current.strained || !state.last)
        return;
    const instant effectFrom = state.last->shownAt.value_or(state.last->orderedAt);
    if (!state.last->before.empty() && current.now - effectFrom < undoTime) {
        state.kept = state.last->before;
        state.keptTime
                = std::clamp<nanoseconds>(2 * state.keptTime, firstKeptTime, longestKeptTime);
        state.keptUntil = current.now + state.keptTime;
        for (zone_supply &zone : current.zones)
            zone.minSteady = std::max(zone.minSteady, state.kept[zone.zone].steady);
    }
    state.last.reset();
    state.reduceFrom = std::max(state.reduceFrom, current.now + pauseAfterRise);
}

std::string_view demand_capacity::reasonToHold(const decision &current, const zone_plan &plan)
{
    const pool_state &state = current.state;
    if (!state.knownSince)
        return "demand unknown";
    if (current.now - *state.knownSince < observationTime)
        return "observing";
    if (current.strained)
        return "callers wait";
    if (!plan.satisfiable)
        return "all endpoints are needed";
    if (current.now < state.reduceFrom)
        return "endpoints were ordered";
    if (reductionUnderWay(current))
        return "reduction under way";
    if (state.last && state.last->shownAt && current.now - *state.last->shownAt < effectTime)
        return "effect observed";
    return {};
}

void demand_capacity::reduce(decision &current, const zone_plan &plan)
{
    pool_state &state = current.state;
    std::string_view reason = "not needed for the load";
    std::vector<count_order> orders = reductionOf(current, plan, endpoint_tenure::Steady);
    if (orders.empty() && current.now - *state.knownSince >= cheapObservationTime)
        orders = reductionOf(current, plan, endpoint_tenure::Cheap);
    if (orders.empty())
        return;
    reduction step{current.now, std::nullopt, orders, {}};
    for (const zone_supply &zone : current.zones)
        step.before[zone.zone] = {zone.steady, zone.cheap};
    state.last = std::move(step);
    state.reduced = true;
    for (count_order &order : orders)
        current.orders.push_back({std::move(order), reason});
}

std::vector<count_order> demand_capacity::reductionOf(const decision &current,
                                                      const zone_plan &plan, endpoint_tenure tenure)
{
    std::vector<zone_supply> left = current.zones;
    std::ranges::sort(left, std::ranges::greater{}, &zone_supply::price);
    std::vector<count_order> orders;
    for (zone_supply &zone : left) {
        const int listedCount = listedOf(zone, tenure);
        const int excess = listedCount - leastOf(current, zone, tenure);
        int step = std::min(excess, maxStep);
        if (tenure == endpoint_tenure::Cheap && excess < minCheapExcess)
            continue;
        for (; step > 0; --step) {
            setListed(zone, tenure, listedCount - step);
            if (coversLoad(plan.requirements, servingIn(left)))
                break;
        }
        if (step > 0)
            orders.push_back({current.pool, zone.zone, tenure, listedCount - step});
        else
            setListed(zone, tenure, listedCount);
    }
    return orders;
}

} // namespace yuccascale::kernel::policy

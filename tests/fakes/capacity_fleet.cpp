#include "fakes/capacity_fleet.hpp"

#include <algorithm>

namespace yuccascale::fakes {

using namespace kernel;
using policy::count_order;
using state::endpoint_tenure;

namespace {

constexpr instant start{seconds(100)};
constexpr nanoseconds stepLength = requests::workSpanLength;
constexpr double stepSeconds = 0.25;
constexpr seconds bootTime{4};
constexpr seconds drainTime{3};
constexpr seconds reclaimNotice{1};
constexpr double targetSeconds = 0.25;
/// Time in a slot beside the prefill.
constexpr double decodeSeconds = 0.15;
constexpr double cheapPrice = 0.22;
const std::map<std::string, double> zonePrices{{"a", 0.85}, {"b", 1.0}, {"c", 1.2}};

} // namespace

capacity_fleet::capacity_fleet(int most, int steadyInZone)
{
    state::pool &pool = tables.pools["engines"];
    pool.name = "engines";
    pool.scaling = {{1, most, cheapPrice, zonePrices}};
    for (const auto &[zone, price] : zonePrices) {
        for (int number = 0; number < steadyInZone; ++number)
            m_endpoints.push_back({zone, endpoint_tenure::Steady, price, start, std::nullopt});
    }
}

void capacity_fleet::run(seconds time, const load_function &load, const rule &decide)
{
    const instant end = m_now + time;
    while (m_now < end) {
        step(load);
        if ((m_now - start) / stepLength % 2 != 0)
            continue;
        for (const count_order &order : decide(m_now)) {
            sent.push_back(order);
            if (!losesOrder || !losesOrder(order))
                m_pending.push_back({order, m_now + orderDelay});
        }
        executeDue();
    }
}

void capacity_fleet::run(seconds time, const load_function &load, policy::demand_capacity &policy)
{
    run(time, load, [this, &policy](instant now) {
        std::vector<count_order> orders;
        const auto work
                = [this](const std::string &pool) { return m_book.work(m_now, pool, entries); };
        for (const policy::reasoned_order &chosen : policy.decide(now, tables, list(), work)) {
            reasoned.push_back(chosen);
            const bool refused = chosen.order.tenure == endpoint_tenure::Cheap
                    && refusesCheap[chosen.order.zone]
                    && chosen.order.count > cheap(chosen.order.zone);
            policy.answered(now, chosen.order, !refused);
            orders.push_back(chosen.order);
        }
        return orders;
    });
}

void capacity_fleet::reclaim(const std::string &zone)
{
    for (endpoint &one : m_endpoints) {
        if (one.zone == zone && one.tenure == endpoint_tenure::Cheap && !one.goneAt)
            one.goneAt = m_now + reclaimNotice;
    }
}

int capacity_fleet::steady(const std::string &zone) const
{
    return count(endpoint_tenure::Steady, zone);
}

int capacity_fleet::cheap(const std::string &zone) const
{
    return count(endpoint_tenure::Cheap, zone);
}

std::vector<feed::listed_endpoint> capacity_fleet::list() const
{
    std::vector<feed::listed_endpoint> out;
    for (const endpoint &one : m_endpoints) {
        if (m_now < one.readyAt)
            continue;
        feed::listed_endpoint listed;
        listed.pool = "engines";
        listed.row.zone = one.zone;
        listed.row.tenure = one.tenure;
        listed.row.slots = slots;
        listed.row.draining = one.goneAt.has_value();
        out.push_back(std::move(listed));
    }
    return out;
}

void capacity_fleet::step(const load_function &load)
{
    const double since = std::chrono::duration<double>(m_now - start).count();
    m_now += stepLength;
    executeDue();
    std::erase_if(m_endpoints,
                  [this](const endpoint &one) { return one.goneAt && *one.goneAt <= m_now; });
    for (const endpoint &one : m_endpoints) {
        const bool steadyOne = one.tenure == endpoint_tenure::Steady;
        result.cost += stepSeconds * one.price * (steadyOne ? 1 : cheapPrice);
        (steadyOne ? result.steadySeconds : result.cheapSeconds) += stepSeconds;
    }
    serve(load(since));
    report();
}

/// An order is executed when it has arrived, whatever was ordered since.
void capacity_fleet::executeDue()
{
    for (std::size_t index = 0; index < m_pending.size();) {
        if (m_pending[index].executeAt > m_now) {
            ++index;
            continue;
        }
        execute(m_pending[index].order);
        m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

bool capacity_fleet::execute(const count_order &order)
{
    std::vector<endpoint *> present;
    int others = 0;
    for (endpoint &one : m_endpoints) {
        if (one.zone != order.zone || one.goneAt)
            continue;
        if (one.tenure == order.tenure)
            present.push_back(&one);
        else
            ++others;
    }
    const int have = static_cast<int>(present.size());
    for (int number = order.count; number < have; ++number)
        present[static_cast<std::size_t>(number)]->goneAt = m_now + drainTime;
    if (order.count <= have)
        return true;
    if (order.tenure == endpoint_tenure::Cheap && refusesCheap[order.zone])
        return false;
    const int most = tables.pools.at("engines").scaling.front().most;
    for (int number = have; number < std::min(order.count, most - others); ++number)
        m_endpoints.push_back({order.zone, order.tenure, zonePrices.at(order.zone),
                               m_now + bootTime, std::nullopt});
    return true;
}

void capacity_fleet::serve(const offered_load &load)
{
    const auto servingCount = std::ranges::count_if(
            m_endpoints, [this](const endpoint &one) { return serving(one); });
    const double capacity
            = std::max(static_cast<double>(servingCount), 0.1) * engineTokensPerSecond;
    const double arrived = load.tokensPerSecond * stepSeconds;
    const double busy = std::min(m_backlogTokens + arrived, capacity * stepSeconds);
    m_backlogTokens += arrived - busy;
    const double wait = m_backlogTokens / capacity;
    const double requests = load.requestsPerSecond * stepSeconds;
    const double late = wait > targetSeconds ? requests : 0;
    result.offered += requests;
    result.late += late;
    result.longestWait = std::max(result.longestWait, wait);
    const double slotSeconds
            = busy / engineTokensPerSecond + requests * (decodeSeconds + std::min(wait, 1.0));
    m_history.push_back(
            {arrived, arrived * load.steadyShare, slotSeconds, slotSeconds * load.steadyShare});
    m_counts.push_back(
            {requests, reportsLate ? late : 0, requests, 0, 0, slotSeconds / stepSeconds});
}

/// A quarter of the entries reports at each step, each the last second of its share.
void capacity_fleet::report()
{
    constexpr std::size_t perReport = 4;
    if (m_history.size() < perReport || !reportsWork)
        return;
    requests::work_report work;
    work.interval = seconds(1);
    work.prefillTokensPerSecond = engineTokensPerSecond;
    for (std::size_t index = m_history.size() - perReport; index < m_history.size(); ++index) {
        requests::work_span span = m_history[index];
        const double share = reportedFactor / entries;
        span.uncachedTokens *= share;
        span.steadyTokens *= share;
        span.busySeconds *= share;
        span.steadySeconds *= share;
        work.spans.push_back(span);
        requests::request_counts counts = m_counts[index];
        counts.offered /= entries;
        counts.late /= entries;
        counts.sent /= entries;
        counts.running /= entries;
        work.counts += counts;
    }
    requests::demand_report report;
    report.pool = "engines";
    report.work = work;
    const int phase = static_cast<int>(m_history.size() % perReport);
    for (int entry = phase; entry < reportingEntries; entry += static_cast<int>(perReport))
        m_book.update(m_now, "entry-" + std::to_string(entry), std::span(&report, 1));
}

int capacity_fleet::count(endpoint_tenure tenure, const std::string &zone) const
{
    return static_cast<int>(std::ranges::count_if(m_endpoints, [&](const endpoint &one) {
        return one.tenure == tenure && !one.goneAt && m_now >= one.readyAt
                && (zone.empty() || one.zone == zone);
    }));
}

bool capacity_fleet::serving(const endpoint &one) const
{
    return m_now >= one.readyAt && !one.goneAt;
}

} // namespace yuccascale::fakes

#include "yuccascale/kernel/feed/origin_history.hpp"

#include "yuccascale/kernel/state/table_rules.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace yuccascale::kernel::feed {

namespace {

/// Under unknown deadlines a stream can have begun this long ago.
constexpr nanoseconds unknownLookback = requests::deadlinesKept * state::maxRouteDeadline;

/// The pools that a route may send a request to.
[[nodiscard]] std::vector<std::string> poolsOf(const state::route &row)
{
    if (row.split.empty())
        return {row.pool};
    std::vector<std::string> pools;
    for (const state::pool_share &share : row.split) {
        if (share.weight > 0)
            pools.push_back(share.pool);
    }
    return pools;
}

[[nodiscard]] bool needsList(const state::table_set &tables)
{
    return std::ranges::any_of(tables.pools,
                               [](const auto &pool) { return pool.second.discovered; });
}

/// The software versions of each pool; those of a pool without a known list are left out.
[[nodiscard]] std::map<std::string, std::vector<std::string>>
versionsOf(const state::table_set &tables, const endpoint_list &endpoints)
{
    std::map<std::string, std::vector<std::string>> out;
    for (const auto &[name, pool] : tables.pools) {
        if (pool.discovered && endpoints.version == 0)
            continue;
        std::vector<std::string> &versions = out[name];
        for (const state::endpoint &row : pool.endpoints)
            versions.push_back(row.softwareVersion);
    }
    for (const listed_endpoint &listed : endpoints.endpoints) {
        const auto pool = out.find(listed.pool);
        if (pool != out.end() && tables.pools.at(listed.pool).discovered)
            pool->second.push_back(listed.row.softwareVersion);
    }
    return out;
}

[[nodiscard]] milliseconds inMilliseconds(nanoseconds time)
{
    return std::chrono::floor<milliseconds>(time);
}

void append(std::vector<former_name> &out, instant now, const std::string &owner,
            const requests::name_history &names, nanoseconds lookback)
{
    for (const auto &[name, goneAt] : names.formerOnes()) {
        if (now - goneAt < lookback)
            out.push_back({owner, name, inMilliseconds(now - goneAt)});
    }
}

} // namespace

void watch::restart(instant now, bool fromFirstRevision) noexcept
{
    m_since = now;
    m_fromFirstRevision = fromFirstRevision;
}

void watch::extend(instant now, const watched_span &earlier) noexcept
{
    m_since = std::min<instant>(m_since, now - earlier.time);
    m_fromFirstRevision = m_fromFirstRevision || earlier.fromFirstRevision;
}

watched_span watch::span(instant now) const noexcept
{
    return {inMilliseconds(now - m_since), m_fromFirstRevision};
}

origin_history::origin_history(instant since, nanoseconds lag) noexcept
    : m_lag(lag)
    , m_tables(since)
    , m_endpoints(since)
{ }

void origin_history::startWatching(instant now, const state::table_set &tables,
                                   const endpoint_list &endpoints)
{
    if (!std::exchange(m_haveTables, true))
        m_tables.restart(now, tables.revision <= 1);
    if (m_haveEndpoints)
        return;
    m_haveEndpoints = endpoints.version > 0 || !needsList(tables);
    // with the first revision already, streams may have begun before this node heard of it
    m_endpoints.restart(now, tables.revision == 0);
}

void origin_history::update(instant now, const state::table_set &tables,
                            const endpoint_list &endpoints)
{
    startWatching(now, tables, endpoints);
    updateRoutes(now, tables);
    updateVersions(now, tables, endpoints);
    forgetExpired(now);
}

void origin_history::missed(instant now, bool tablesChanged)
{
    m_endpoints.restart(now, false);
    if (tablesChanged)
        m_tables.restart(now, false);
}

/// A route that is gone keeps its history for as long as its streams may be taken up.
void origin_history::updateRoutes(instant now, const state::table_set &tables)
{
    for (auto &[name, history] : m_routes) {
        if (tables.routes.contains(name))
            continue;
        history.pools.update(now, {});
        history.deadlines.update(now, nanoseconds::zero());
    }
    for (const auto &[name, row] : tables.routes) {
        route_history &history = m_routes[name];
        history.pools.update(now, poolsOf(row));
        history.deadlines.update(now, milliseconds(row.deadlineMs));
    }
}

void origin_history::updateVersions(instant now, const state::table_set &tables,
                                    const endpoint_list &endpoints)
{
    for (auto &[pool, versions] : versionsOf(tables, endpoints))
        m_versions[pool].update(now, std::move(versions));
    for (auto &[pool, history] : m_versions) {
        if (!tables.pools.contains(pool))
            history.update(now, {});
    }
}

void origin_history::forgetExpired(instant now)
{
    const instant oldest = now - longestLookback(now) - m_lag;
    for (auto &[name, history] : m_routes)
        history.pools.forget(oldest);
    for (auto &[pool, history] : m_versions)
        history.forget(oldest);
    std::erase_if(m_routes, [&](const auto &route) {
        return route.second.pools.empty()
                && route.second.deadlines.lookback(now) == nanoseconds::zero();
    });
    std::erase_if(m_versions, [](const auto &pool) { return pool.second.empty(); });
}

nanoseconds origin_history::longestLookback(instant now) const
{
    nanoseconds longest{};
    for (const auto &[name, history] : m_routes)
        longest = std::max(longest, history.deadlines.lookback(now));
    return longest;
}

void origin_history::learn(instant now, const origin_report &earlier)
{
    for (const former_name &seen : earlier.versions)
        m_versions[seen.owner].add(seen.name, now - seen.goneFor);
    for (const former_name &seen : earlier.pools)
        m_routes[seen.owner].pools.add(seen.name, now - seen.goneFor);
    for (const former_deadline &seen : earlier.deadlines)
        m_routes[seen.route].deadlines.add({seen.deadline, now - seen.goneFor});
    m_tables.extend(now, earlier.tables);
    if (m_haveEndpoints)
        m_endpoints.extend(now, earlier.endpoints);
}

origin_report origin_history::report(instant now) const
{
    origin_report out;
    out.tables = m_tables.span(now);
    if (m_haveEndpoints)
        out.endpoints = m_endpoints.span(now);
    const nanoseconds lookback = longestLookback(now) + m_lag;
    for (const auto &[pool, history] : m_versions)
        append(out.versions, now, pool, history, lookback);
    for (const auto &[route, history] : m_routes) {
        append(out.pools, now, route, history.pools, lookback);
        for (const auto &former : history.deadlines.formerOnes(now))
            out.deadlines.push_back({route, std::chrono::ceil<milliseconds>(former.deadline),
                                     inMilliseconds(now - former.goneAt)});
    }
    return out;
}

/// Without them, a stream can be older than any deadline that is known.
bool origin_history::deadlinesKnown(instant now) const noexcept
{
    return m_haveTables && m_tables.covers(now, unknownLookback);
}

bool origin_history::knowsAll(instant now) const
{
    return deadlinesKnown(now) && m_haveEndpoints
            && m_endpoints.covers(now, longestLookback(now) + m_lag);
}

nanoseconds origin_history::lookback(instant now, const std::string &route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? nanoseconds::zero() : found->second.deadlines.lookback(now);
}

requests::origins_seen origin_history::seen(instant now, const std::string &route,
                                            const std::string &pool, nanoseconds atLeast) const
{
    requests::origins_seen out;
    const nanoseconds span = std::max(atLeast, lookback(now, route)) + m_lag;
    const bool deadlines = deadlinesKnown(now);
    if (const auto found = m_routes.find(route); found != m_routes.end())
        out.pools = {found->second.pools.names(now, span), deadlines};
    if (const auto found = m_versions.find(pool); found != m_versions.end())
        out.versions = {found->second.names(now, span),
                        deadlines && m_haveEndpoints && m_endpoints.covers(now, span)};
    return out;
}

} // namespace yuccascale::kernel::feed

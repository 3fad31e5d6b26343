#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"
#include "yuccascale/kernel/feed/origin_report.hpp"
#include "yuccascale/kernel/requests/deadline_history.hpp"
#include "yuccascale/kernel/requests/stream_origins.hpp"

#include <map>
#include <string>

/// \file
/// \brief Where streams can have begun, from the tables and endpoint lists that a node has seen.

namespace yuccascale::kernel::feed {

/// \brief The time for which something has been watched without a gap. Not thread-safe.
class watch
{
public:
    explicit watch(instant since) noexcept
        : m_since(since)
    { }

    /// \param fromFirstRevision nothing was in force before
    void restart(instant now, bool fromFirstRevision) noexcept;

    /// \brief Adds the time before, which another node has watched.
    void extend(instant now, const watched_span &earlier) noexcept;

    [[nodiscard]] bool covers(instant now, nanoseconds span) const noexcept
    {
        return m_fromFirstRevision || now - m_since >= span;
    }
    [[nodiscard]] watched_span span(instant now) const noexcept;

private:
    instant m_since;
    bool m_fromFirstRevision = false;
};

/// \brief What was in force since a node began to watch. Not thread-safe.
///
/// A node that has just started, or was cut off, knows nothing of the time before. It learns that
/// from a node that has watched for longer, and what nobody says stays unknown.
class origin_history
{
public:
    /// \param lag how much longer than this node another one may use what is no longer in force
    origin_history(instant since, nanoseconds lag) noexcept;

    /// \brief Records what is in force now.
    void update(instant now, const state::table_set &tables, const endpoint_list &endpoints);

    /// \brief Records that this node did not hear what was in force until now.
    /// \param tablesChanged since it last heard
    void missed(instant now, bool tablesChanged);

    /// \brief Adds what another node saw before this one began to watch.
    void learn(instant now, const origin_report &earlier);

    /// \returns what a node needs that has watched for less time.
    [[nodiscard]] origin_report report(instant now) const;

    /// \returns whether no other node can know more that matters.
    [[nodiscard]] bool knowsAll(instant now) const;

    /// \returns how long ago a stream of a route can have begun that is taken up now.
    [[nodiscard]] nanoseconds lookback(instant now, const std::string &route) const;

    /// \param atLeast how far to look back; further when the route's deadlines need that
    /// \returns where streams of a route can have begun, if it leads to \a pool now.
    [[nodiscard]] requests::origins_seen seen(instant now, const std::string &route,
                                              const std::string &pool, nanoseconds atLeast) const;

private:
    struct route_history
    {
        requests::name_history pools;
        requests::deadline_history deadlines;
    };

    void startWatching(instant now, const state::table_set &tables, const endpoint_list &endpoints);
    void updateRoutes(instant now, const state::table_set &tables);
    void updateVersions(instant now, const state::table_set &tables,
                        const endpoint_list &endpoints);
    void forgetExpired(instant now);
    [[nodiscard]] nanoseconds longestLookback(instant now) const;
    [[nodiscard]] bool deadlinesKnown(instant now) const noexcept;

    nanoseconds m_lag;
    bool m_haveTables = false;
    bool m_haveEndpoints = false; ///< the list of the endpoints, if the tables need one
    watch m_tables;
    watch m_endpoints;
    std::map<std::string, route_history> m_routes;            ///< by name
    std::map<std::string, requests::name_history> m_versions; ///< by pool
};

} // namespace yuccascale::kernel::feed

#pragma once

#include "yuccascale/http/caller_commits.hpp"
#include "yuccascale/http/caller_pools.hpp"
#include "yuccascale/http/caller_protocol.hpp"
#include "yuccascale/http/caller_quotas.hpp"
#include "yuccascale/http/endpoint_client.hpp"
#include "yuccascale/http/endpoint_monitor.hpp"
#include "yuccascale/http/entry_drain.hpp"
#include "yuccascale/http/entry_relay.hpp"
#include "yuccascale/http/overload_guard.hpp"
#include "yuccascale/http/stream_registry.hpp"
#include "yuccascale/kernel/requests/events.hpp"
#include "yuccascale/kernel/requests/key_check.hpp"
#include "yuccascale/runtime/metrics.hpp"

#include <atomic>
#include <memory>
#include <set>
#include <string>

/// \file
/// \brief Objects that all requests of an entry share.

namespace yuccascale::http {

/// \brief Fingerprints that this entry bans before its tables show the ban. Thread-safe.
class local_bans
{
public:
    void add(const std::string &fingerprint)
    {
        const std::scoped_lock guard(m_mutex);
        m_fingerprints.insert(fingerprint);
    }
    [[nodiscard]] bool contains(const std::string &fingerprint) const
    {
        const std::scoped_lock guard(m_mutex);
        return m_fingerprints.contains(fingerprint);
    }

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_fingerprints;
};

/// \brief The route index of the newest tables. Thread-safe.
class route_cache
{
public:
    [[nodiscard]] std::shared_ptr<const kernel::requests::route_index>
    indexFor(const std::shared_ptr<const kernel::state::table_set> &tables)
    {
        const std::scoped_lock guard(m_mutex);
        if (!tables || m_tables != tables) {
            m_tables = tables;
            m_index = std::make_shared<const kernel::requests::route_index>(tables);
        }
        return m_index;
    }

private:
    std::mutex m_mutex;
    std::shared_ptr<const kernel::state::table_set> m_tables;
    std::shared_ptr<const kernel::requests::route_index> m_index;
};

class caller_session;

/// \brief Objects of one event loop of an entry.
struct entry_loop
{
    entry_loop(net::io_context &loop, const kernel::clock &clock, kernel::event_sink &events)
        : context(loop)
        , endpoints(loop)
        , overload(loop, clock, events)
    { }

    net::io_context &context;
    endpoint_client endpoints;
    overload_guard overload;
    std::set<caller_session *> sessions; ///< that run on this loop; used on it only
};

/// \brief Objects that all requests of an entry share.
struct caller_services
{
    const runtime::settings &settings;
    const kernel::clock &clock;
    kernel::event_sink &events;
    kernel::control_client &control;
    std::string entry;  ///< node and incarnation
    std::string secret; ///< signs resume tokens
    std::unique_ptr<caller_protocol> protocol;
    std::unique_ptr<caller_pools> pools;
    std::unique_ptr<stream_registry> streams;
    caller_commits commits;
    std::vector<std::unique_ptr<entry_loop>> loops;
    std::unique_ptr<kernel::requests::endpoint_driver> engineDriver;
    std::unique_ptr<kernel::requests::endpoint_driver> serviceDriver;
    std::function<std::vector<offered_address>(bool othersOnly)> addresses; ///< of entries
    entry_drain drain;
    local_bans bans;
    route_cache routes;
    runtime::metrics metrics;
    std::shared_ptr<endpoint_monitor> monitor = nullptr;
    std::unique_ptr<entry_relay> relay = nullptr;
    std::unique_ptr<caller_quotas> quotas = nullptr;
    std::atomic<std::uint64_t> nextTicket{1};
    std::atomic<int> runningRequests{0}; ///< requests that have no answer yet

    [[nodiscard]] const kernel::requests::endpoint_driver &
    driverOf(kernel::state::backend_kind kind) const
    {
        return kind == kernel::state::backend_kind::Model ? *engineDriver : *serviceDriver;
    }

    /// \returns the objects of a loop.
    [[nodiscard]] entry_loop &loopOf(const net::io_context &context) const
    {
        for (const auto &loop : loops) {
            if (&loop->context == &context)
                return *loop;
        }
        return *loops.front();
    }

    /// \brief Applies and logs what an endpoint asked in an answer.
    void applyNotice(const std::string &pool, const std::string &endpoint,
                     const kernel::requests::endpoint_notice &notice)
    {
        using namespace kernel::requests;
        for (const std::string &header : notice.unreadableHeaders)
            events.record(endpointHeaderIgnored, {{"endpoint", endpoint}, {"header", header}});
        const notice_effect effect = pools->applyNotice(pool, endpoint, notice);
        if (effect.leaving)
            events.record(endpointLeaving, {{"endpoint", endpoint}});
        if (effect.limitChanged)
            recordLimit(endpoint, *notice.requestLimit);
        if (notice.pause > kernel::nanoseconds::zero()) {
            const auto pause = std::chrono::ceil<kernel::milliseconds>(notice.pause);
            events.record(endpointPaused, {{"endpoint", endpoint}, {"pause_ms", pause.count()}});
        }
    }

    void recordLimit(const std::string &endpoint, double requestsPerSecond) const
    {
        using namespace kernel::requests;
        if (requestsPerSecond == noRequestLimit)
            return events.record(endpointLimitLifted, {{"endpoint", endpoint}});
        events.record(endpointLimited,
                      {{"endpoint", endpoint}, {"requests_per_s", requestsPerSecond}});
    }

    /// \returns whether a request that begins now ends before this process.
    [[nodiscard]] bool endsInTime(const kernel::requests::request &callerRequest) const
    {
        const kernel::state::route &route = callerRequest.route;
        return !drain.closed()
                && drain.plan().endsInTime(clock.now(), callerRequest,
                                           pools->longestAnswer(route.pool, route.name));
    }

    /// \returns whether a request may be sent now.
    [[nodiscard]] kernel::requests::start_check
    checkStart(const kernel::requests::request &callerRequest) const
    {
        if (bans.contains(callerRequest.fingerprint))
            return kernel::requests::start_check::Banned;
        if (drain.leaving() && !endsInTime(callerRequest))
            return kernel::requests::start_check::Leaving;
        return kernel::requests::checkStart(clock.now(), control.view(), callerRequest);
    }
};

} // namespace yuccascale::http

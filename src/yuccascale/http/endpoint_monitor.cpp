#include "yuccascale/http/endpoint_monitor.hpp"

#include "yuccascale/kernel/requests/events.hpp"

#include <boost/asio/post.hpp>

#include <utility>
#include <vector>

namespace yuccascale::http {

using namespace kernel::requests;

endpoint_monitor::endpoint_monitor(const kernel::clock &clock, kernel::event_sink &events,
                                   net::io_context &loop, net::http_client &client,
                                   std::uint64_t seed, std::function<void()> onChange)
    : m_clock(clock)
    , m_events(events)
    , m_loop(loop)
    , m_client(client)
    , m_onChange(std::move(onChange))
    , m_reach(seed)
{ }

void endpoint_monitor::setEndpoints(std::span<const polled_endpoint> endpoints)
{
    std::vector<reach_endpoint> rows;
    rows.reserve(endpoints.size());
    for (const polled_endpoint &endpoint : endpoints)
        rows.push_back({endpoint.name, endpoint.address, endpoint.zone, endpoint.pool});
    const std::scoped_lock guard(m_mutex);
    m_reach.setEndpoints(std::move(rows));
}

void endpoint_monitor::attemptFailed(const std::string &endpoint)
{
    reach_state state{};
    {
        const std::scoped_lock guard(m_mutex);
        m_reach.attemptFailed(m_clock.now(), endpoint);
        state = m_reach.state();
    }
    applyState(state);
    if (state == reach_state::Suspected)
        boost::asio::post(m_loop, [self = shared_from_this()] { self->probeDue(); });
}

void endpoint_monitor::probeDue()
{
    std::vector<reach_endpoint> probes;
    {
        const std::scoped_lock guard(m_mutex);
        probes = m_reach.takeProbes(m_clock.now());
    }
    for (const reach_endpoint &probe : probes) {
        m_client.probe(probe.address, [weak = weak_from_this()](bool connected) {
            if (const auto self = weak.lock())
                self->onProbed(connected);
        });
    }
}

void endpoint_monitor::onProbed(bool connected)
{
    reach_state state{};
    {
        const std::scoped_lock guard(m_mutex);
        m_reach.probed(m_clock.now(), connected);
        state = m_reach.state();
    }
    applyState(state);
}

void endpoint_monitor::applyState(reach_state state)
{
    const bool suspectedOnly = state == reach_state::Suspected;
    const bool lost = state == reach_state::Lost || state == reach_state::Returning;
    if (suspectedOnly || m_lost.exchange(lost) == lost)
        return;
    m_events.record(lost ? endpointsUnreached : endpointsReached, {});
    m_onChange();
}

reach_state endpoint_monitor::state() const
{
    const std::scoped_lock guard(m_mutex);
    return m_reach.state();
}

bool endpoint_monitor::goesDirectly(std::string_view requestId) const
{
    const std::scoped_lock guard(m_mutex);
    return m_reach.goesDirectly(requestId);
}

} // namespace yuccascale::http

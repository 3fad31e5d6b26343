#pragma once

#include "yuccascale/http/caller_pools.hpp"
#include "yuccascale/kernel/events.hpp"
#include "yuccascale/kernel/requests/endpoint_reach.hpp"
#include "yuccascale/net/http_client.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <string_view>

/// \file
/// \brief Watches whether this entry reaches endpoints.

namespace yuccascale::http {

/// \brief Runs the probes of endpoint_reach. Thread-safe, but for probeDue().
class endpoint_monitor : public std::enable_shared_from_this<endpoint_monitor>
{
public:
    /// \param loop on which probes run
    /// \param client of that loop
    /// \param onChange called when lost() changes
    endpoint_monitor(const kernel::clock &clock, kernel::event_sink &events, net::io_context &loop,
                     net::http_client &client, std::uint64_t seed, std::function<void()> onChange);

    void setEndpoints(std::span<const polled_endpoint> endpoints);

    /// \brief Records an attempt whose connection failed.
    void attemptFailed(const std::string &endpoint);

    /// \brief Starts the probes that are due. On the loop only.
    void probeDue();

    [[nodiscard]] kernel::requests::reach_state state() const;

    /// \returns whether a first attempt is sent to an endpoint by this entry itself.
    [[nodiscard]] bool goesDirectly(std::string_view requestId) const;

    /// \returns whether this entry does not serve all of its requests itself.
    [[nodiscard]] bool lost() const noexcept { return m_lost; }

private:
    void onProbed(bool connected);
    void applyState(kernel::requests::reach_state state);

    const kernel::clock &m_clock;
    kernel::event_sink &m_events;
    net::io_context &m_loop;
    net::http_client &m_client;
    std::function<void()> m_onChange;
    std::atomic<bool> m_lost{false};
    mutable std::mutex m_mutex;
    kernel::requests::endpoint_reach m_reach;
};

} // namespace yuccascale::http

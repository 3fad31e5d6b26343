#pragma once

#include "yuccascale/http/caller_answers.hpp"
#include "yuccascale/http/stream_registry.hpp"
#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"
#include "yuccascale/net/event_loops.hpp"
#include "yuccascale/net/http_exchange.hpp"
#include "yuccascale/net/memory_budget.hpp"
#include "yuccascale/runtime/settings.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief The entry role of a node: serves callers over HTTP.

namespace yuccascale::http {

class caller_pools;
class caller_quotas;

/// \brief What a caller server uses of its node.
struct caller_server_dependencies
{
    const runtime::settings &settings;
    const kernel::clock &clock;
    kernel::event_sink &events;
    kernel::control_client &control;
    net::event_loops &loops;
    std::string secret;            ///< cluster secret
    std::uint64_t incarnation = 0; ///< of this process; never used twice by a node
    /// Nodes that run and are not leaving; null: only this one.
    std::function<std::vector<kernel::feed::node_report>()> nodes;
    /// The time that the nodes agree on; null: this VM's wall clock.
    std::function<kernel::wall_time()> agreedTime;
    /// Serves other requests to the callers' address, such as those of operators, or returns false;
    /// may be null.
    std::function<bool(const std::shared_ptr<net::http_exchange> &)> handleOtherCall;
    entry_exchange otherEntries = {};
    /// Called when endpointsLost() changes; may be null.
    std::function<void(bool lost)> onEndpointsLost = nullptr;
    /// Asks for a confirmation of the tables, which scheduleFeedUpdate() tells of; may be null.
    std::function<void()> confirmSoon = nullptr;
    std::shared_ptr<runtime::worker_threads> workers = nullptr; ///< null: threads of its own
    /// Metrics of the node's other parts, as text; may be null.
    std::function<std::string()> otherMetrics = nullptr;
    /// Shared with the other servers of the process; null: unlimited.
    std::shared_ptr<net::memory_budget> memory = nullptr;
};

/// \brief Serves callers at the node's addresses.
///
/// \example
///     caller_server server(parts);
///     BOOST_LEAF_CHECK(server.start());
class caller_server
{
public:
    explicit caller_server(caller_server_dependencies dependencies);
    ~caller_server();
    caller_server(const caller_server &) = delete;
    caller_server &operator=(const caller_server &) = delete;

    /// \returns error_kind::Unavailable when an address cannot be bound, error_kind::NotFound when
    ///          the settings name an unknown strategy or protocol.
    [[nodiscard]] kernel::result<void> start();

    /// \brief Posts an update to newer tables, endpoints or nodes; thread-safe.
    void scheduleFeedUpdate();

    /// \brief Removes this entry from the addresses that are sent to callers. It keeps serving
    /// while callers may use an older list, and then until its requests are answered. Returns at
    /// once.
    /// \param since when the node was told to shut down
    void beginShutdown(kernel::instant since);

    /// \returns true after beginShutdown(), once older address lists have expired and no answer is
    /// owed, or when the time to end has come.
    [[nodiscard]] bool drained() const;

    /// \brief Takes no more connections and refuses each request, since the process ends.
    void closeToCallers();

    /// \returns the number of open connections.
    [[nodiscard]] std::size_t connections() const;

    /// \brief Closes all connections; the loops may be stopped then.
    void stop();

    /// \returns the port of the callers' address.
    [[nodiscard]] int port() const noexcept;

    /// \returns the pools' queues; after start().
    [[nodiscard]] caller_pools &pools() noexcept;

    /// \returns the quotas of organisations at this entry.
    [[nodiscard]] caller_quotas &quotas() noexcept;

    /// \returns the registry of streams, which handles the messages of other entries; after
    /// start().
    [[nodiscard]] stream_registry &streams() noexcept;

    /// \returns the addresses that are sent to callers.
    [[nodiscard]] std::vector<offered_address> addresses() const;

    /// \returns whether this entry reaches no endpoint, so that other entries serve for it.
    [[nodiscard]] bool endpointsLost() const noexcept;

    /// \returns the metrics in the Prometheus text format.
    [[nodiscard]] std::string metricsText();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace yuccascale::http

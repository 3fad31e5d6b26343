#pragma once

#include "yuccascale/http/caller_answers.hpp"
#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/runtime/settings.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace httplib {
class Server;
}

/// \file
/// \brief The HTTP server for callers.

namespace yuccascale::http {

class caller_pools;

/// \brief What a caller server needs of its node.
struct caller_server_parts
{
    const runtime::settings &settings;
    const kernel::clock &clock;
    kernel::event_sink &events;
    kernel::control_client &control;
    std::string secret;            ///< cluster secret
    std::uint64_t incarnation = 0; ///< of this process; never used twice by a node
    /// Whether another node may be offered to callers; null offers all.
    std::function<bool(const runtime::node_settings &)> offers;
};

/// \brief Serves callers at the node's callers address.
///
/// \example
///     caller_server server(parts);
///     addOperatorRoutes(server.server());
///     BOOST_LEAF_CHECK(server.start());
class caller_server
{
public:
    explicit caller_server(caller_server_parts parts);
    ~caller_server();
    caller_server(const caller_server &) = delete;
    caller_server &operator=(const caller_server &) = delete;

    /// \returns the HTTP server, for further routes; before start().
    [[nodiscard]] httplib::Server &server() noexcept;

    /// \returns error_kind::Unavailable when the address cannot be bound, error_kind::NotFound when
    ///          the settings name a strategy that there is not.
    [[nodiscard]] kernel::result<void> start();

    /// \brief Takes this entry out of the addresses. It serves on for their time to live, and then
    /// until its requests are answered. Returns at once.
    void beginShutdown();

    /// \returns true when nothing is left to do after beginShutdown().
    [[nodiscard]] bool drained() const;

    /// \brief Stops serving: waits for running requests, then ends all threads.
    void stop();

    /// \returns the port it listens on.
    [[nodiscard]] int port() const noexcept;

    /// \returns the pools' queues; after start().
    [[nodiscard]] caller_pools &pools() noexcept;

    /// \returns the addresses that callers are given.
    [[nodiscard]] std::vector<offered_address> addresses() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace yuccascale::http

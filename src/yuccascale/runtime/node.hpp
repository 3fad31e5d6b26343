#pragma once

#include "yuccascale/kernel/error.hpp"
#include "yuccascale/runtime/settings.hpp"

#include <memory>

/// \file
/// \brief One process of the system with the roles that its settings enable.

namespace yuccascale::runtime {

/// \brief Builds and runs a node.
///
/// \example
///     node node(settings);
///     BOOST_LEAF_CHECK(node.start());
///     node.waitUntilDrained();
class node
{
public:
    explicit node(settings settings);
    ~node();
    node(const node &) = delete;
    node &operator=(const node &) = delete;

    /// \returns error_kind::Unavailable or error_kind::Corrupt with the remedy when the node cannot
    ///          run.
    [[nodiscard]] kernel::result<void> start();

    /// \brief Reads the settings file again and applies what can change while the node runs: the
    /// seeds. An invalid file changes nothing.
    void reload();

    /// \brief Begins a graceful shutdown on SIGTERM and SIGINT and reads the settings again on
    ///        SIGHUP; the node must have been started.
    void handleSignals();

    /// \brief Begins a graceful shutdown: requests in flight are finished. Safe to call again.
    void beginShutdown();

    /// \brief Waits until a shutdown has begun and the requests in flight have finished, then stops
    ///        all threads.
    void waitUntilDrained();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace yuccascale::runtime

#pragma once

#include "yuccascale/kernel/error.hpp"
#include "yuccascale/runtime/settings.hpp"

#include <memory>

/// \file
/// \brief One process of the system: all roles that its settings give it.

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

    /// \returns error_kind::Unavailable or error_kind::Corrupt with the remedy when it cannot run.
    [[nodiscard]] kernel::result<void> start();

    /// \brief Reads the settings file again. What can change while the node runs is taken over: the
    /// seeds. A file that does not check leaves everything as it was.
    void reload();

    /// \brief Begins a graceful shutdown: no request is cut. Safe to call again.
    void beginShutdown();

    /// \brief Waits for a shutdown to begin and to finish what runs, then stops all threads.
    void waitUntilDrained();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace yuccascale::runtime

#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"

#include <map>
#include <string>
#include <vector>

/// \file
/// \brief Which nodes are alive, as their feed requests show.

namespace yuccascale::kernel::feed {

/// \brief The last report of each node. Not thread-safe.
class node_directory
{
public:
    /// \brief What is known of one node.
    struct known_node
    {
        node_report report;
        instant receivedAt{};
        std::string reportedBy; ///< the peer that told of it
    };

    /// \brief Takes in the reports of one request that \a peer sent.
    void update(instant now, std::string_view peer, const std::vector<node_report> &reports);

    /// \returns reports of all nodes heard within \a window, with their ages.
    [[nodiscard]] std::vector<node_report> reports(instant now, nanoseconds window) const;

    /// \returns links of the nodes that sent a request themselves within \a window.
    [[nodiscard]] std::vector<std::string> directPeers(instant now, nanoseconds window) const;

    /// \returns all that is known, by node name.
    [[nodiscard]] const std::map<std::string, known_node> &nodes() const noexcept
    {
        return m_nodes;
    }

private:
    std::map<std::string, known_node> m_nodes;
};

} // namespace yuccascale::kernel::feed

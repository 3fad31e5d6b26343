#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"

#include <map>
#include <string>
#include <vector>

/// \file
/// \brief Tracks the live nodes by their feed requests.

namespace yuccascale::kernel::feed {

/// \brief The last report of each node. Not thread-safe.
class node_directory
{
public:
    /// \brief Last report of one node and where it came from.
    struct known_node
    {
        node_report report;
        instant receivedAt{};
        std::string reportedBy; ///< the peer whose request held the report
    };

    /// \brief Records the reports of a request that \a peer sent.
    void update(instant now, std::string_view peer, const std::vector<node_report> &reports);

    /// \returns the reports received within \a window, with their ages.
    [[nodiscard]] std::vector<node_report> reports(instant now, nanoseconds window) const;

    /// \returns link addresses of the nodes that sent a request directly to this one within \a
    /// window.
    [[nodiscard]] std::vector<std::string> directPeers(instant now, nanoseconds window) const;

    /// \returns the last report of every node, by node name.
    [[nodiscard]] const std::map<std::string, known_node> &nodes() const noexcept
    {
        return m_nodes;
    }

private:
    std::map<std::string, known_node> m_nodes;
};

} // namespace yuccascale::kernel::feed

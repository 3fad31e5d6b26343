#include "yuccascale/kernel/feed/node_directory.hpp"

namespace yuccascale::kernel::feed {

void node_directory::update(instant now, std::string_view peer,
                            const std::vector<node_report> &reports)
{
    for (const node_report &report : reports) {
        const instant receivedAt = now - milliseconds(report.ageMs);
        known_node &node = m_nodes[report.node];
        if (receivedAt < node.receivedAt)
            continue;
        node = {report, receivedAt, std::string(peer)};
    }
}

std::vector<node_report> node_directory::reports(instant now, nanoseconds window) const
{
    std::vector<node_report> out;
    for (const auto &[name, node] : m_nodes) {
        if (now - node.receivedAt > window)
            continue;
        node_report report = node.report;
        report.ageMs = std::chrono::duration_cast<milliseconds>(now - node.receivedAt).count();
        out.push_back(report);
    }
    return out;
}

std::vector<std::string> node_directory::directPeers(instant now, nanoseconds window) const
{
    std::vector<std::string> out;
    for (const auto &[name, node] : m_nodes) {
        if (node.reportedBy == node.report.link && now - node.receivedAt <= window)
            out.push_back(node.report.link);
    }
    return out;
}

} // namespace yuccascale::kernel::feed

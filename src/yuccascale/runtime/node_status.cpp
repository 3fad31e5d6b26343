#include "yuccascale/runtime/node_status.hpp"

#include "yuccascale/kernel/orders/explain.hpp"

#include <algorithm>
#include <charconv>

namespace yuccascale::runtime {

using namespace kernel;

namespace {

std::int64_t millisecondsBetween(instant from, instant to)
{
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

json problem(std::string_view what, std::string_view remedy)
{
    return {{"what", what}, {"remedy", remedy}};
}

void addMissingNodes(const node_snapshot &snapshot, json &degraded)
{
    constexpr std::int64_t unresponsiveAfterMs = 4'000;
    for (const feed::node_report &node : snapshot.nodes) {
        if (node.leaving)
            degraded.push_back(problem(node.node + " is shutting down",
                                       "wait until it has finished its requests in flight"));
        else if (node.ageMs > unresponsiveAfterMs)
            degraded.push_back(problem(node.node + " has sent no report for "
                                               + std::to_string(node.ageMs) + " ms",
                                       "restart it or check its VM and network"));
    }
}

json degradedStates(const node_snapshot &snapshot)
{
    json degraded = json::array();
    if (!snapshot.view.fresh(snapshot.now)) {
        degraded.push_back(problem(
                "the tables on this node are not confirmed: keyed requests are refused as not run",
                "check that a majority of the control nodes run and can reach each other"));
    }
    if (snapshot.replica) {
        for (const std::string &reason : snapshot.replica->degraded)
            degraded.push_back(problem(reason, "see docs/operators.md, degraded states"));
    }
    addMissingNodes(snapshot, degraded);
    return degraded;
}

json replicaStatus(const node_snapshot &snapshot)
{
    const replicated_log_status &replica = *snapshot.replica;
    return {{"role", replica.role},
            {"term", replica.term},
            {"commit_index", replica.commitIndex},
            {"applied_index", replica.appliedIndex},
            {"since_ms", millisecondsBetween(replica.stateSince, snapshot.now)},
            {"voters", replica.voters},
            {"learners", replica.learners}};
}

/// \returns the node's name, or its link address when no report of it was received.
std::string nodeName(const std::string &link, const std::vector<feed::node_report> &nodes)
{
    const auto found = std::ranges::find(nodes, link, &feed::node_report::link);
    return link.empty() || found == nodes.end() ? link : found->node;
}

json linkStatus(const wire::transport_counters &links)
{
    return {{"bytes_sent", links.bytesSent.load()},
            {"bytes_received", links.bytesReceived.load()},
            {"frames_sent", links.framesSent.load()},
            {"frames_received", links.framesReceived.load()},
            {"frames_dropped", links.framesDropped.load()},
            {"frames_lost", links.framesLost.load()},
            {"open", links.linksOpen.load()},
            {"peers_refused", links.peersRefused.load()}};
}

} // namespace

json nodeStatus(const node_snapshot &snapshot)
{
    json out{{"node", snapshot.settings->node},
             {"zone", snapshot.settings->zone},
             {"leader", nodeName(snapshot.view.leader, snapshot.knownNodes)},
             {"fresh", snapshot.view.fresh(snapshot.now)},
             {"revision", snapshot.view.tables ? snapshot.view.tables->revision : 0},
             {"nodes", snapshot.nodes},
             {"links", linkStatus(*snapshot.links)},
             {"degraded", degradedStates(snapshot)}};
    if (snapshot.replica)
        out["replica"] = replicaStatus(snapshot);
    if (snapshot.authority) {
        out["authority"]
                = {{"fence", snapshot.authority->fence},
                   {"since_ms", millisecondsBetween(snapshot.authority->leaseStart, snapshot.now)},
                   {"left_ms", millisecondsBetween(snapshot.now, snapshot.authority->leaseEnd)}};
    }
    return out;
}

json explainId(const recent_events &events, const control_service *control, std::string_view id)
{
    json out{{"id", id}, {"events", events.find(id)}};
    std::uint64_t orderId = 0;
    const auto [end, errorCode] = std::from_chars(id.data(), id.data() + id.size(), orderId);
    if (control == nullptr || errorCode != std::errc() || end != id.data() + id.size())
        return out;
    const auto order
            = control->read([&](const state::machine &machine) { return machine.order(orderId); });
    if (order)
        out["order"] = orders::explainOrder(*order);
    return out;
}

} // namespace yuccascale::runtime

#include "processes/planned_stops.hpp"

#include "fakes/history.hpp"

#include <algorithm>
#include <csignal>

namespace yuccascale::processes {

using fakes::wallMs;

void planned_stops::begin(std::size_t node)
{
    node_stop &stop = m_stops.emplace_back();
    stop.node = node;
    stop.signalledMs = wallMs();
    m_system.nodeProcess(node).signal(SIGTERM);
}

bool planned_stops::isStopping(std::size_t node) const
{
    return std::ranges::any_of(m_stops, [node](const node_stop &stop) {
        return stop.node == node && stop.readyMs == 0;
    });
}

void planned_stops::advance()
{
    for (node_stop &stop : m_stops) {
        if (stop.exitedMs == 0)
            awaitExit(stop);
        else if (stop.readyMs == 0)
            awaitReady(stop);
    }
}

void planned_stops::awaitExit(node_stop &stop)
{
    child_process &process = m_system.nodeProcess(stop.node);
    if (!process.waitForExit(milliseconds(0))) {
        if (wallMs() < stop.signalledMs + m_gracePeriod.count())
            return;
        process.kill();
        stop.killed = true;
    }
    stop.exitedMs = wallMs();
    stop.exitCode = process.exitCode();
    m_system.startNode(stop.node);
}

void planned_stops::awaitReady(node_stop &stop) const
{
    if (m_system.isReady(stop.node))
        stop.readyMs = wallMs();
}

void planned_stops::advanceFor(milliseconds time)
{
    (void)waitUntil(time, [this] {
        advance();
        return false;
    });
}

bool planned_stops::finish(milliseconds timeout)
{
    return waitUntil(timeout, [this] {
        advance();
        return std::ranges::none_of(m_stops,
                                    [](const node_stop &stop) { return stop.readyMs == 0; });
    });
}

std::size_t planned_stops::killed() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_stops, &node_stop::killed));
}

} // namespace yuccascale::processes

#pragma once

#include "processes/cluster.hpp"
#include "processes/stop_judge.hpp"

#include <vector>

/// \file
/// \brief Stops nodes as an operator does: SIGTERM, SIGKILL at the end of the grace period, and a
///        start as soon as the process has ended.

namespace yuccascale::processes {

/// \brief Drives planned stops that overlap. Not thread-safe.
class planned_stops
{
public:
    planned_stops(cluster &system, milliseconds gracePeriod)
        : m_system(system)
        , m_gracePeriod(gracePeriod)
    { }

    /// \brief Sends SIGTERM to a node that isn't being stopped.
    void begin(std::size_t node);

    /// \returns whether \a node was told to stop and isn't ready again.
    [[nodiscard]] bool isStopping(std::size_t node) const;

    /// \brief Kills processes whose time is up, and starts those that have ended; call it often.
    void advance();

    /// \brief Advances for \a time.
    void advanceFor(milliseconds time);

    /// \brief Advances until all nodes are ready again.
    /// \returns false if one isn't within \a timeout
    [[nodiscard]] bool finish(milliseconds timeout);

    /// \returns all stops so far, oldest first.
    [[nodiscard]] const std::vector<node_stop> &stops() const noexcept { return m_stops; }

    /// \returns how many processes were killed at the end of their grace period.
    [[nodiscard]] std::size_t killed() const;

private:
    void awaitExit(node_stop &stop);
    void awaitReady(node_stop &stop) const;

    cluster &m_system;
    milliseconds m_gracePeriod;
    std::vector<node_stop> m_stops;
};

} // namespace yuccascale::processes

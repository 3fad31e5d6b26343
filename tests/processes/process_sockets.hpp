#pragma once

#include <sys/types.h>

#include <cstdint>
#include <set>

/// \file
/// \brief Finds the TCP connections of processes in /proc.

namespace yuccascale::processes {

/// \returns the local ports of the IPv4 connections that \a processes have to \a remotePort.
[[nodiscard]] std::set<std::uint16_t> localPortsTo(std::uint16_t remotePort,
                                                   const std::set<pid_t> &processes);

} // namespace yuccascale::processes

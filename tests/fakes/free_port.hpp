#pragma once

#include "yuccascale/wire/socket.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>

/// \file
/// \brief Finds a free loopback port.

namespace yuccascale::fakes {

/// \brief Finds ports below the range that the system gives to outgoing connections, so that the
///        port of a process that is down is not taken before it is started again. Processes start
///        at different places, and one process never gets the same port twice in a row.
/// \returns a port that was free a moment ago.
[[nodiscard]] inline std::uint16_t freePort()
{
    constexpr int lowest = 20'000;
    constexpr int count = 12'000;
    constexpr int portsOfAProcess = 97;
    static std::atomic<int> next{(static_cast<int>(::getpid()) * portsOfAProcess) % count};
    while (true) {
        const int port = lowest + next++ % count;
        const wire::socket probe(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        const auto *any = reinterpret_cast<const sockaddr *>(&address);
        if (::bind(probe.descriptor(), any, sizeof address) == 0)
            return static_cast<std::uint16_t>(port);
    }
}

} // namespace yuccascale::fakes

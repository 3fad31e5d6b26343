#pragma once

#include "yuccascale/wire/socket.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>

/// \file
/// \brief Finds a free loopback port.

namespace yuccascale::fakes {

/// \brief Finds ports below the system's ephemeral range, so that no outgoing connection takes the
///        port of a stopped process before it is restarted. The search starts at an offset
///        derived from the process id, and successive calls never return the same port.
/// \returns a port that was free when it was probed.
[[nodiscard]] inline std::uint16_t freePort()
{
    constexpr int firstPort = 20'000;
    constexpr int portCount = 12'000;
    constexpr int portStride = 97;
    static std::atomic<int> nextOffset{(static_cast<int>(::getpid()) * portStride) % portCount};
    while (true) {
        const int port = firstPort + nextOffset++ % portCount;
        const wire::socket probe(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        const auto *genericAddress = reinterpret_cast<const sockaddr *>(&address);
        if (::bind(probe.descriptor(), genericAddress, sizeof address) == 0)
            return static_cast<std::uint16_t>(port);
    }
}

} // namespace yuccascale::fakes

#pragma once

#include "yuccascale/wire/socket.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

/// \file
/// \brief Finds a free loopback port.

namespace yuccascale::fakes {

/// \returns a port that was free a moment ago.
[[nodiscard]] inline std::uint16_t freePort()
{
    const wire::socket probe(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    (void)::bind(probe.descriptor(), reinterpret_cast<const sockaddr *>(&address), size);
    ::getsockname(probe.descriptor(), reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

} // namespace yuccascale::fakes

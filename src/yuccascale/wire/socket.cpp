#include "yuccascale/wire/socket.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>

namespace yuccascale::wire {

using kernel::error_kind;
using kernel::fail;
using kernel::milliseconds;
using kernel::result;

namespace {

constexpr int listenBacklog = 512;

sockaddr_in toSockaddr(const socket_address &address) noexcept
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &out.sin_addr);
    return out;
}

std::string describe(const socket_address &address)
{
    return address.host + ":" + std::to_string(address.port);
}

timeval toTimeval(milliseconds timeout) noexcept
{
    timeval out{};
    out.tv_sec = timeout.count() / 1000;
    out.tv_usec = (timeout.count() % 1000) * 1000;
    return out;
}

bool waitFor(int descriptor, short events, milliseconds timeout) noexcept
{
    pollfd request{descriptor, events, 0};
    return ::poll(&request, 1, static_cast<int>(timeout.count())) > 0;
}

bool finishConnect(int descriptor, milliseconds timeout) noexcept
{
    if (!waitFor(descriptor, POLLOUT, timeout))
        return false;
    int errorCode = 0;
    socklen_t size = sizeof errorCode;
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &errorCode, &size);
    return errorCode == 0;
}

} // namespace

void setLinkOptions(int descriptor, milliseconds userTimeout) noexcept
{
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    const auto userTimeoutMs = static_cast<unsigned>(userTimeout.count());
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof userTimeoutMs);
    const timeval sendTimeout = toTimeval(userTimeout);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &sendTimeout, sizeof sendTimeout);
}

result<socket_address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    socket_address out;
    in_addr number{};
    if (colon != std::string_view::npos) {
        out.host = std::string(text.substr(0, colon));
        const std::string_view port = text.substr(colon + 1);
        const auto [end, errorCode]
                = std::from_chars(port.data(), port.data() + port.size(), out.port);
        const bool wholePort = errorCode == std::errc() && end == port.data() + port.size();
        if (wholePort && out.port != 0 && inet_pton(AF_INET, out.host.c_str(), &number) == 1)
            return out;
    }
    return fail(error_kind::InvalidArgument, std::string(text),
                "not an address; write an IPv4 address and a port, such as 10.0.0.7:7400");
}

socket &socket::operator=(socket &&other) noexcept
{
    if (this != &other) {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
        m_bytesRead = other.m_bytesRead.load();
    }
    return *this;
}

result<socket> socket::connect(const socket_address &address, milliseconds timeout,
                               milliseconds userTimeout)
{
    socket out(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const sockaddr_in target = toSockaddr(address);
    const int started = ::connect(out.m_descriptor, reinterpret_cast<const sockaddr *>(&target),
                                  sizeof target);
    const bool connected
            = started == 0 || (errno == EINPROGRESS && finishConnect(out.m_descriptor, timeout));
    if (!connected) {
        return fail(error_kind::Unavailable, describe(address),
                    "cannot connect; check that the node runs and the address is right");
    }
    fcntl(out.m_descriptor, F_SETFL, fcntl(out.m_descriptor, F_GETFL) & ~O_NONBLOCK);
    setLinkOptions(out.m_descriptor, userTimeout);
    return out;
}

result<socket> socket::listen(const socket_address &address)
{
    socket out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int enabled = 1;
    setsockopt(out.m_descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const sockaddr_in local = toSockaddr(address);
    if (::bind(out.m_descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0
        || ::listen(out.m_descriptor, listenBacklog) != 0) {
        return fail(error_kind::Unavailable, describe(address),
                    std::string("cannot listen (") + std::strerror(errno)
                            + "); stop what uses the port or choose another in the settings");
    }
    return out;
}

socket socket::accept(milliseconds timeout) const
{
    if (!waitFor(m_descriptor, POLLIN, timeout))
        return {};
    socket out(::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC));
    if (out.isOpen())
        setLinkOptions(out.m_descriptor, milliseconds(2'000));
    return out;
}

bool socket::writeAll(std::string_view bytes) const noexcept
{
    while (!bytes.empty()) {
        const ssize_t written = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

bool socket::readExactly(char *out, std::size_t size) const noexcept
{
    while (size > 0) {
        const ssize_t received = ::recv(m_descriptor, out, size, 0);
        if (received < 0 && errno == EINTR)
            continue;
        if (received <= 0)
            return false;
        m_bytesRead += static_cast<std::uint64_t>(received);
        out += received;
        size -= static_cast<std::size_t>(received);
    }
    return true;
}

void socket::setReadTimeout(milliseconds timeout) const noexcept
{
    const timeval value = toTimeval(timeout);
    setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

void socket::shutdown() const noexcept
{
    if (m_descriptor >= 0)
        ::shutdown(m_descriptor, SHUT_RDWR);
}

void socket::close() noexcept
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

} // namespace yuccascale::wire

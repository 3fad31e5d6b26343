#include "processes/endpoint_relay.hpp"

#include "processes/process_sockets.hpp"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <vector>

namespace yuccascale::processes {

namespace {

constexpr int pollTimeoutMs = 20;
constexpr std::size_t forwardBytes = 65'536;
constexpr kernel::milliseconds connectTimeout{1'000};
constexpr kernel::milliseconds userTimeout{60'000};

/// Closes with a TCP reset.
void reset(wire::socket &socket)
{
    const linger atOnce{1, 0};
    (void)::setsockopt(socket.descriptor(), SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
    socket.close();
}

std::uint16_t peerPort(const wire::socket &socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    (void)::getpeername(socket.descriptor(), reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/// \returns false when one of the connections has ended.
bool forward(const wire::socket &from, const wire::socket &to)
{
    std::array<char, forwardBytes> buffer{};
    const ssize_t size = ::recv(from.descriptor(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size < 0)
        return errno == EAGAIN || errno == EINTR;
    return size > 0 && to.writeAll({buffer.data(), static_cast<std::size_t>(size)});
}

} // namespace

endpoint_relay::endpoint_relay(const std::string &listenAddress, const std::string &target)
    : m_listenAddress(wire::parseAddress(listenAddress).value())
    , m_target(wire::parseAddress(target).value())
    , m_listener(wire::socket::listen(m_listenAddress).value())
    , m_thread([this] { run(); })
{ }

endpoint_relay::~endpoint_relay()
{
    m_stopped = true;
    m_thread.join();
}

void endpoint_relay::setFault(endpoint_fault fault, const std::set<pid_t> &processes)
{
    const std::scoped_lock guard(m_mutex);
    m_fault = fault;
    m_processes = processes;
    m_faultChanged = true;
}

void endpoint_relay::run()
{
    while (!m_stopped) {
        applyFault();
        forwardReady();
    }
}

void endpoint_relay::applyFault()
{
    const std::scoped_lock guard(m_mutex);
    if (!std::exchange(m_faultChanged, false))
        return;
    const std::set<std::uint16_t> ports = localPortsTo(m_listenAddress.port, m_processes);
    for (auto one = m_connections.begin(); one != m_connections.end();) {
        const bool affected = ports.contains(one->clientPort);
        one->hanging = affected && m_fault == endpoint_fault::Hang;
        if (!affected || m_fault != endpoint_fault::Reset) {
            ++one;
            continue;
        }
        reset(one->clientSocket);
        one = m_connections.erase(one);
    }
}

void endpoint_relay::accept()
{
    wire::socket clientSocket = m_listener.accept(kernel::milliseconds(0));
    if (!clientSocket.isOpen())
        return;
    const std::uint16_t port = peerPort(clientSocket);
    const std::scoped_lock guard(m_mutex);
    const bool affected = m_fault != endpoint_fault::None
            && localPortsTo(m_listenAddress.port, m_processes).contains(port);
    if (affected && m_fault != endpoint_fault::Hang)
        return reset(clientSocket);
    connect(std::move(clientSocket), port, affected);
}

void endpoint_relay::connect(wire::socket clientSocket, std::uint16_t clientPort, bool hanging)
{
    auto targetSocket = wire::socket::connect(m_target, connectTimeout, userTimeout);
    if (!targetSocket)
        return reset(clientSocket);
    connection &made = m_connections.emplace_back();
    made.clientSocket = std::move(clientSocket);
    made.targetSocket = std::move(targetSocket.value());
    made.clientPort = clientPort;
    made.hanging = hanging;
}

void endpoint_relay::forwardReady()
{
    std::vector<pollfd> entries{{m_listener.descriptor(), POLLIN, 0}};
    std::vector<std::list<connection>::iterator> polled;
    for (auto one = m_connections.begin(); one != m_connections.end(); ++one) {
        if (one->hanging)
            continue;
        polled.push_back(one);
        entries.push_back({one->clientSocket.descriptor(), POLLIN, 0});
        entries.push_back({one->targetSocket.descriptor(), POLLIN, 0});
    }
    if (::poll(entries.data(), entries.size(), pollTimeoutMs) <= 0)
        return;
    for (std::size_t index = 0; index < polled.size(); ++index) {
        const connection &one = *polled[index];
        const bool toTarget = entries[2 * index + 1].revents != 0;
        const bool toClient = entries[2 * index + 2].revents != 0;
        const bool lives = (!toClient || forward(one.targetSocket, one.clientSocket))
                && (!toTarget || forward(one.clientSocket, one.targetSocket));
        if (!lives)
            m_connections.erase(polled[index]);
    }
    if (entries.front().revents != 0)
        accept();
}

} // namespace yuccascale::processes

#include "processes/relay.hpp"

#include <sys/socket.h>

#include <array>
#include <thread>

namespace yuccascale::processes {

namespace {

constexpr kernel::milliseconds acceptWait{50};
constexpr kernel::milliseconds connectTimeout{1'000};
constexpr kernel::milliseconds userTimeout{60'000};
constexpr kernel::milliseconds heldPollInterval{2};
constexpr kernel::milliseconds firstRetransmission{200}; ///< each further one takes twice as long

/// Makes the close of \a socket a reset.
void resetOnClose(const wire::socket &socket)
{
    const linger none{1, 0};
    ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_LINGER, &none, sizeof none);
}

} // namespace

relay::relay(const std::string &listenAddress, const std::string &target)
    : m_target(wire::parseAddress(target).value())
    , m_listener(wire::socket::listen(wire::parseAddress(listenAddress).value()).value())
    , m_acceptThread([this] { acceptConnections(); })
{ }

relay::~relay()
{
    m_stopped = true;
    m_acceptThread.join();
    for (connection &one : m_connections) {
        one.acceptedSocket.shutdown();
        one.targetSocket.shutdown();
        one.toTargetThread.join();
        one.toAcceptedThread.join();
    }
}

void relay::acceptConnections()
{
    while (!m_stopped) {
        wire::socket acceptedSocket = m_listener.accept(acceptWait);
        if (!acceptedSocket.isOpen())
            continue;
        if (m_refusing) {
            resetOnClose(acceptedSocket);
            continue;
        }
        auto targetSocket = wire::socket::connect(m_target, connectTimeout, userTimeout);
        if (!targetSocket)
            continue;
        const std::scoped_lock guard(m_mutex);
        connection &made = m_connections.emplace_back();
        made.acceptedSocket = std::move(acceptedSocket);
        made.targetSocket = std::move(targetSocket.value());
        made.toTargetThread = std::thread([this, &made] {
            forward(made.acceptedSocket, made.targetSocket, {m_cut, m_toTargetHeld});
        });
        made.toAcceptedThread = std::thread([this, &made] {
            forward(made.targetSocket, made.acceptedSocket, {m_answersCut, m_toClientHeld});
        });
    }
}

void relay::resetConnections()
{
    const std::scoped_lock guard(m_mutex);
    for (connection &one : m_connections) {
        one.acceptedSocket.shutdown();
        one.targetSocket.shutdown();
    }
}

void relay::waitWhileHeld(const std::atomic<bool> &held) const
{
    kernel::milliseconds timeout = firstRetransmission;
    while (held && !m_stopped) {
        const auto next = std::chrono::steady_clock::now() + timeout;
        while (!m_stopped && std::chrono::steady_clock::now() < next)
            std::this_thread::sleep_for(heldPollInterval);
        timeout *= 2;
    }
}

void relay::forward(const wire::socket &from, const wire::socket &to, direction flags)
{
    constexpr std::size_t bufferBytes = 65'536;
    std::array<char, bufferBytes> buffer{};
    bool dropping = false;
    while (true) {
        const ssize_t size = ::recv(from.descriptor(), buffer.data(), buffer.size(), 0);
        if (size <= 0)
            break;
        std::this_thread::sleep_for(m_delay.load());
        waitWhileHeld(flags.held);
        dropping = dropping || flags.cut
                || m_cut; // after losing bytes, a connection forwards no more
        if (!dropping && !to.writeAll({buffer.data(), static_cast<std::size_t>(size)}))
            break;
    }
    to.shutdown();
    from.shutdown();
}

} // namespace yuccascale::processes

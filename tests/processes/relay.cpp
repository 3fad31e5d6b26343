#include "processes/relay.hpp"

#include <sys/socket.h>

#include <array>
#include <thread>

namespace yuccascale::processes {

namespace {

constexpr kernel::milliseconds acceptWait{50};
constexpr kernel::milliseconds connectTimeout{1'000};
constexpr kernel::milliseconds userTimeout{60'000};

} // namespace

relay::relay(const std::string &listenAddress, const std::string &target)
    : m_target(wire::parseAddress(target).value())
    , m_listener(wire::socket::listen(wire::parseAddress(listenAddress).value()).value())
    , m_accepter([this] { accept(); })
{ }

relay::~relay()
{
    m_stopped = true;
    m_accepter.join();
    for (connection &one : m_connections) {
        one.near.shutdown();
        one.far.shutdown();
        one.forth.join();
        one.back.join();
    }
}

void relay::accept()
{
    while (!m_stopped) {
        wire::socket near = m_listener.accept(acceptWait);
        if (!near.isOpen())
            continue;
        auto far = wire::socket::connect(m_target, connectTimeout, userTimeout);
        if (!far)
            continue;
        const std::scoped_lock guard(m_mutex);
        connection &made = m_connections.emplace_back();
        made.near = std::move(near);
        made.far = std::move(far.value());
        made.forth = std::thread([this, &made] { pump(made.near, made.far, m_cut); });
        made.back = std::thread([this, &made] { pump(made.far, made.near, m_answersCut); });
    }
}

void relay::reset()
{
    const std::scoped_lock guard(m_mutex);
    for (connection &one : m_connections) {
        one.near.shutdown();
        one.far.shutdown();
    }
}

void relay::pump(const wire::socket &from, const wire::socket &to, const std::atomic<bool> &cut)
{
    constexpr std::size_t bufferBytes = 65'536;
    std::array<char, bufferBytes> buffer{};
    bool swallowed = false;
    while (true) {
        const ssize_t size = ::recv(from.descriptor(), buffer.data(), buffer.size(), 0);
        if (size <= 0)
            break;
        std::this_thread::sleep_for(m_delay.load());
        swallowed = swallowed || cut || m_cut; // a stream that lost bytes never carries any again
        if (!swallowed && !to.writeAll({buffer.data(), static_cast<std::size_t>(size)}))
            break;
    }
    to.shutdown();
    from.shutdown();
}

} // namespace yuccascale::processes

#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/wire/socket.hpp"

#include <atomic>
#include <list>
#include <mutex>
#include <string>
#include <thread>

/// \file
/// \brief A TCP relay that can drop or delay bytes and reset connections, to simulate network
/// faults.

namespace yuccascale::processes {

/// \brief Forwards connections from its own port to a target. Thread-safe.
class relay
{
public:
    /// \param listenAddress and \param target have the form IP:port
    relay(const std::string &listenAddress, const std::string &target);
    ~relay();
    relay(const relay &) = delete;
    relay &operator=(const relay &) = delete;

    /// \brief While cut, connections stay open but bytes in both directions are dropped.
    void setCut(bool enabled) noexcept { m_cut = enabled; }

    /// \brief While answers are cut, only bytes from the target are dropped.
    void setAnswersCut(bool enabled) noexcept { m_answersCut = enabled; }

    /// \brief Delays the forwarding of each read by \a delay.
    void setDelay(kernel::milliseconds delay) noexcept { m_delay = delay; }

    /// \brief Closes all open connections.
    void resetConnections();

private:
    void acceptConnections();
    void forward(const wire::socket &from, const wire::socket &to, const std::atomic<bool> &cut);

    struct connection
    {
        wire::socket acceptedSocket;
        wire::socket targetSocket;
        std::thread toTargetThread;
        std::thread toAcceptedThread;
    };

    wire::socket_address m_target;
    wire::socket m_listener;
    std::list<connection> m_connections;
    std::mutex m_mutex; ///< guards m_connections
    std::atomic<bool> m_cut{false};
    std::atomic<bool> m_answersCut{false};
    std::atomic<kernel::milliseconds> m_delay{kernel::milliseconds(0)};
    std::atomic<bool> m_stopped{false};
    std::thread m_acceptThread;
};

} // namespace yuccascale::processes

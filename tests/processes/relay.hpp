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

/// \brief The directions in which a relay forwards nothing for now.
struct held_directions
{
    bool toTarget = false;
    bool toClient = false;
    bool lost = false; ///< what came meanwhile never arrives, and the connection forwards no more
};

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

    /// \brief Bytes in these directions wait, as on a network that loses all packets for a time;
    /// then until TCP would send them again, which takes up to as long as the loss did.
    void hold(held_directions directions) noexcept
    {
        m_toTargetHeld = directions.toTarget;
        m_toClientHeld = directions.toClient;
        m_heldLost = directions.lost;
    }

    /// \brief While refusing, new connections are reset as soon as they are accepted.
    void setRefusing(bool enabled) noexcept { m_refusing = enabled; }

    /// \brief Delays the forwarding of each read by \a delay.
    void setDelay(kernel::milliseconds delay) noexcept { m_delay = delay; }

    /// \brief Closes all open connections.
    void resetConnections();

private:
    void acceptConnections();
    /// \brief The flags that act on the bytes in one direction.
    struct direction
    {
        const std::atomic<bool> &cut;
        const std::atomic<bool> &held;
    };

    void forward(const wire::socket &from, const wire::socket &to, direction flags);
    void waitWhileHeld(const std::atomic<bool> &held) const;

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
    std::atomic<bool> m_toTargetHeld{false};
    std::atomic<bool> m_toClientHeld{false};
    std::atomic<bool> m_heldLost{false};
    std::atomic<bool> m_refusing{false};
    std::atomic<kernel::milliseconds> m_delay{kernel::milliseconds(0)};
    std::atomic<bool> m_stopped{false};
    std::thread m_acceptThread;
};

} // namespace yuccascale::processes

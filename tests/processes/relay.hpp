#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/wire/socket.hpp"

#include <atomic>
#include <list>
#include <mutex>
#include <string>
#include <thread>

/// \file
/// \brief A TCP relay that can swallow, delay or reset, as a bad network does.

namespace yuccascale::processes {

/// \brief Passes connections from its own port on to a target. Thread-safe.
class relay
{
public:
    /// \param listenAddress and \param target are IP:port
    relay(const std::string &listenAddress, const std::string &target);
    ~relay();
    relay(const relay &) = delete;
    relay &operator=(const relay &) = delete;

    /// \brief While cut, connections stay open and their bytes vanish.
    void setCut(bool enabled) noexcept { m_cut = enabled; }

    /// \brief While cut one way, only the bytes of the side that accepted vanish.
    void setAnswersCut(bool enabled) noexcept { m_answersCut = enabled; }

    /// \brief Each read is passed on so much later.
    void setDelay(kernel::milliseconds delay) noexcept { m_delay = delay; }

    /// \brief Ends all open connections.
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
    std::mutex m_mutex; ///< of m_connections
    std::atomic<bool> m_cut{false};
    std::atomic<bool> m_answersCut{false};
    std::atomic<kernel::milliseconds> m_delay{kernel::milliseconds(0)};
    std::atomic<bool> m_stopped{false};
    std::thread m_acceptThread;
};

} // namespace yuccascale::processes

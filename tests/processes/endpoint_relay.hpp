#pragma once

#include "yuccascale/wire/socket.hpp"

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>
#include <set>
#include <string>
#include <thread>

/// \file
/// \brief A TCP relay before an endpoint that can cut single processes off from it.

namespace yuccascale::processes {

/// \brief What happens to the connections of the processes that are cut off.
enum class endpoint_fault {
    None,
    Hang,      ///< nothing is forwarded until the fault ends, on old connections and new ones
    Reset,     ///< all connections are reset, new ones as soon as they are accepted
    RefuseNew, ///< old connections live on, new ones are reset as soon as they are accepted
};

/// \brief Forwards connections from its own port to a target on one thread. Thread-safe.
class endpoint_relay
{
public:
    /// \param listenAddress and \param target have the form IP:port
    endpoint_relay(const std::string &listenAddress, const std::string &target);
    ~endpoint_relay();
    endpoint_relay(const endpoint_relay &) = delete;
    endpoint_relay &operator=(const endpoint_relay &) = delete;

    /// \brief Replaces the fault; connections of other processes than \a processes are untouched.
    void setFault(endpoint_fault fault, const std::set<pid_t> &processes);

private:
    struct connection
    {
        wire::socket clientSocket;
        wire::socket targetSocket;
        std::uint16_t clientPort = 0;
        bool hanging = false;
    };

    void run();
    void accept();
    void connect(wire::socket clientSocket, std::uint16_t clientPort, bool hanging);
    void applyFault();
    void forwardReady();

    const wire::socket_address m_listenAddress;
    const wire::socket_address m_target;
    wire::socket m_listener;
    std::mutex m_mutex; ///< guards the next three
    endpoint_fault m_fault = endpoint_fault::None;
    std::set<pid_t> m_processes;
    bool m_faultChanged = false;
    std::list<connection> m_connections; ///< used by the thread only
    std::atomic<bool> m_stopped{false};
    std::thread m_thread;
};

} // namespace yuccascale::processes

#pragma once

#include "yuccascale/wire/socket.hpp"

#include <atomic>
#include <list>
#include <string>
#include <thread>

/// \file
/// \brief A TCP relay that can swallow every byte, as a silent network partition does.

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
    void cut(bool on) noexcept { m_cut = on; }

private:
    void accept();
    void pump(const wire::socket &from, const wire::socket &to);

    struct connection
    {
        wire::socket near;
        wire::socket far;
        std::thread forth;
        std::thread back;
    };

    wire::socket_address m_target;
    wire::socket m_listener;
    std::list<connection> m_connections;
    std::atomic<bool> m_cut{false};
    std::atomic<bool> m_stopped{false};
    std::thread m_accepter;
};

} // namespace yuccascale::processes

#pragma once

#include "yuccascale/wire/handler_threads.hpp"
#include "yuccascale/wire/link_loop.hpp"
#include "yuccascale/wire/tcp_transport.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

/// \file
/// \brief The receiving side of the transport: accepts connections and runs the channels' handlers.

namespace yuccascale::wire {

class inbound_connection;

/// \brief The loops of inbound connections; they may be the same.
struct inbound_loops
{
    link_loop &common;
    link_loop &consensus; ///< also runs the handler of channel::Consensus
};

/// \brief Accepts connections from peers and passes their messages to the handlers.
class inbound_connections
{
public:
    using handler_table = std::map<kernel::channel, kernel::transport::later_handler>;

    /// Whether replies may still be passed on.
    struct reply_gate
    {
        std::mutex mutex;
        bool open = true;
    };

    inbound_connections(const transport_settings &settings, transport_counters &counters,
                        const handler_table &handlers, inbound_loops loops, socket listener);
    ~inbound_connections();
    inbound_connections(const inbound_connections &) = delete;
    inbound_connections &operator=(const inbound_connections &) = delete;

    /// \brief Accepts no more connections and waits for the running handlers; later replies are
    ///        dropped.
    void stop();

    /// \brief Closes all connections; both loops must have stopped.
    void closeConnections();

private:
    friend class inbound_connection;

    using tcp = boost::asio::ip::tcp;

    void accept();
    void add(const std::shared_ptr<inbound_connection> &connection);
    void remove(const std::shared_ptr<inbound_connection> &connection);
    void moveToConsensusLoop(int descriptor, std::string peer, std::string unread);

    const transport_settings &m_settings;
    transport_counters &m_counters;
    const handler_table &m_handlers;
    const inbound_loops m_loops;
    tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptTimer;
    std::atomic<bool> m_stopped{false};
    const std::shared_ptr<reply_gate> m_gate = std::make_shared<reply_gate>();
    handler_threads m_threads;

    std::mutex m_mutex;
    std::set<std::shared_ptr<inbound_connection>> m_connections;
};

} // namespace yuccascale::wire

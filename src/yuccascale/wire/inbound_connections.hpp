#pragma once

#include "yuccascale/wire/framing.hpp"
#include "yuccascale/wire/tcp_transport.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// \file
/// \brief The receiving side of the transport: accepts connections and runs the channels' handlers.

namespace yuccascale::wire {

/// \brief Accepts connections from peers. Posts are handled on the connection's thread in the order
///        sent, calls on a fixed number of threads.
class inbound_connections
{
public:
    using handler_table = std::map<kernel::channel, kernel::transport::handler>;

    inbound_connections(const transport_settings &settings, transport_counters &counters,
                        const handler_table &handlers, socket listener);
    ~inbound_connections();
    inbound_connections(const inbound_connections &) = delete;
    inbound_connections &operator=(const inbound_connections &) = delete;

    void stop();

private:
    struct connection
    {
        socket stream;
        std::mutex writeMutex;
        std::string peer;
        std::thread readThread;
        std::atomic<bool> finished{false};
    };

    struct queued_call
    {
        std::shared_ptr<connection> from;
        frame request;
    };

    void acceptLoop();
    void readLoop(const std::shared_ptr<connection> &from);
    void callLoop();
    void serveCall(const queued_call &call);
    void joinFinished();

    const transport_settings &m_settings;
    transport_counters &m_counters;
    const handler_table &m_handlers;
    socket m_listener;
    std::atomic<bool> m_stopped{false};

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<queued_call> m_calls;
    std::list<std::shared_ptr<connection>> m_connections;

    std::vector<std::thread> m_callThreads;
    std::thread m_acceptThread;
};

} // namespace yuccascale::wire

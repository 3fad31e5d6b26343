#pragma once

#include "yuccascale/wire/framing.hpp"
#include "yuccascale/wire/tcp_transport.hpp"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

/// \file
/// \brief The sending side of the transport, for one peer and channel.

namespace yuccascale::wire {

/// \brief State of a call.
enum class call_state { Queued, Sent, Answered, Lost };

/// \brief A call that awaits its reply; guarded by the mutex of its link.
struct pending_call
{
    call_state state = call_state::Queued;
    std::string reply;
};

/// \brief Keeps one connection to a peer and reconnects when there is something to send.
class peer_link
{
public:
    peer_link(const transport_settings &settings, transport_counters &counters, std::string peer,
              socket_address address, kernel::channel channel);
    ~peer_link();
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    /// \brief Queues a message; drops it when the queue is full.
    void post(std::string payload);

    /// \brief Queues a call and waits for its reply (see kernel::transport::call()).
    [[nodiscard]] kernel::result<std::string> call(std::string payload,
                                                   kernel::call_timeout timeout);

    /// \returns the bytes that arrived on the present connection; 0 without one.
    [[nodiscard]] std::uint64_t bytesReceived() const;

    void stop();

private:
    struct queued_frame
    {
        std::string bytes;
        std::uint64_t correlation = 0;
    };

    void awaitReply(std::unique_lock<std::mutex> &lock, const pending_call &pending,
                    kernel::call_timeout timeout);
    void sendLoop();
    void readLoop(const std::shared_ptr<socket> &connection);
    [[nodiscard]] std::shared_ptr<socket> connectedSocket();
    void dropConnection();
    void markSentCallsLost();

    const transport_settings &m_settings;
    transport_counters &m_counters;
    std::string m_peer;
    socket_address m_address;
    kernel::channel m_channel;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<queued_frame> m_queue;
    std::map<std::uint64_t, std::shared_ptr<pending_call>> m_calls;
    std::uint64_t m_nextCorrelation = 1;
    std::shared_ptr<socket> m_connection;
    std::uint64_t m_framesReceived = 0;
    bool m_stopped = false;

    std::thread m_readThread;
    std::thread m_sendThread;
};

} // namespace yuccascale::wire

#pragma once

#include "yuccascale/wire/framing.hpp"
#include "yuccascale/wire/link_loop.hpp"
#include "yuccascale/wire/send_queue.hpp"
#include "yuccascale/wire/tcp_transport.hpp"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

/// \file
/// \brief The sending side of the transport, for one peer and channel.

namespace yuccascale::wire {

class outbound_connection;

/// \brief State of a call.
enum class call_state {
    Queued,
    Sent, ///< perhaps in part
    Answered,
    Lost,   ///< the connection broke after bytes of the call were handed to the system
    Unsent, ///< the link was stopped before that
};

/// \brief A call that awaits its reply; guarded by the mutex of its link.
struct pending_call
{
    call_state state = call_state::Queued;
    std::string reply;
    std::condition_variable changed;
};

/// \brief Keeps one connection to a peer on a loop. Connects when there is something to send, and
///        closes the connection once it has carried nothing for a while.
class peer_link final : public watched, public std::enable_shared_from_this<peer_link>
{
public:
    /// \brief Called on the loop's thread when the link has carried nothing for a while.
    using idle_callback = std::function<void()>;

    peer_link(const transport_settings &settings, transport_counters &counters, link_loop &loop,
              std::string peer, socket_address address, kernel::channel channel,
              idle_callback onIdle);
    ~peer_link() override;
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    /// \brief Begins to look for idleness.
    void start();

    /// \brief Queues an encoded frame.
    /// \returns false when the queue is full.
    [[nodiscard]] bool post(std::string bytes);

    /// \brief Queues a call and waits for its reply (see kernel::transport::call()).
    [[nodiscard]] kernel::result<std::string> call(std::string payload,
                                                   kernel::call_timeout timeout);

    /// \returns the bytes that have arrived on all connections of this link.
    [[nodiscard]] std::uint64_t bytesReceived() const noexcept { return m_bytesReceived; }

    /// \brief Tells that the link is about to be used, so that it is not idle.
    void touch();

    /// \brief Gives the link up if it has carried nothing for the idle time.
    /// \returns whether it was given up.
    [[nodiscard]] bool retire();

    /// \brief Ends all calls; later ones fail.
    void stop();

    /// \brief Closes the connection. Called on the loop's thread.
    void closeConnection();

    void deadlineReached(loop_time scheduled) override;

private:
    friend class outbound_connection;

    /// A frame of the output that is being written.
    struct written_frame
    {
        std::uint64_t correlation = 0;
        std::size_t begin = 0;
        std::size_t end = 0;
    };

    void requestFlush();
    void flush();
    void connect();
    void checkAt(loop_time when);
    void closeSilentConnection(std::uint64_t receivedBefore);
    void awaitReply(std::unique_lock<std::mutex> &lock, pending_call &pending,
                    kernel::call_timeout timeout);

    // called by the connection, on the loop's thread
    [[nodiscard]] std::string nextOutput();
    void handedOver(std::size_t bytes);
    void arrived(std::size_t bytes) noexcept { m_bytesReceived += bytes; }
    void replied(frame reply);
    void connectionClosed(bool wasOpen, std::string_view output);
    void recoverOutput(std::string_view output);

    const transport_settings &m_settings;
    transport_counters &m_counters;
    link_loop &m_loop;
    const std::string m_peer;
    const socket_address m_address;
    const kernel::channel m_channel;
    const idle_callback m_onIdle;
    std::atomic<std::uint64_t> m_bytesReceived{0};

    std::mutex m_mutex;
    send_queue m_queue;
    std::map<std::uint64_t, std::shared_ptr<pending_call>> m_calls;
    std::uint64_t m_nextCorrelation = 1;
    std::uint64_t m_framesReceived = 0;
    loop_time m_lastUse;
    bool m_flushRequested = false;
    bool m_stopped = false;
    bool m_retired = false;

    // used on the loop's thread only
    std::shared_ptr<outbound_connection> m_connection;
    std::deque<written_frame> m_writing; ///< frames of the connection's output
    std::size_t m_handedOver = 0;        ///< bytes of that output
    loop_time m_retryAt{};
    loop_time m_checkAt = loop_time::max();
};

} // namespace yuccascale::wire

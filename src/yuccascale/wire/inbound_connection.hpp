#pragma once

#include "yuccascale/wire/framed_connection.hpp"
#include "yuccascale/wire/inbound_connections.hpp"
#include "yuccascale/wire/send_queue.hpp"

#include <atomic>
#include <deque>

/// \file
/// \brief An accepted connection.

namespace yuccascale::wire {

/// \brief Checks the peer's handshake, passes its messages to the handlers and writes their
///        replies. Posts are handled one after the other.
class inbound_connection final : public framed_connection
{
public:
    inbound_connection(inbound_connections &owner, link_loop &loop, tcp::socket stream);

    /// \brief Awaits the handshake.
    void start();

    /// \returns whether the peer is not yet authenticated, and the connection is open.
    [[nodiscard]] bool isInHandshake() const noexcept
    {
        return !isClosed() && m_state != state::Open;
    }

    /// \brief Continues a connection of \a peer that another loop has authenticated.
    /// \param first a frame that was read there and not handled
    /// \param unread the bytes that were read after it
    void continueOpen(const std::string &peer, const frame &first, std::string_view unread);

private:
    enum class state { Hello, Proof, Open };

    [[nodiscard]] next_step received(std::string message) override;
    [[nodiscard]] next_step receivedProof(const std::string &message);
    [[nodiscard]] next_step receivedFrame(frame received);
    [[nodiscard]] std::string nextOutput() override;
    void closed() override;
    [[nodiscard]] loop_time closeAt() const override;

    void open(const std::string &peer);
    [[nodiscard]] bool moveToConsensusLoop(frame &first);
    void handle(const frame &received);
    [[nodiscard]] next_step queuePost(frame received);
    void schedulePosts(kernel::channel channel);
    void handlePosts();
    void queueCall(frame received);
    void handleQueuedCall(const frame &call, loop_time queuedAt);
    void reply(std::string bytes);
    [[nodiscard]] std::shared_ptr<inbound_connection> self();

    inbound_connections &m_owner;
    accepting_handshake m_handshake;
    state m_state = state::Hello;
    loop_time m_stateSince;
    std::string m_handshakeOutput;
    std::string m_peer;
    bool m_movable = false; ///< all frames were of consensus, and this is not its loop

    std::atomic<bool> m_ended{false}; ///< the connection has closed

    std::mutex m_mutex;
    send_queue m_replies;
    bool m_flushRequested = false;
    std::deque<frame> m_posts;
    std::size_t m_postBytes = 0;
    bool m_postsScheduled = false;
    bool m_postsPaused = false;
};

} // namespace yuccascale::wire

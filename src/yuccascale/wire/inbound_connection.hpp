#pragma once

#include "yuccascale/wire/framed_connection.hpp"
#include "yuccascale/wire/inbound_connections.hpp"
#include "yuccascale/wire/send_queue.hpp"

#include <deque>

/// \file
/// \brief An accepted connection.

namespace yuccascale::wire {

/// \brief Checks the peer's handshake, passes its messages to the handlers and writes their
/// replies.
///        Posts are handled one after the other.
class inbound_connection final : public framed_connection
{
public:
    inbound_connection(inbound_connections &owner, link_loop &loop, tcp::socket stream);

    /// \brief Awaits the handshake.
    void start();

    /// \brief Goes on with a connection of \a peer that another loop has authenticated.
    /// \param unread bytes that were read there
    void goOn(const std::string &peer, std::string_view unread);

private:
    enum class state { Hello, Proof, Open };

    [[nodiscard]] next_step received(std::string message) override;
    [[nodiscard]] next_step receivedProof(const std::string &message);
    [[nodiscard]] next_step receivedFrame(frame received);
    [[nodiscard]] std::string nextOutput() override;
    void closed() override;
    [[nodiscard]] loop_time closeAt() const override;

    void open(const std::string &peer);
    [[nodiscard]] bool leave();
    void handle(const frame &received);
    [[nodiscard]] next_step queuePost(frame received);
    void schedulePosts(kernel::channel channel);
    void handlePosts();
    void queueCall(frame received);
    void reply(std::string bytes);
    [[nodiscard]] std::shared_ptr<inbound_connection> self();

    inbound_connections &m_owner;
    accepting_handshake m_handshake;
    state m_state = state::Hello;
    loop_time m_stateSince;
    std::string m_handshakeOutput;
    std::string m_peer;
    bool m_movable = false; ///< no frame has arrived yet, and this is not the consensus loop

    std::mutex m_mutex;
    send_queue m_replies;
    bool m_flushRequested = false;
    std::deque<frame> m_posts;
    std::size_t m_postBytes = 0;
    bool m_postsScheduled = false;
    bool m_postsPaused = false;
};

} // namespace yuccascale::wire

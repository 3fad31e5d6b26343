#pragma once

#include "yuccascale/wire/framed_connection.hpp"
#include "yuccascale/wire/peer_link.hpp"

/// \file
/// \brief The connection of a link to its peer.

namespace yuccascale::wire {

/// \brief Connects, proves the cluster secret and then carries the frames of its link. All calls
/// are
///        made on the loop's thread.
class outbound_connection final : public framed_connection
{
public:
    explicit outbound_connection(const std::shared_ptr<peer_link> &link);

    /// \brief Begins to connect.
    void connect();

    [[nodiscard]] bool isOpen() const noexcept { return m_state == state::Open && !isClosed(); }
    [[nodiscard]] loop_time openedAt() const noexcept { return m_openedAt; }

private:
    enum class state { Connecting, Handshake, Open };

    void connected();
    [[nodiscard]] next_step received(std::string message) override;
    [[nodiscard]] next_step receivedAnswer(const std::string &message);
    [[nodiscard]] std::string nextOutput() override;
    void handedOver(std::size_t bytes) override;
    void arrived(std::size_t bytes) override;
    void closed() override;
    [[nodiscard]] loop_time closeAt() const override;

    const std::weak_ptr<peer_link> m_link;
    const socket_address m_address;
    const connecting_handshake m_handshake;
    state m_state = state::Connecting;
    std::string m_handshakeOutput;
    bool m_writesHandshake = false; ///< the output is of the handshake
    loop_time m_stateUntil;         ///< before the connection is open
    loop_time m_openedAt{};
};

} // namespace yuccascale::wire

#pragma once

#include "yuccascale/kernel/transport.hpp"
#include "yuccascale/wire/socket.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// \file
/// \brief The transport between nodes over TCP.

namespace yuccascale::wire {

class peer_link;
class inbound_connections;

/// \brief Settings of a transport.
struct transport_settings
{
    std::string self; ///< name of this node among the others, usually its link address
    socket_address listen;
    /// Addresses of nodes that are not reached at the address that is their name.
    std::map<std::string, socket_address, std::less<>> peers;
    std::string secret; ///< cluster secret; empty: any peer that connects is accepted
    std::size_t maxQueuedFrames = 4'096; ///< per peer and channel; later posts are dropped
    std::size_t callThreads = 16;        ///< threads that handle calls
    kernel::milliseconds connectTimeout{500};
    kernel::milliseconds userTimeout{2'000}; ///< limit for unacknowledged bytes
};

/// \brief Bytes and frames that a transport has carried since its construction.
struct transport_counters
{
    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> bytesReceived{0};
    std::atomic<std::uint64_t> framesSent{0};
    std::atomic<std::uint64_t> framesReceived{0};
    std::atomic<std::uint64_t> framesDropped{0};
    std::atomic<std::uint64_t> peersRefused{0};
};

/// \brief Connects nodes with one connection for each peer and channel, so that no channel blocks
///        another. A peer is named by the address at which it listens.
class tcp_transport final : public kernel::transport
{
public:
    explicit tcp_transport(transport_settings settings);
    ~tcp_transport() override;
    tcp_transport(const tcp_transport &) = delete;
    tcp_transport &operator=(const tcp_transport &) = delete;

    /// \brief Starts listening; all handle() calls must precede it.
    /// \returns error_kind::Unavailable when the address is in use.
    [[nodiscard]] kernel::result<void> start();

    /// \brief Closes all connections and joins all threads.
    void stop();

    [[nodiscard]] const transport_counters &counters() const noexcept { return m_counters; }

    void handle(kernel::channel channel, handler handler) override;
    void post(std::string_view node, kernel::channel channel, std::string payload) override;
    [[nodiscard]] kernel::result<std::string> call(std::string_view node, kernel::channel channel,
                                                   std::string payload,
                                                   kernel::call_timeout timeout) override;
    [[nodiscard]] std::uint64_t bytesReceived(std::string_view node,
                                              kernel::channel channel) const override;

private:
    [[nodiscard]] std::optional<socket_address> addressOf(std::string_view node) const;
    [[nodiscard]] std::shared_ptr<peer_link> linkTo(std::string_view node, kernel::channel channel);

    transport_settings m_settings;
    transport_counters m_counters;
    std::map<kernel::channel, handler> m_handlers;
    std::unique_ptr<inbound_connections> m_inbound;
    mutable std::mutex m_linksMutex;
    std::map<std::pair<std::string, kernel::channel>, std::shared_ptr<peer_link>> m_links;
    bool m_stopped = false;
};

} // namespace yuccascale::wire

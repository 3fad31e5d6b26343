#pragma once

#include "yuccascale/kernel/transport.hpp"
#include "yuccascale/wire/socket.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief The transport between nodes over TCP.

namespace yuccascale::wire {

class link_loop;
class peer_link;
class inbound_connections;

/// \brief Posts that were dropped since the previous report.
struct drop_report
{
    std::string peer; ///< of the last one
    kernel::channel channel{};
    std::uint64_t frames = 0;
};

/// \brief Settings of a transport.
struct transport_settings
{
    std::string self; ///< name of this node among the others, usually its link address
    socket_address listen;
    /// Addresses of nodes that are not reached at the address that is their name.
    std::map<std::string, socket_address, std::less<>> peers;
    std::string secret; ///< cluster secret; empty: any peer that connects is accepted
    std::size_t maxQueuedFrames = 4'096;                ///< per peer and channel; later posts
                                                        ///< are dropped
    std::size_t maxQueuedBytes = std::size_t{8} << 20U; ///< likewise
    std::size_t handlerThreads = 2;                     ///< for channels other than consensus
    kernel::milliseconds connectTimeout{500};
    kernel::milliseconds userTimeout{2'000};  ///< limit for unacknowledged bytes and for a write
                                              ///< without progress
    kernel::milliseconds idleTimeout{60'000}; ///< after which a link that carries nothing is closed
    /// Called at most once in a few seconds, on any thread. Must not block. May be null.
    std::function<void(const drop_report &report)> onFramesDropped = nullptr;
};

/// \brief Bytes and frames that a transport has carried since its construction.
struct transport_counters
{
    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> bytesReceived{0};
    std::atomic<std::uint64_t> framesSent{0};
    std::atomic<std::uint64_t> framesReceived{0};
    std::atomic<std::uint64_t> framesDropped{0}; ///< since a queue was full
    std::atomic<std::uint64_t> framesLost{0};    ///< since a peer was not reached or a link broke
    std::atomic<std::uint64_t> peersRefused{0};
    std::atomic<std::uint64_t> linksOpen{0}; ///< connections now, in both directions
};

/// \brief Connects nodes with one connection for each peer and channel, so that no channel blocks
///        another. A peer is named by the address at which it listens.
///
/// All connections run on one event loop, and those of channel::Consensus on a second one, which
/// also runs that channel's handler. The handlers of other channels run on a few threads.
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
    void handleLater(kernel::channel channel, later_handler handler) override;
    void post(std::string_view node, kernel::channel channel, std::string payload) override;
    [[nodiscard]] kernel::result<std::string> call(std::string_view node, kernel::channel channel,
                                                   std::string payload,
                                                   kernel::call_timeout timeout) override;
    [[nodiscard]] std::uint64_t bytesReceived(std::string_view node,
                                              kernel::channel channel) const override;

private:
    using link_key = std::pair<std::string, kernel::channel>;

    [[nodiscard]] std::optional<socket_address> addressOf(std::string_view node) const;
    [[nodiscard]] std::shared_ptr<peer_link> linkTo(std::string_view node, kernel::channel channel);
    [[nodiscard]] link_loop &loopOf(kernel::channel channel) const;
    void retireLink(const link_key &key);
    void countDrop(std::string_view peer, kernel::channel channel);

    transport_settings m_settings;
    transport_counters m_counters;
    std::map<kernel::channel, later_handler> m_handlers;
    std::unique_ptr<link_loop> m_loop;
    std::unique_ptr<link_loop> m_consensusLoop; ///< null on nodes that do not handle consensus
    std::unique_ptr<inbound_connections> m_inbound;
    mutable std::mutex m_linksMutex;
    std::map<link_key, std::shared_ptr<peer_link>> m_links;
    bool m_stopped = false;

    std::mutex m_dropsMutex;
    std::uint64_t m_dropsReported = 0;
    kernel::instant m_nextDropReport{};
};

} // namespace yuccascale::wire

#include "yuccascale/wire/tcp_transport.hpp"

#include "yuccascale/wire/inbound_connections.hpp"
#include "yuccascale/wire/link_loop.hpp"
#include "yuccascale/wire/peer_link.hpp"

#include <utility>

namespace yuccascale::wire {

using kernel::error_kind;
using kernel::fail;
using kernel::result;

namespace {

constexpr kernel::seconds dropReportInterval{5};

} // namespace

tcp_transport::tcp_transport(transport_settings settings)
    : m_settings(std::move(settings))
    , m_loop(std::make_unique<link_loop>())
{ }

tcp_transport::~tcp_transport()
{
    stop();
}

result<void> tcp_transport::start()
{
    BOOST_LEAF_AUTO(listener, socket::listen(m_settings.listen));
    m_inbound = std::make_unique<inbound_connections>(
            m_settings, m_counters, m_handlers,
            inbound_loops{*m_loop, m_consensusLoop ? *m_consensusLoop : *m_loop},
            std::move(listener));
    m_loop->start();
    if (m_consensusLoop)
        m_consensusLoop->start();
    return {};
}

void tcp_transport::stop()
{
    std::map<link_key, std::shared_ptr<peer_link>> links;
    {
        const std::lock_guard lock(m_linksMutex);
        m_stopped = true;
        links.swap(m_links);
    }
    for (const auto &[key, link] : links)
        link->stop();
    if (m_inbound)
        m_inbound->stop();
    m_loop->stop();
    if (m_consensusLoop)
        m_consensusLoop->stop();
    for (const auto &[key, link] : links)
        link->closeConnection();
    if (m_inbound)
        m_inbound->closeConnections();
}

void tcp_transport::handle(kernel::channel channel, handler handler)
{
    handleLater(channel,
                [answering = std::move(handler)](std::string_view peer, std::string_view payload,
                                                 const reply_function &reply) {
                    reply(answering(peer, payload));
                });
}

void tcp_transport::handleLater(kernel::channel channel, later_handler handler)
{
    m_handlers[channel] = std::move(handler);
    if (channel == kernel::channel::Consensus && !m_consensusLoop)
        m_consensusLoop = std::make_unique<link_loop>();
}

void tcp_transport::post(std::string_view node, kernel::channel channel, std::string payload)
{
    const std::shared_ptr<peer_link> link = linkTo(node, channel);
    if (link && !link->post(encodeFrame({channel, 0, false, std::move(payload)})))
        countDrop(node, channel);
}

void tcp_transport::countDrop(std::string_view peer, kernel::channel channel)
{
    const std::uint64_t dropped = ++m_counters.framesDropped;
    drop_report report{std::string(peer), channel, 0};
    {
        const std::lock_guard lock(m_dropsMutex);
        const kernel::instant now(std::chrono::steady_clock::now().time_since_epoch());
        if (now < m_nextDropReport || dropped <= m_dropsReported)
            return;
        m_nextDropReport = now + dropReportInterval;
        report.frames = dropped - std::exchange(m_dropsReported, dropped);
    }
    if (m_settings.onFramesDropped)
        m_settings.onFramesDropped(report);
}

result<std::string> tcp_transport::call(std::string_view node, kernel::channel channel,
                                        std::string payload, kernel::call_timeout timeout)
{
    const std::shared_ptr<peer_link> link = linkTo(node, channel);
    if (!link) {
        return fail(error_kind::Unavailable, std::string(node),
                    "the node name is not an address; write IP:port");
    }
    return link->call(std::move(payload), timeout);
}

std::uint64_t tcp_transport::bytesReceived(std::string_view node, kernel::channel channel) const
{
    const std::lock_guard lock(m_linksMutex);
    const auto found = m_links.find({std::string(node), channel});
    return found == m_links.end() ? 0 : found->second->bytesReceived();
}

std::optional<socket_address> tcp_transport::addressOf(std::string_view node) const
{
    const auto configured = m_settings.peers.find(node);
    if (configured != m_settings.peers.end())
        return configured->second;
    std::optional<socket_address> out;
    kernel::error parseError;
    const bool parsed = kernel::succeeded(
            [&]() -> result<void> {
                BOOST_LEAF_ASSIGN(out, parseAddress(node));
                return {};
            },
            parseError);
    return parsed ? out : std::nullopt;
}

link_loop &tcp_transport::loopOf(kernel::channel channel) const
{
    const bool own = channel == kernel::channel::Consensus && m_consensusLoop;
    return own ? *m_consensusLoop : *m_loop;
}

std::shared_ptr<peer_link> tcp_transport::linkTo(std::string_view node, kernel::channel channel)
{
    const std::lock_guard lock(m_linksMutex);
    if (m_stopped)
        return nullptr;
    link_key key{std::string(node), channel};
    const auto existing = m_links.find(key);
    if (existing != m_links.end()) {
        existing->second->touch();
        return existing->second;
    }
    const std::optional<socket_address> address = addressOf(node);
    if (!address)
        return nullptr;
    auto link = std::make_shared<peer_link>(m_settings, m_counters, loopOf(channel),
                                            std::string(node), *address, channel,
                                            [this, key] { retireLink(key); });
    link->start();
    m_links[std::move(key)] = link;
    return link;
}

/// Called on the link's loop.
void tcp_transport::retireLink(const link_key &key)
{
    std::shared_ptr<peer_link> link;
    {
        const std::lock_guard lock(m_linksMutex);
        const auto found = m_links.find(key);
        if (found == m_links.end() || !found->second->retire())
            return;
        link = found->second;
        m_links.erase(found);
    }
    link->closeConnection();
}

} // namespace yuccascale::wire

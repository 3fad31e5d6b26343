#include "yuccascale/wire/tcp_transport.hpp"

#include "yuccascale/wire/inbound_connections.hpp"
#include "yuccascale/wire/peer_link.hpp"

#include <utility>

namespace yuccascale::wire {

using kernel::error_kind;
using kernel::fail;
using kernel::result;

tcp_transport::tcp_transport(transport_settings settings)
    : m_settings(std::move(settings))
{ }

tcp_transport::~tcp_transport()
{
    stop();
}

result<void> tcp_transport::start()
{
    BOOST_LEAF_AUTO(listener, socket::listen(m_settings.listen));
    m_inbound = std::make_unique<inbound_connections>(m_settings, m_counters, m_handlers,
                                                      std::move(listener));
    return {};
}

void tcp_transport::stop()
{
    std::map<std::pair<std::string, kernel::channel>, std::shared_ptr<peer_link>> links;
    {
        const std::lock_guard lock(m_linksMutex);
        m_stopped = true;
        links.swap(m_links);
    }
    for (const auto &[key, link] : links)
        link->stop();
    if (m_inbound)
        m_inbound->stop();
}

void tcp_transport::handle(kernel::channel channel, handler handler)
{
    m_handlers[channel] = std::move(handler);
}

void tcp_transport::post(std::string_view node, kernel::channel channel, std::string payload)
{
    if (const std::shared_ptr<peer_link> link = linkTo(node, channel))
        link->post(std::move(payload));
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

std::shared_ptr<peer_link> tcp_transport::linkTo(std::string_view node, kernel::channel channel)
{
    const std::lock_guard lock(m_linksMutex);
    if (m_stopped)
        return nullptr;
    const auto existing = m_links.find({std::string(node), channel});
    if (existing != m_links.end())
        return existing->second;
    const std::optional<socket_address> address = addressOf(node);
    if (!address)
        return nullptr;
    auto link = std::make_shared<peer_link>(m_settings, m_counters, std::string(node), *address,
                                            channel);
    m_links[{std::string(node), channel}] = link;
    return link;
}

} // namespace yuccascale::wire

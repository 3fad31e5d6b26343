#include "yuccascale/wire/outbound_connection.hpp"

#include <utility>

namespace yuccascale::wire {

namespace {

constexpr kernel::milliseconds handshakeTimeout{1'000};

} // namespace

outbound_connection::outbound_connection(const std::shared_ptr<peer_link> &link)
    : framed_connection(link->m_settings, link->m_counters, link->m_loop,
                        tcp::socket(link->m_loop.context()))
    , m_link(link)
    , m_address(link->m_address)
    , m_handshake(link->m_settings.self, link->m_peer, link->m_settings.secret)
    , m_stateUntil(std::chrono::steady_clock::now() + link->m_settings.connectTimeout)
{ }

void outbound_connection::connect()
{
    boost::system::error_code problem;
    const auto host = boost::asio::ip::make_address_v4(m_address.host, problem);
    if (!problem)
        stream().open(tcp::v4(), problem);
    if (problem)
        return close();
    updateDeadline();
    stream().async_connect(tcp::endpoint(host, m_address.port),
                           [self = std::static_pointer_cast<outbound_connection>(
                                    shared_from_this())](boost::system::error_code refused) {
                               if (self->isClosed())
                                   return;
                               if (refused)
                                   return self->close();
                               self->connected();
                           });
}

void outbound_connection::connected()
{
    m_state = state::Handshake;
    m_stateUntil = std::chrono::steady_clock::now() + handshakeTimeout;
    m_handshakeOutput = m_handshake.hello();
    begin();
    flush();
}

framed_connection::next_step outbound_connection::received(std::string message)
{
    if (m_state == state::Handshake)
        return receivedAnswer(message);
    std::optional<frame> reply = decodeFrame(message);
    if (!reply)
        return next_step::Close;
    m_counters.bytesReceived += reply->payload.size();
    ++m_counters.framesReceived;
    if (const std::shared_ptr<peer_link> link = m_link.lock())
        link->replied(std::move(*reply));
    return next_step::Read;
}

framed_connection::next_step outbound_connection::receivedAnswer(const std::string &message)
{
    std::optional<std::string> proof = m_handshake.prove(message);
    if (!proof)
        return next_step::Close;
    m_handshakeOutput = std::move(*proof);
    m_state = state::Open;
    m_openedAt = std::chrono::steady_clock::now();
    reader().setLimit(maxFrameBytes);
    ++m_counters.linksOpen;
    flush();
    return next_step::Read;
}

std::string outbound_connection::nextOutput()
{
    m_writesHandshake = !m_handshakeOutput.empty();
    if (m_writesHandshake)
        return std::exchange(m_handshakeOutput, {});
    const std::shared_ptr<peer_link> link = m_link.lock();
    return link && m_state == state::Open ? link->nextOutput() : std::string();
}

void outbound_connection::handedOver(std::size_t bytes)
{
    const std::shared_ptr<peer_link> link = m_link.lock();
    if (link && !m_writesHandshake)
        link->handedOver(bytes);
}

void outbound_connection::arrived(std::size_t bytes)
{
    if (const std::shared_ptr<peer_link> link = m_link.lock())
        link->arrived(bytes);
}

void outbound_connection::closed()
{
    if (m_state == state::Open)
        --m_counters.linksOpen;
    if (const std::shared_ptr<peer_link> link = m_link.lock())
        link->connectionClosed(m_state == state::Open,
                               m_writesHandshake ? std::string_view() : output());
}

loop_time outbound_connection::closeAt() const
{
    return m_state == state::Open ? loop_time::max() : m_stateUntil;
}

} // namespace yuccascale::wire

#include "yuccascale/wire/inbound_connections.hpp"

#include "yuccascale/wire/inbound_connection.hpp"

#include <utility>

namespace yuccascale::wire {

namespace {

/// After a failed accept, usually for lack of descriptors.
constexpr kernel::milliseconds acceptRetryDelay{100};

} // namespace

inbound_connections::inbound_connections(const transport_settings &settings,
                                         transport_counters &counters,
                                         const handler_table &handlers, inbound_loops loops,
                                         socket listener)
    : m_settings(settings)
    , m_counters(counters)
    , m_handlers(handlers)
    , m_loops(loops)
    , m_acceptor(loops.common.context(), tcp::v4(), listener.release())
    , m_acceptTimer(loops.common.context())
    , m_threads(settings.handlerThreads)
{
    m_loops.common.post([this] { accept(); });
}

inbound_connections::~inbound_connections() = default;

void inbound_connections::stop()
{
    m_stopped = true;
    {
        const std::lock_guard lock(m_gate->mutex);
        m_gate->open = false;
    }
    m_threads.stop();
}

void inbound_connections::closeConnections()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    std::set<std::shared_ptr<inbound_connection>> connections;
    {
        const std::lock_guard lock(m_mutex);
        connections.swap(m_connections);
    }
    for (const auto &connection : connections)
        connection->close();
}

void inbound_connections::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code problem, tcp::socket stream) {
        if (m_stopped || problem == boost::asio::error::operation_aborted)
            return;
        if (!problem) {
            const auto accepted = std::make_shared<inbound_connection>(*this, m_loops.common,
                                                                       std::move(stream));
            add(accepted);
            accepted->start();
            return accept();
        }
        m_acceptTimer.expires_after(acceptRetryDelay);
        m_acceptTimer.async_wait([this](boost::system::error_code ended) {
            if (!ended)
                accept();
        });
    });
}

void inbound_connections::add(const std::shared_ptr<inbound_connection> &connection)
{
    const std::lock_guard lock(m_mutex);
    m_connections.insert(connection);
}

void inbound_connections::remove(const std::shared_ptr<inbound_connection> &connection)
{
    const std::lock_guard lock(m_mutex);
    m_connections.erase(connection);
}

void inbound_connections::moveToConsensusLoop(int descriptor, std::string peer, std::string unread)
{
    tcp::socket stream(m_loops.consensus.context(), tcp::v4(), descriptor);
    const auto moved
            = std::make_shared<inbound_connection>(*this, m_loops.consensus, std::move(stream));
    add(moved);
    m_loops.consensus.post([moved, peer = std::move(peer), unread = std::move(unread)] {
        moved->goOn(peer, unread);
    });
}

} // namespace yuccascale::wire

#include "yuccascale/wire/inbound_connections.hpp"

#include "yuccascale/wire/inbound_connection.hpp"

#include <unistd.h>

#include <exception>
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
            serve(std::move(stream));
            return accept();
        }
        m_acceptTimer.expires_after(acceptRetryDelay);
        m_acceptTimer.async_wait([this](boost::system::error_code ended) {
            if (!ended)
                accept();
        });
    });
}

/// An exception closes this connection; others are still accepted.
void inbound_connections::serve(tcp::socket stream)
{
    try {
        const auto accepted
                = std::make_shared<inbound_connection>(*this, m_loops.common, std::move(stream));
        add(accepted);
        limitHandshakes();
        m_handshakes.push_back(accepted);
        accepted->start();
    } catch (const std::exception &problem) {
        m_loops.common.report(problem);
    }
}

/// Makes room for one more connection, so that peers that never prove the secret cannot use up the
/// descriptors.
void inbound_connections::limitHandshakes()
{
    if (m_handshakes.size() < m_settings.maxHandshakes)
        return;
    std::erase_if(m_handshakes, [](const std::weak_ptr<inbound_connection> &candidate) {
        const std::shared_ptr<inbound_connection> connection = candidate.lock();
        return !connection || !connection->isInHandshake();
    });
    if (m_handshakes.size() < m_settings.maxHandshakes)
        return;
    if (const std::shared_ptr<inbound_connection> oldest = m_handshakes.front().lock())
        oldest->close();
    m_handshakes.pop_front();
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

void inbound_connections::moveToConsensusLoop(int descriptor, std::string peer, frame first,
                                              std::string unread)
{
    tcp::socket stream(m_loops.consensus.context());
    boost::system::error_code problem;
    if (stream.assign(tcp::v4(), descriptor, problem)) {
        ::close(descriptor);
        return;
    }
    const auto moved
            = std::make_shared<inbound_connection>(*this, m_loops.consensus, std::move(stream));
    add(moved);
    m_loops.consensus.post(
            [moved, peer = std::move(peer), first = std::move(first), unread = std::move(unread)] {
                moved->continueOpen(peer, first, unread);
            });
}

} // namespace yuccascale::wire

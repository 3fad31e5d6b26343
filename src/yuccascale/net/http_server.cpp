#include "yuccascale/net/http_server.hpp"

#include "yuccascale/net/http_connection.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace yuccascale::net {

namespace {

/// The system lowers it to its own limit. While the queue is full, connection attempts are dropped
/// and retried only after seconds.
constexpr int listenBacklog = 4'096;
/// Connections that are accepted before other work of the loop gets its turn.
constexpr int mostAcceptedAtATime = 64;
/// Delay after a failed accept, as when no file descriptor is free.
constexpr kernel::milliseconds acceptRetryDelay{100};

} // namespace

/// \brief One listening address.
struct http_server::listener
{
    listener(io_context &loop, std::string localAddress)
        : acceptor(loop)
        , retryTimer(loop)
        , address(std::move(localAddress))
    { }

    tcp::acceptor acceptor;
    boost::asio::steady_timer retryTimer;
    std::string address;
};

http_server::http_server(event_loops &loops, const http_limits &limits, http_handler handler,
                         std::shared_ptr<memory_budget> memory)
    : m_loops(loops)
    , m_shared(std::make_shared<shared_state>(
              std::move(handler), memory ? std::move(memory) : memory_budget::unlimited()))
{
    setLimits(limits);
    for (std::size_t index = 0; index < loops.size(); ++index)
        m_shared->loopConnections.push_back(std::make_shared<loop_connections>(loops.at(index)));
}

http_server::~http_server()
{
    stop();
}

kernel::result<int> http_server::listen(const std::string &address)
{
    auto created = std::make_shared<listener>(m_loops.at(0), address);
    error_code problem;
    const std::size_t colon = std::min(address.rfind(':'), address.size());
    const auto ip = boost::asio::ip::make_address_v4(address.substr(0, colon), problem);
    std::uint16_t port = 0;
    std::from_chars(address.data() + std::min(colon + 1, address.size()),
                    address.data() + address.size(), port);
    const tcp::endpoint localAddress(ip, port);
    if (!problem)
        created->acceptor.open(localAddress.protocol(), problem);
    if (!problem)
        created->acceptor.set_option(tcp::acceptor::reuse_address(true), problem);
    if (!problem)
        created->acceptor.bind(localAddress, problem);
    if (!problem)
        created->acceptor.listen(listenBacklog, problem);
    if (!problem)
        created->acceptor.non_blocking(true, problem);
    if (problem) {
        return kernel::fail(kernel::error_kind::Unavailable, address,
                            "cannot listen on this address (" + problem.message()
                                    + "); free the port or change the settings");
    }
    port = created->acceptor.local_endpoint().port();
    m_listeners.push_back(created);
    boost::asio::post(m_loops.at(0), [this, created] { accept(created); });
    return port;
}

/// On a busy loop this runs once in a turn, so it takes all connections that wait.
void http_server::accept(const listener_pointer &source)
{
    if (m_shared->stopped)
        return;
    source->acceptor.async_wait(
            tcp::acceptor::wait_read, [this, source, shared = m_shared](error_code problem) {
                if (shared->stopped || problem == boost::asio::error::operation_aborted)
                    return;
                if (problem || !acceptWaiting(source))
                    return acceptLater(source);
                accept(source);
            });
}

/// \returns false when a connection could not be accepted.
bool http_server::acceptWaiting(const listener_pointer &source)
{
    for (int count = 0; count < mostAcceptedAtATime; ++count) {
        const std::size_t index = m_shared->openConnections % m_loops.size();
        const std::shared_ptr<loop_connections> owner = m_shared->loopConnections[index];
        tcp::socket socket(owner->loop);
        error_code problem;
        source->acceptor.accept(socket, problem);
        if (problem == boost::asio::error::would_block)
            return true;
        if (problem == boost::asio::error::connection_aborted)
            continue;
        if (problem)
            return false;
        auto created
                = std::make_shared<connection>(m_shared, owner, std::move(socket), source->address);
        boost::asio::post(owner->loop, [created] { created->start(); });
    }
    return true;
}

void http_server::acceptLater(const listener_pointer &source)
{
    source->retryTimer.expires_after(acceptRetryDelay);
    source->retryTimer.async_wait([this, source, shared = m_shared](error_code ended) {
        if (!ended && !shared->stopped)
            accept(source);
    });
}

void http_server::setLimits(const http_limits &limits)
{
    const std::scoped_lock guard(m_shared->mutex);
    m_shared->currentLimits = std::make_shared<const http_limits>(limits);
}

void http_server::closeAfterAnswers() noexcept
{
    m_shared->closing = true;
}

void http_server::closeListeners()
{
    closeAfterAnswers();
    for (const std::shared_ptr<listener> &accepting : m_listeners) {
        boost::asio::post(m_loops.at(0), [accepting] {
            error_code ignored;
            accepting->acceptor.close(ignored);
            accepting->retryTimer.cancel();
        });
    }
    for (const std::shared_ptr<loop_connections> &owner : m_shared->loopConnections)
        boost::asio::post(owner->loop, [owner] { owner->closeIdle(); });
}

std::size_t http_server::answering() const noexcept
{
    return m_shared->answering;
}

void http_server::stop()
{
    if (m_shared->stopped.exchange(true))
        return;
    closeListeners();
    for (const std::shared_ptr<loop_connections> &owner : m_shared->loopConnections)
        boost::asio::post(owner->loop, [owner] { owner->closeAll(); });
}

std::size_t http_server::connections() const noexcept
{
    return m_shared->openConnections;
}

} // namespace yuccascale::net

#include "yuccascale/net/http_server.hpp"

#include "yuccascale/net/http_connection.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace yuccascale::net {

namespace {

/// The system cuts it to its own bound; a full queue drops opening packets for seconds.
constexpr int listenQueue = 4'096;
/// Pause after a failed accept, such as one without a free descriptor.
constexpr kernel::milliseconds acceptPause{100};

} // namespace

/// \brief One listening address.
struct http_server::listener
{
    listener(io_context &loop, std::string where)
        : acceptor(loop)
        , pause(loop)
        , address(std::move(where))
    { }

    tcp::acceptor acceptor;
    boost::asio::steady_timer pause;
    std::string address;
};

http_server::http_server(event_loops &loops, const http_limits &limits, http_handler handler)
    : m_loops(loops)
    , m_shared(std::make_shared<shared_state>(std::move(handler)))
{
    setLimits(limits);
    for (std::size_t index = 0; index < loops.size(); ++index)
        m_shared->shards.push_back(std::make_shared<shard>(loops.at(index)));
}

http_server::~http_server()
{
    stop();
}

kernel::result<int> http_server::listen(const std::string &address)
{
    auto made = std::make_shared<listener>(m_loops.at(0), address);
    error_code problem;
    const std::size_t colon = std::min(address.rfind(':'), address.size());
    const auto ip = boost::asio::ip::make_address_v4(address.substr(0, colon), problem);
    std::uint16_t port = 0;
    std::from_chars(address.data() + std::min(colon + 1, address.size()),
                    address.data() + address.size(), port);
    const tcp::endpoint where(ip, port);
    if (!problem)
        made->acceptor.open(where.protocol(), problem);
    if (!problem)
        made->acceptor.set_option(tcp::acceptor::reuse_address(true), problem);
    if (!problem)
        made->acceptor.bind(where, problem);
    if (!problem)
        made->acceptor.listen(listenQueue, problem);
    if (problem) {
        return kernel::fail(kernel::error_kind::Unavailable, address,
                            "cannot listen there (" + problem.message()
                                    + "); free the port or change the settings");
    }
    port = made->acceptor.local_endpoint().port();
    m_listeners.push_back(made);
    boost::asio::post(m_loops.at(0), [this, made] { accept(made); });
    return port;
}

void http_server::accept(const std::shared_ptr<listener> &from)
{
    if (m_shared->stopped)
        return;
    const std::size_t at = m_shared->shards.size() == 1 ? 0 : m_shared->open % m_loops.size();
    const std::shared_ptr<shard> home = m_shared->shards[at];
    from->acceptor.async_accept(
            home->loop,
            [this, from, home, shared = m_shared](error_code problem, tcp::socket socket) {
                if (shared->stopped || problem == boost::asio::error::operation_aborted)
                    return;
                if (problem) {
                    from->pause.expires_after(acceptPause);
                    from->pause.async_wait([this, from, shared](error_code ended) {
                        if (!ended && !shared->stopped)
                            accept(from);
                    });
                    return;
                }
                auto made = std::make_shared<connection>(shared, home, std::move(socket),
                                                         from->address);
                boost::asio::post(home->loop, [made] { made->start(); });
                accept(from);
            });
}

void http_server::setLimits(const http_limits &limits)
{
    const std::scoped_lock guard(m_shared->mutex);
    m_shared->current = std::make_shared<const http_limits>(limits);
}

void http_server::closeAfterAnswers() noexcept
{
    m_shared->closing = true;
}

void http_server::stop()
{
    if (m_shared->stopped.exchange(true))
        return;
    for (const std::shared_ptr<listener> &one : m_listeners) {
        boost::asio::post(m_loops.at(0), [one] {
            error_code ignored;
            one->acceptor.close(ignored);
            one->pause.cancel();
        });
    }
    for (const std::shared_ptr<shard> &one : m_shared->shards)
        boost::asio::post(one->loop, [one] { one->closeAll(); });
}

std::size_t http_server::connections() const noexcept
{
    return m_shared->open;
}

} // namespace yuccascale::net

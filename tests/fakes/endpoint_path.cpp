#include "fakes/endpoint_path.hpp"

#include "fakes/free_port.hpp"
#include "yuccascale/wire/socket.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <future>
#include <set>
#include <vector>

namespace yuccascale::fakes {

namespace {

using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

/// Within it TCP gives up on a connection whose bytes are not acknowledged.
constexpr std::chrono::milliseconds unacknowledgedTimeout{1'500};
constexpr int openBacklog = 128;
constexpr std::size_t bufferBytes = 16U << 10U;
/// A queue of length 0 holds one connection; the second is not answered.
constexpr int backlogFillers = 2;

void resetSocket(tcp::socket &socket)
{
    error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct endpoint_path::forwarder : std::enable_shared_from_this<forwarder>
{
    struct link : std::enable_shared_from_this<link>
    {
        link(forwarder &owner, tcp::socket accepted)
            : m_owner(owner)
            , m_caller(std::move(accepted))
            , m_endpoint(owner.loop)
        { }

        void begin(const tcp::endpoint &target)
        {
            m_endpoint.async_connect(target, [self = shared_from_this()](error_code problem) {
                if (problem)
                    return self->end();
                self->forward(self->m_caller, self->m_endpoint, self->m_toEndpoint);
                self->forward(self->m_endpoint, self->m_caller, self->m_toCaller);
            });
        }

        void forward(tcp::socket &from, tcp::socket &to, std::array<char, bufferBytes> &buffer)
        {
            from.async_read_some(boost::asio::buffer(buffer),
                                 [self = shared_from_this(), &from, &to,
                                  &buffer](error_code problem, std::size_t size) {
                                     if (problem)
                                         return self->end();
                                     if (self->m_owner.state == path_state::Silent)
                                         return;
                                     self->pass(from, to, buffer, size);
                                 });
        }

        void pass(tcp::socket &from, tcp::socket &to, std::array<char, bufferBytes> &buffer,
                  std::size_t size)
        {
            boost::asio::async_write(to, boost::asio::buffer(buffer, size),
                                     [self = shared_from_this(), &from, &to,
                                      &buffer](error_code problem, std::size_t) {
                                         if (problem)
                                             return self->end();
                                         self->forward(from, to, buffer);
                                     });
        }

        /// While the path is silent, neither side learns that the other has closed.
        void end()
        {
            if (m_owner.state == path_state::Silent)
                return;
            error_code ignored;
            m_caller.close(ignored);
            m_endpoint.close(ignored);
            m_owner.links.erase(shared_from_this());
        }

        void reset()
        {
            resetSocket(m_caller);
            resetSocket(m_endpoint);
        }

    private:
        forwarder &m_owner;
        tcp::socket m_caller;
        tcp::socket m_endpoint;
        std::array<char, bufferBytes> m_toEndpoint{};
        std::array<char, bufferBytes> m_toCaller{};
    };

    forwarder(net::io_context &context, tcp::endpoint endpointAddress)
        : loop(context)
        , target(std::move(endpointAddress))
        , acceptor(context)
        , silence(context)
    { }

    void listen()
    {
        acceptor.open(tcp::v4());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(own);
        acceptor.listen(openBacklog);
        accept();
    }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](error_code problem, tcp::socket socket) {
            if (problem)
                return;
            ++self->accepted;
            const auto made = std::make_shared<link>(*self, std::move(socket));
            self->links.insert(made);
            made->begin(self->target);
            self->accept();
        });
    }

    void enter(path_state next)
    {
        leaveSilence();
        error_code ignored;
        acceptor.cancel(ignored);
        state = next;
        if (next == path_state::Refusing || next == path_state::Reset)
            acceptor.close(ignored);
        if (next == path_state::Reset)
            resetLinks();
        if (next == path_state::Silent)
            fillBacklog();
        if (next != path_state::Open)
            return;
        if (!acceptor.is_open())
            return listen();
        (void)::listen(acceptor.native_handle(), openBacklog);
        accept();
    }

    void fillBacklog()
    {
        (void)::listen(acceptor.native_handle(), 0);
        for (int index = 0; index < backlogFillers; ++index) {
            tcp::socket &filler = fillers.emplace_back(loop);
            filler.async_connect(own, [](error_code) {});
        }
        silence.expires_after(unacknowledgedTimeout);
        silence.async_wait([self = shared_from_this()](error_code problem) {
            if (!problem)
                self->resetLinks();
        });
    }

    void leaveSilence()
    {
        if (state != path_state::Silent)
            return;
        silence.cancel();
        resetLinks();
        fillers.clear();
    }

    void resetLinks()
    {
        for (const std::shared_ptr<link> &open : links)
            open->reset();
        links.clear();
    }

    void stop()
    {
        leaveSilence();
        error_code ignored;
        acceptor.close(ignored);
        resetLinks();
    }

    net::io_context &loop;
    tcp::endpoint target;
    tcp::endpoint own;
    tcp::acceptor acceptor;
    boost::asio::steady_timer silence;
    path_state state = path_state::Open;
    std::atomic<int> accepted{0};
    std::set<std::shared_ptr<link>> links;
    std::vector<tcp::socket> fillers;
};

namespace {

void runOn(net::io_context &loop, const std::function<void()> &action)
{
    std::promise<void> done;
    boost::asio::post(loop, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

[[nodiscard]] tcp::endpoint loopback(std::uint16_t port)
{
    return {boost::asio::ip::address_v4::loopback(), port};
}

} // namespace

endpoint_path::endpoint_path(net::io_context &loop, const std::string &target)
    : m_forwarder(
            std::make_shared<forwarder>(loop, loopback(wire::parseAddress(target).value().port)))
{
    m_forwarder->own = loopback(freePort());
    m_address = "127.0.0.1:" + std::to_string(m_forwarder->own.port());
    runOn(loop, [this] { m_forwarder->listen(); });
}

endpoint_path::~endpoint_path()
{
    runOn(m_forwarder->loop, [this] { m_forwarder->stop(); });
}

int endpoint_path::connections() const
{
    return m_forwarder->accepted;
}

void endpoint_path::set(path_state state)
{
    runOn(m_forwarder->loop, [this, state] { m_forwarder->enter(state); });
}

} // namespace yuccascale::fakes

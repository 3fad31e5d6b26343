#include "fakes/keep_alive_connection.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>

namespace yuccascale::fakes {

namespace {

namespace http = boost::beast::http;
using std::chrono::steady_clock;

constexpr kernel::milliseconds connectTimeout{1'000};
constexpr kernel::milliseconds userTimeout{60'000};
constexpr std::size_t receiveBytes = 16'384;

} // namespace

std::string_view connectionEndName(connection_end end) noexcept
{
    static constexpr std::array<std::string_view, 4> names{"open", "closed", "reset", "timed out"};
    return names.at(static_cast<std::size_t>(end));
}

keep_alive_connection keep_alive_connection::open(const std::string &address)
{
    auto socket = wire::socket::connect(wire::parseAddress(address).value(), connectTimeout,
                                        userTimeout);
    return socket ? keep_alive_connection(std::move(socket.value())) : keep_alive_connection();
}

bool keep_alive_connection::hasUnreadBytesOrEnd() const
{
    pollfd entry{m_socket.descriptor(), POLLIN, 0};
    return !m_unparsed.empty() || ::poll(&entry, 1, 0) > 0;
}

connection_end keep_alive_connection::receive(kernel::milliseconds timeout)
{
    pollfd entry{m_socket.descriptor(), POLLIN, 0};
    if (::poll(&entry, 1, static_cast<int>(timeout.count())) <= 0)
        return connection_end::TimedOut;
    std::array<char, receiveBytes> buffer{};
    const ssize_t size = ::recv(m_socket.descriptor(), buffer.data(), buffer.size(), 0);
    if (size < 0)
        return connection_end::Reset;
    if (size == 0)
        return connection_end::Closed;
    m_unparsed.append(buffer.data(), static_cast<std::size_t>(size));
    return connection_end::Open;
}

connection_answer keep_alive_connection::read(kernel::milliseconds timeout)
{
    const auto until = steady_clock::now() + timeout;
    connection_answer answer;
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    while (true) {
        boost::system::error_code problem;
        if (!m_unparsed.empty())
            m_unparsed.erase(0, parser.put(boost::asio::buffer(m_unparsed), problem));
        if (parser.is_done() || (problem && problem != http::error::need_more))
            break;
        const auto left = std::chrono::ceil<kernel::milliseconds>(until - steady_clock::now());
        answer.end = receive(std::max(left, kernel::milliseconds(0)));
        if (answer.end != connection_end::Open)
            break;
    }
    if (parser.is_header_done()) {
        answer.status = static_cast<int>(parser.get().result_int());
        answer.keepsOpen = parser.keep_alive();
    }
    answer.complete = parser.is_done();
    answer.body = std::move(parser.get().body());
    return answer;
}

void keep_alive_connection::close() noexcept
{
    m_socket.close();
    m_unparsed.clear();
}

} // namespace yuccascale::fakes

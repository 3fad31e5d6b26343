#pragma once

#include "yuccascale/net/http_client.hpp"
#include "yuccascale/net/piece_body.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// \brief One connection of http_client; included by its sources only.

namespace yuccascale::net {

/// \brief What a client shares with its connections.
struct http_client::state
{
    state(io_context &context, client_limits clientLimits)
        : loop(context)
        , limits(clientLimits)
        , timer(context)
    { }

    void addIdle(const std::shared_ptr<connection> &idleConnection);
    /// \returns an idle connection that has not carried the request; null when there is none.
    [[nodiscard]] std::shared_ptr<connection> takeIdle(const outgoing_request &request);
    void removeIdle(const connection &ended);
    void scheduleSweep(const std::shared_ptr<state> &self);

    io_context &loop;
    client_limits limits;
    std::map<std::string, std::vector<std::shared_ptr<connection>>, std::less<>> idle;
    std::size_t idleCount = 0;
    std::uint64_t opened = 0;
    boost::asio::steady_timer timer;
    bool sweeping = false;
    bool stopped = false;
};

/// \brief One connection to a server; carries one call at a time.
class http_client::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(std::shared_ptr<state> owner, std::string address)
        : m_owner(std::move(owner))
        , m_address(std::move(address))
        , m_socket(m_owner->loop)
        , m_timer(m_owner->loop)
    { }

    [[nodiscard]] const std::string &address() const noexcept { return m_address; }
    [[nodiscard]] bool idleExpired(std::chrono::steady_clock::time_point now) const noexcept
    {
        return now >= m_idleUntil;
    }

    void connect(std::function<void(bool)> done);
    /// \param request its body is moved out
    void sendRequest(outgoing_request &request, std::shared_ptr<answer_receiver> receiver);
    [[nodiscard]] bool isReusable();
    [[nodiscard]] bool hasCarried(std::string_view requestId) const;
    void becomeIdle();
    void close();
    /// Closes with a TCP reset, so that the system sends nothing that it still holds.
    void abort();

private:
    using response_parser = boost::beast::http::response_parser<piece_body>;

    void read();
    void onReadable(boost::system::error_code problem);
    void parse();
    [[nodiscard]] bool reportHead();
    [[nodiscard]] bool reportBody();
    [[nodiscard]] bool onMessageEnd();
    void onInputEnd(boost::system::error_code problem);
    void finishCall(call_end outcome);
    void resetParser();
    void remember(const outgoing_request &request);

    /// A request that may be sent once more, on another connection.
    struct carried_request
    {
        std::size_t idHash = 0;
        std::chrono::steady_clock::time_point until;
    };

    std::shared_ptr<state> m_owner;
    std::string m_address;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::function<void(bool)> m_onConnected;
    std::shared_ptr<answer_receiver> m_receiver;
    boost::beast::flat_buffer m_buffer;
    std::optional<response_parser> m_parser;
    std::string m_head;             ///< of the request that is being sent
    std::string m_body;             ///< of the request that is being sent
    std::size_t m_messageBytes = 0; ///< of the current message
    std::size_t m_skippedBytes = 0; ///< of earlier messages that do not answer the request
    bool m_isHeadRequest = false;
    bool m_headReported = false;
    bool m_skippingMessage = false;
    bool m_reading = false;
    bool m_writing = false;
    bool m_writeFailed = false; ///< the request could not be written to its end
    bool m_closed = false;
    std::chrono::steady_clock::time_point m_idleUntil;
    std::vector<carried_request> m_carried;
    std::size_t m_calls = 0; ///< carried so far
};

} // namespace yuccascale::net

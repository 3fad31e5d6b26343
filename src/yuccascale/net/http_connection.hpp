#pragma once

#include "yuccascale/net/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <optional>
#include <set>

/// \file
/// \brief The connections of the HTTP server; included by its sources only.

namespace yuccascale::net {

using tcp = boost::asio::ip::tcp;
using boost::system::error_code;
using steady_instant = std::chrono::steady_clock::time_point;

/// \brief State that all connections of a server share.
struct http_server::shared_state
{
    shared_state(http_handler serve, std::shared_ptr<memory_budget> sharedMemory)
        : handler(std::move(serve))
        , memory(std::move(sharedMemory))
    { }

    [[nodiscard]] std::shared_ptr<const http_limits> limits() const
    {
        const std::scoped_lock guard(mutex);
        return currentLimits;
    }

    const http_handler handler;
    const std::shared_ptr<memory_budget> memory;
    mutable std::mutex mutex;
    std::shared_ptr<const http_limits> currentLimits;
    std::vector<std::shared_ptr<loop_connections>> loopConnections; ///< by the index of their loop
    std::atomic<bool> closing{false};
    std::atomic<bool> stopped{false};
    std::atomic<std::size_t> openConnections{0};
    /// Of all servers, since they share the process's descriptors.
    static inline std::atomic<std::size_t> openInProcess{0};
    std::atomic<std::size_t> answering{0}; ///< connections that owe an answer or a part of one
};

/// \brief The connections of one loop, and the timer that closes those past their deadline.
struct http_server::loop_connections : std::enable_shared_from_this<loop_connections>
{
    explicit loop_connections(io_context &context)
        : loop(context)
        , timer(context)
    { }

    void add(const std::shared_ptr<connection> &opened);
    void remove(const std::shared_ptr<connection> &closed);
    void sweep();
    void closeAll();
    void closeIdle();

    io_context &loop;
    boost::asio::steady_timer timer;
    bool sweeping = false;
    std::set<std::shared_ptr<connection>> connections;
};

/// \brief One connection of a caller. Runs on its loop only.
class http_server::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(std::shared_ptr<shared_state> shared, std::shared_ptr<loop_connections> owner,
               tcp::socket socket, std::string listener);

    void start();

    /// \brief Closes the connection when one of its deadlines has passed.
    void checkDeadlines(steady_instant now);

    /// \brief Closes when no byte of a next request was received.
    void closeIfIdle();

    /// \brief Closes at once; does not run the action set by onCallerDisconnected().
    void close();

    // for the exchange in progress, which its number identifies
    [[nodiscard]] bool isAnswering(std::uint64_t exchangeNumber) const noexcept;
    void reply(http_reply answer);
    void begin(int status, const header_list &headers);
    void send(std::string_view bytes);
    void finish();
    void abort();
    void onCallerDisconnected(std::function<void()> action);
    void holdAnswer(std::size_t bytes);
    void checkCaller();

    [[nodiscard]] io_context &loop() noexcept { return m_owner->loop; }
    [[nodiscard]] const std::string &listener() const noexcept { return m_listener; }

private:
    enum class phase {
        Idle,      ///< between two requests
        Reading,   ///< a part of a request was received
        Answering, ///< the handler has the request
        Ending,    ///< the last bytes are being sent; received bytes are discarded
        Closed,
    };
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    void onReadable(error_code problem);
    [[nodiscard]] std::string_view receive(error_code &problem);
    void append(std::string_view bytes);
    void parse(std::string_view arrived);
    [[nodiscard]] std::size_t put(boost::asio::const_buffer bytes, error_code &problem);
    void checkUnparsed();
    void awaitRequest();
    [[nodiscard]] bool checkHeader();
    void dispatch();
    [[nodiscard]] kernel::nanoseconds sinceLastArrival();
    void refuse(int status, std::string_view kind, std::string_view message);
    void refuse(int status, std::string_view kind, std::string_view message,
                std::string_view requestId);
    void onAnswerEnd();
    void write(std::string bytes);
    void flush();
    void writeSome();
    void onWritten(error_code problem, std::size_t count);
    void shrinkBuffer();
    [[nodiscard]] std::size_t heldBytes() const;
    [[nodiscard]] bool charge();
    [[nodiscard]] bool exceedsConnections(bool withRefusals) const;
    void shed();
    void shutdownAfterWrite();
    void handleCallerLeft();
    void setDeadline(kernel::milliseconds timeout);
    [[nodiscard]] bool closesAfterAnswer() noexcept;
    void setPhase(phase next);
    void countAnswering();

    std::shared_ptr<shared_state> m_shared;
    std::shared_ptr<loop_connections> m_owner;
    tcp::socket m_socket;
    std::string m_listener;
    std::shared_ptr<const http_limits> m_limits;
    phase m_phase = phase::Idle;
    bool m_countedAsAnswering = false;
    boost::beast::flat_buffer m_buffer;
    std::uint64_t m_receivedBytes = 0;
    std::uint64_t m_parsedBytes = 0;
    std::optional<std::uint64_t> m_closeAfterBytes; ///< of a planned close
    std::optional<request_parser> m_parser;
    bool m_headerChecked = false;
    std::size_t m_headBytes = 0; ///< held by the parsed head
    bool m_reading = false;
    bool m_keepAlive = true;
    std::uint64_t m_exchangeNumber = 0; ///< of the latest request
    bool m_chunked = false;
    bool m_headOnly = false; ///< the latest request was a HEAD, whose answer has no body
    std::function<void()> m_onCallerDisconnected;
    std::string m_unsent;          ///< queued behind the write in progress
    std::string m_sending;         ///< buffer of the write in progress
    std::size_t m_sentBytes = 0;   ///< of m_sending
    std::size_t m_answerBytes = 0; ///< held for this connection until they can be sent
    std::shared_ptr<memory_account> m_account;
    bool m_writing = false;
    steady_instant m_deadline = steady_instant::max();
    steady_instant m_writeDeadline = steady_instant::max();
};

/// \brief One request and its answer, as the handler sees them.
class http_server::exchange final : public http_exchange
{
public:
    /// \param account ends \a runningBytes when the request has ended
    exchange(std::shared_ptr<connection> servedConnection, std::uint64_t exchangeNumber,
             http_request request, kernel::nanoseconds unreadTime,
             std::shared_ptr<memory_account> account, std::size_t runningBytes);
    ~exchange() override { m_account->ended(m_runningBytes); }
    exchange(const exchange &) = delete;
    exchange &operator=(const exchange &) = delete;

    [[nodiscard]] http_request &request() noexcept override { return m_request; }
    [[nodiscard]] io_context &loop() noexcept override { return m_connection->loop(); }
    [[nodiscard]] const std::string &listener() const noexcept override
    {
        return m_connection->listener();
    }
    [[nodiscard]] kernel::nanoseconds unreadTime() const noexcept override { return m_unreadTime; }
    void reply(http_reply answer) override;
    void begin(int status, const header_list &headers) override;
    void send(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    void onCallerDisconnected(std::function<void()> action) override;
    [[nodiscard]] bool holdRequest(std::size_t bytes) override;
    void holdAnswer(std::size_t bytes) override;
    void checkCaller() override;

private:
    [[nodiscard]] bool isCurrent() const noexcept
    {
        return m_connection->isAnswering(m_exchangeNumber);
    }

    std::shared_ptr<connection> m_connection;
    std::uint64_t m_exchangeNumber;
    http_request m_request;
    kernel::nanoseconds m_unreadTime;
    std::shared_ptr<memory_account> m_account;
    std::size_t m_runningBytes;
};

} // namespace yuccascale::net

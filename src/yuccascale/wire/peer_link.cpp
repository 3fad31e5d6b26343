#include "yuccascale/wire/peer_link.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::wire {

using kernel::error_kind;
using kernel::fail;
using kernel::result;

namespace {

constexpr kernel::milliseconds handshakeTimeout{1'000};
constexpr kernel::milliseconds reconnectInterval{50};

} // namespace

peer_link::peer_link(const transport_settings &settings, transport_counters &counters,
                     std::string peer, socket_address address, kernel::channel channel)
    : m_settings(settings)
    , m_counters(counters)
    , m_peer(std::move(peer))
    , m_address(std::move(address))
    , m_channel(channel)
    , m_sendThread([this] { sendLoop(); })
{ }

peer_link::~peer_link()
{
    stop();
}

void peer_link::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        if (m_connection)
            m_connection->shutdown();
    }
    m_changed.notify_all();
    if (m_sendThread.joinable())
        m_sendThread.join();
    if (m_readThread.joinable())
        m_readThread.join();
}

std::uint64_t peer_link::bytesReceived() const
{
    const std::lock_guard lock(m_mutex);
    return m_connection ? m_connection->bytesRead() : 0;
}

void peer_link::post(std::string payload)
{
    const std::lock_guard lock(m_mutex);
    if (m_queue.size() >= m_settings.maxQueuedFrames) {
        ++m_counters.framesDropped;
        return;
    }
    m_queue.push_back({encodeFrame({m_channel, 0, false, std::move(payload)}), 0});
    m_changed.notify_all();
}

result<std::string> peer_link::call(std::string payload, kernel::call_timeout timeout)
{
    std::unique_lock lock(m_mutex);
    if (m_stopped || m_queue.size() >= m_settings.maxQueuedFrames)
        return fail(error_kind::Unavailable, m_peer,
                    "the link is stopped or its queue of "
                            + std::to_string(m_settings.maxQueuedFrames)
                            + " messages is full; retry later");
    const std::uint64_t correlation = m_nextCorrelation++;
    const std::uint64_t receivedBefore = m_framesReceived;
    const auto pending = std::make_shared<pending_call>();
    m_calls[correlation] = pending;
    m_queue.push_back(
            {encodeFrame({m_channel, correlation, false, std::move(payload)}), correlation});
    m_changed.notify_all();
    awaitReply(lock, *pending, timeout);
    m_calls.erase(correlation);
    if (pending->state == call_state::Answered)
        return std::move(pending->reply);
    // a connection on which nothing arrived during the call may be dead
    if (m_framesReceived == receivedBefore)
        dropConnection();
    if (pending->state == call_state::Queued) {
        std::erase_if(m_queue, [&](const auto &frame) { return frame.correlation == correlation; });
        return fail(error_kind::Unavailable, m_peer,
                    "the peer could not be reached before the timeout; try another node");
    }
    return fail(error_kind::OutcomeUnknown, m_peer,
                "no reply before the timeout; send it again with the same operation id");
}

/// Requires m_mutex to be held by \a lock. A long reply may take the whole time as long as some of
/// it arrives in each silent time.
void peer_link::awaitReply(std::unique_lock<std::mutex> &lock, const pending_call &pending,
                           kernel::call_timeout timeout)
{
    const auto bytesRead
            = [&] { return m_connection ? m_connection->bytesRead() : std::uint64_t{0}; };
    const auto deadline = std::chrono::steady_clock::now() + timeout.total;
    while (true) {
        const std::uint64_t bytesBefore = bytesRead();
        const auto left = deadline - std::chrono::steady_clock::now();
        const bool ended = m_changed.wait_for(
                lock, std::min<kernel::nanoseconds>(left, timeout.silent), [&] {
                    return pending.state == call_state::Answered
                            || pending.state == call_state::Lost;
                });
        const bool expired = std::chrono::steady_clock::now() >= deadline;
        if (ended || expired || bytesRead() == bytesBefore)
            return;
    }
}

void peer_link::sendLoop()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopped) {
        m_changed.wait(lock, [&] { return m_stopped || !m_queue.empty(); });
        if (m_stopped)
            return;
        lock.unlock();
        const std::shared_ptr<socket> connection = connectedSocket();
        lock.lock();
        if (!connection) {
            m_changed.wait_for(lock, reconnectInterval, [&] { return m_stopped; });
            // posts are dropped while the peer is unreachable: they would be outdated by its return
            std::erase_if(m_queue, [](const auto &frame) { return frame.correlation == 0; });
            continue;
        }
        if (m_queue.empty())
            continue;
        const queued_frame frame = std::move(m_queue.front());
        m_queue.pop_front();
        const auto call = m_calls.find(frame.correlation);
        if (call != m_calls.end())
            call->second->state = call_state::Sent;
        lock.unlock();
        const bool sent = connection->writeAll(frame.bytes);
        lock.lock();
        if (!sent) {
            dropConnection();
            continue;
        }
        m_counters.bytesSent += frame.bytes.size();
        ++m_counters.framesSent;
    }
}

std::shared_ptr<socket> peer_link::connectedSocket()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_connection)
            return m_connection;
    }
    if (m_readThread.joinable())
        m_readThread.join();
    std::shared_ptr<socket> newConnection;
    kernel::error ignored;
    const bool opened = kernel::succeeded(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(connection,
                                socket::connect(m_address, m_settings.connectTimeout,
                                                m_settings.userTimeout));
                connection.setReadTimeout(handshakeTimeout);
                if (!openHandshake(connection, m_settings.self, m_peer, m_settings.secret))
                    return fail(
                            error_kind::Unauthorized, m_peer,
                            "handshake failed; check the cluster secret and the peer's address");
                connection.setReadTimeout(kernel::milliseconds(0));
                newConnection = std::make_shared<socket>(std::move(connection));
                return {};
            },
            ignored);
    if (!opened)
        return nullptr;
    const std::lock_guard lock(m_mutex);
    if (m_stopped)
        return nullptr;
    m_connection = newConnection;
    m_readThread = std::thread([this, newConnection] { readLoop(newConnection); });
    return newConnection;
}

void peer_link::readLoop(const std::shared_ptr<socket> &connection)
{
    while (std::optional<frame> received = readFrame(*connection)) {
        const std::lock_guard lock(m_mutex);
        m_counters.bytesReceived += received->payload.size();
        ++m_counters.framesReceived;
        ++m_framesReceived;
        const auto call = m_calls.find(received->correlation);
        if (!received->reply || call == m_calls.end())
            continue;
        call->second->reply = std::move(received->payload);
        call->second->state = call_state::Answered;
        m_changed.notify_all();
    }
    const std::lock_guard lock(m_mutex);
    if (m_connection == connection)
        dropConnection();
}

/// Requires m_mutex to be held.
void peer_link::dropConnection()
{
    if (m_connection)
        m_connection->shutdown();
    m_connection.reset();
    markSentCallsLost();
}

/// Requires m_mutex to be held. A call that was written may have run, so its outcome is unknown.
void peer_link::markSentCallsLost()
{
    for (auto &[correlation, call] : m_calls) {
        if (call->state == call_state::Sent)
            call->state = call_state::Lost;
    }
    m_changed.notify_all();
}

} // namespace yuccascale::wire

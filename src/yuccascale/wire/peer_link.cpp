#include "yuccascale/wire/peer_link.hpp"

#include "yuccascale/wire/outbound_connection.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::wire {

using kernel::error_kind;
using kernel::fail;
using kernel::result;
using std::chrono::steady_clock;

namespace {

constexpr kernel::milliseconds reconnectInterval{50};
/// Frames are joined into one write up to this size; a longer frame is written alone.
constexpr std::size_t maxJoinedBytes = std::size_t{64} << 10U;

} // namespace

peer_link::peer_link(const transport_settings &settings, transport_counters &counters,
                     link_loop &loop, std::string peer, socket_address address,
                     kernel::channel channel, idle_callback onIdle)
    : m_settings(settings)
    , m_counters(counters)
    , m_loop(loop)
    , m_peer(std::move(peer))
    , m_address(std::move(address))
    , m_channel(channel)
    , m_onIdle(std::move(onIdle))
    , m_queue(settings.maxQueuedFrames, settings.maxQueuedBytes)
    , m_lastUse(steady_clock::now())
{ }

peer_link::~peer_link() = default;

void peer_link::start()
{
    m_loop.post([self = shared_from_this()] {
        self->checkAt(steady_clock::now() + self->m_settings.idleTimeout);
    });
}

void peer_link::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    for (auto &[correlation, call] : m_calls) {
        if (call->state == call_state::Queued)
            call->state = call_state::Unsent;
        else if (call->state == call_state::Sent)
            call->state = call_state::Lost;
        call->changed.notify_all();
    }
}

void peer_link::closeConnection()
{
    if (const std::shared_ptr<outbound_connection> connection = m_connection)
        connection->close();
}

bool peer_link::post(std::string bytes)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopped || m_retired || !m_queue.hasRoomFor(bytes.size()))
        return false;
    m_queue.add({std::move(bytes), 0});
    requestFlush();
    return true;
}

result<std::string> peer_link::call(std::string payload, kernel::call_timeout timeout)
{
    std::unique_lock lock(m_mutex);
    const std::uint64_t correlation = m_nextCorrelation++;
    lock.unlock();
    std::string bytes = encodeFrame({m_channel, correlation, false, std::move(payload)});
    lock.lock();
    if (m_stopped || m_retired || !m_queue.hasRoomFor(bytes.size())) {
        return fail(error_kind::Unavailable, m_peer,
                    "the link is stopped or its queue of "
                            + std::to_string(m_settings.maxQueuedFrames) + " messages or "
                            + std::to_string(m_settings.maxQueuedBytes)
                            + " bytes is full; retry later");
    }
    const std::uint64_t receivedBefore = m_framesReceived;
    const auto pending = std::make_shared<pending_call>();
    m_calls[correlation] = pending;
    m_queue.add({std::move(bytes), correlation});
    requestFlush();
    awaitReply(lock, *pending, timeout);
    m_calls.erase(correlation);
    m_lastUse = steady_clock::now();
    if (pending->state == call_state::Answered)
        return std::move(pending->reply);
    // a connection on which nothing arrived during the call may be dead
    if (m_framesReceived == receivedBefore && !m_stopped)
        m_loop.post([self = shared_from_this(), receivedBefore] {
            self->closeSilentConnection(receivedBefore);
        });
    if (pending->state == call_state::Queued || pending->state == call_state::Unsent) {
        m_queue.erase(correlation);
        return fail(error_kind::Unavailable, m_peer,
                    "the peer could not be reached before the timeout; try another node");
    }
    return fail(error_kind::OutcomeUnknown, m_peer,
                "no reply before the timeout; send it again with the same operation id");
}

/// Requires m_mutex to be held by \a lock. A long reply may take the whole time as long as some of
/// it arrives in each silent time.
void peer_link::awaitReply(std::unique_lock<std::mutex> &lock, pending_call &pending,
                           kernel::call_timeout timeout)
{
    const auto deadline = steady_clock::now() + timeout.total;
    while (true) {
        const std::uint64_t bytesBefore = bytesReceived();
        const auto left = deadline - steady_clock::now();
        const bool ended = pending.changed.wait_for(
                lock, std::min<kernel::nanoseconds>(left, timeout.silent), [&] {
                    return pending.state != call_state::Queued && pending.state != call_state::Sent;
                });
        const bool expired = steady_clock::now() >= deadline;
        if (ended || expired || bytesReceived() == bytesBefore)
            return;
    }
}

void peer_link::touch()
{
    const std::lock_guard lock(m_mutex);
    m_lastUse = steady_clock::now();
}

bool peer_link::retire()
{
    const std::lock_guard lock(m_mutex);
    const bool used = !m_queue.empty() || !m_calls.empty()
            || steady_clock::now() < m_lastUse + m_settings.idleTimeout;
    m_retired = !used;
    return m_retired;
}

/// Requires m_mutex to be held. One request is enough for all frames that are queued until the loop
/// gets to it.
void peer_link::requestFlush()
{
    m_lastUse = steady_clock::now();
    if (std::exchange(m_flushRequested, true))
        return;
    m_loop.post([self = shared_from_this()] { self->flush(); });
}

void peer_link::flush()
{
    {
        const std::lock_guard lock(m_mutex);
        m_flushRequested = false;
        if (m_stopped || m_queue.empty())
            return;
    }
    if (m_connection && m_connection->isOpen())
        return m_connection->flush();
    if (m_connection)
        return;
    if (steady_clock::now() < m_retryAt)
        return checkAt(m_retryAt);
    connect();
}

void peer_link::connect()
{
    m_connection = std::make_shared<outbound_connection>(shared_from_this());
    const std::shared_ptr<outbound_connection> connection = m_connection;
    connection->connect();
}

void peer_link::checkAt(loop_time when)
{
    if (when < m_checkAt)
        m_checkAt = m_loop.watch(weak_from_this(), when);
}

void peer_link::deadlineReached(loop_time scheduled)
{
    if (scheduled != m_checkAt)
        return;
    m_checkAt = loop_time::max();
    loop_time idleAt{};
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped || m_retired)
            return;
        const bool used = !m_calls.empty() || !m_queue.empty();
        idleAt = (used ? steady_clock::now() : m_lastUse) + m_settings.idleTimeout;
    }
    if (idleAt <= steady_clock::now())
        m_onIdle();
    flush();
    checkAt(std::max(idleAt, steady_clock::now() + reconnectInterval));
}

void peer_link::closeSilentConnection(std::uint64_t receivedBefore)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_framesReceived != receivedBefore)
            return;
    }
    if (m_connection && m_connection->isOpen())
        closeConnection();
}

std::string peer_link::nextOutput()
{
    std::string output;
    const std::lock_guard lock(m_mutex);
    m_counters.framesSent += m_writing.size();
    m_writing.clear();
    m_handedOver = 0;
    if (m_stopped)
        return output;
    while (!m_queue.empty()
           && (output.empty() || output.size() + m_queue.front().bytes.size() <= maxJoinedBytes)) {
        queued_frame frame = m_queue.takeFront();
        const auto call = m_calls.find(frame.correlation);
        if (call != m_calls.end())
            call->second->state = call_state::Sent;
        m_writing.push_back({frame.correlation, output.size(), output.size() + frame.bytes.size()});
        if (output.empty())
            output = std::move(frame.bytes);
        else
            output += frame.bytes;
    }
    return output;
}

void peer_link::handedOver(std::size_t bytes)
{
    m_handedOver += bytes;
}

void peer_link::replied(frame reply)
{
    const std::lock_guard lock(m_mutex);
    ++m_framesReceived;
    const auto call = m_calls.find(reply.correlation);
    if (!reply.reply || call == m_calls.end())
        return;
    call->second->reply = std::move(reply.payload);
    call->second->state = call_state::Answered;
    call->second->changed.notify_all();
}

/// Calls of which no byte was handed to the system wait for the next connection. Those that were
/// written may have run, so their outcome is unknown.
void peer_link::connectionClosed(bool wasOpen, std::string_view output)
{
    const loop_time now = steady_clock::now();
    const loop_time openedAt = m_connection->openedAt();
    m_connection.reset();
    m_retryAt = wasOpen ? openedAt + reconnectInterval : now + reconnectInterval;
    bool waiting = false;
    {
        const std::lock_guard lock(m_mutex);
        recoverOutput(output);
        for (auto &[correlation, call] : m_calls) {
            if (call->state != call_state::Sent)
                continue;
            call->state = call_state::Lost;
            call->changed.notify_all();
        }
        // posts would be outdated by the return of a peer that cannot be reached
        if (!wasOpen)
            m_counters.framesLost += m_queue.erasePosts();
        waiting = !m_queue.empty() && !m_stopped;
    }
    if (waiting)
        checkAt(std::max(m_retryAt, now));
}

/// Requires m_mutex to be held.
void peer_link::recoverOutput(std::string_view output)
{
    while (!m_writing.empty()) {
        const written_frame frame = m_writing.back();
        m_writing.pop_back();
        if (frame.end <= m_handedOver) {
            ++m_counters.framesSent;
            continue;
        }
        const auto call = m_calls.find(frame.correlation);
        if (frame.begin < m_handedOver || call == m_calls.end()) {
            ++m_counters.framesLost;
            continue;
        }
        call->second->state = call_state::Queued;
        m_queue.addFront({std::string(output.substr(frame.begin, frame.end - frame.begin)),
                          frame.correlation});
    }
    m_handedOver = 0;
}

} // namespace yuccascale::wire

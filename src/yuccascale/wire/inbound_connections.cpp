#include "yuccascale/wire/inbound_connections.hpp"

#include <utility>

namespace yuccascale::wire {

namespace {

constexpr kernel::milliseconds acceptPollInterval{100};
constexpr kernel::milliseconds handshakeTimeout{1'000};
constexpr std::size_t maxQueuedCalls = 8'192;

} // namespace

inbound_connections::inbound_connections(const transport_settings &settings,
                                         transport_counters &counters,
                                         const handler_table &handlers, socket listener)
    : m_settings(settings)
    , m_counters(counters)
    , m_handlers(handlers)
    , m_listener(std::move(listener))
{
    for (std::size_t count = 0; count < settings.callThreads; ++count)
        m_callThreads.emplace_back([this] { callLoop(); });
    m_acceptThread = std::thread([this] { acceptLoop(); });
}

inbound_connections::~inbound_connections()
{
    stop();
}

void inbound_connections::stop()
{
    m_stopped = true;
    if (m_acceptThread.joinable())
        m_acceptThread.join();
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &connection : m_connections)
            connection->stream.shutdown();
        m_changed.notify_all();
    }
    for (std::thread &callThread : m_callThreads) {
        if (callThread.joinable())
            callThread.join();
    }
    for (const auto &connection : m_connections) {
        if (connection->readThread.joinable())
            connection->readThread.join();
    }
    m_connections.clear();
}

void inbound_connections::acceptLoop()
{
    while (!m_stopped) {
        socket stream = m_listener.accept(acceptPollInterval);
        joinFinished();
        if (!stream.isOpen())
            continue;
        const auto accepted = std::make_shared<connection>();
        accepted->stream = std::move(stream);
        const std::lock_guard lock(m_mutex);
        accepted->readThread = std::thread([this, accepted] { readLoop(accepted); });
        m_connections.push_back(accepted);
    }
}

void inbound_connections::joinFinished()
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_connections, [](const auto &connection) {
        if (!connection->finished)
            return false;
        connection->readThread.join();
        return true;
    });
}

void inbound_connections::readLoop(const std::shared_ptr<connection> &from)
{
    from->stream.setReadTimeout(handshakeTimeout);
    const std::optional<std::string> peer
            = acceptHandshake(from->stream, m_settings.self, m_settings.secret);
    if (!peer) {
        ++m_counters.peersRefused;
        from->stream.shutdown();
        from->finished = true;
        return;
    }
    from->peer = *peer;
    from->stream.setReadTimeout(kernel::milliseconds(0));
    while (std::optional<frame> received = readFrame(from->stream)) {
        m_counters.bytesReceived += received->payload.size();
        ++m_counters.framesReceived;
        const auto handler = m_handlers.find(received->channel);
        if (handler == m_handlers.end())
            continue;
        if (received->correlation == 0) {
            (void)handler->second(from->peer, received->payload);
            continue;
        }
        const std::lock_guard lock(m_mutex);
        if (m_calls.size() < maxQueuedCalls)
            m_calls.push_back({from, std::move(*received)});
        m_changed.notify_one();
    }
    from->stream.shutdown();
    from->finished = true;
}

void inbound_connections::callLoop()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [&] { return m_stopped || !m_calls.empty(); });
        if (m_stopped)
            return;
        const queued_call call = std::move(m_calls.front());
        m_calls.pop_front();
        lock.unlock();
        serveCall(call);
        lock.lock();
    }
}

void inbound_connections::serveCall(const queued_call &call)
{
    const auto &handler = m_handlers.find(call.request.channel)->second;
    std::string reply = handler(call.from->peer, call.request.payload);
    const std::string bytes
            = encodeFrame({call.request.channel, call.request.correlation, true, std::move(reply)});
    const std::lock_guard lock(call.from->writeMutex);
    if (!call.from->stream.writeAll(bytes)) {
        call.from->stream.shutdown();
        return;
    }
    m_counters.bytesSent += bytes.size();
    ++m_counters.framesSent;
}

} // namespace yuccascale::wire

#include "yuccascale/wire/inbound_connections.hpp"

#include <utility>

namespace yuccascale::wire {

namespace {

constexpr kernel::milliseconds acceptPoll{100};
constexpr kernel::milliseconds handshakeTimeout{1'000};
constexpr std::size_t maxWaitingCalls = 8'192;

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
        m_answerers.emplace_back([this] { answerLoop(); });
    m_acceptor = std::thread([this] { acceptLoop(); });
}

inbound_connections::~inbound_connections()
{
    stop();
}

void inbound_connections::stop()
{
    m_stopped = true;
    if (m_acceptor.joinable())
        m_acceptor.join();
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &connection : m_connections)
            connection->stream.shutdown();
        m_changed.notify_all();
    }
    for (std::thread &answerer : m_answerers) {
        if (answerer.joinable())
            answerer.join();
    }
    for (const auto &connection : m_connections) {
        if (connection->reader.joinable())
            connection->reader.join();
    }
    m_connections.clear();
}

void inbound_connections::acceptLoop()
{
    while (!m_stopped) {
        socket stream = m_listener.accept(acceptPoll);
        joinFinished();
        if (!stream.isOpen())
            continue;
        const auto fresh = std::make_shared<connection>();
        fresh->stream = std::move(stream);
        const std::lock_guard lock(m_mutex);
        fresh->reader = std::thread([this, fresh] { readLoop(fresh); });
        m_connections.push_back(fresh);
    }
}

void inbound_connections::joinFinished()
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_connections, [](const auto &connection) {
        if (!connection->finished)
            return false;
        connection->reader.join();
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
        if (m_calls.size() < maxWaitingCalls)
            m_calls.push_back({from, std::move(*received)});
        m_changed.notify_one();
    }
    from->stream.shutdown();
    from->finished = true;
}

void inbound_connections::answerLoop()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [&] { return m_stopped || !m_calls.empty(); });
        if (m_stopped)
            return;
        const waiting_call call = std::move(m_calls.front());
        m_calls.pop_front();
        lock.unlock();
        answer(call);
        lock.lock();
    }
}

void inbound_connections::answer(const waiting_call &call)
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
